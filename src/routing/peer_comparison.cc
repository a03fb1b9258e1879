#include "briarwood/routing/peer_comparison.h"

#include <algorithm>

namespace briarwood::routing {
namespace {

/// Weight of a new observation; the effective window is about 20 gaps.
constexpr double kSmoothingFactor = 0.05;
constexpr common::Duration kRefreshInterval = std::chrono::milliseconds(250);

}  // namespace

void PeerComparison::Observe(const common::BackendServerId& id, common::Duration token_gap,
                             common::Time now) {
  const double gap_s = common::ToSeconds(token_gap);
  auto [found, inserted] = peers_.try_emplace(id);
  Peer& peer = found->second;
  const bool stale = now - peer.observed_at > options_.max_observation_age;
  peer.gap_s = inserted || stale ? gap_s : peer.gap_s + kSmoothingFactor * (gap_s - peer.gap_s);
  peer.observed_at = now;
}

double PeerComparison::Speed(const common::BackendServerId& id, common::Time now) {
  if (!IsSlow(id, now)) return 1;
  return std::min(1.0, median_s_ / peers_.at(id).gap_s);
}

bool PeerComparison::IsSlow(const common::BackendServerId& id, common::Time now) {
  Refresh(now);
  const auto found = peers_.find(id);
  return found != peers_.end() && found->second.slow;
}

void PeerComparison::Refresh(common::Time now) {
  if (now - refreshed_at_ < kRefreshInterval) return;
  refreshed_at_ = now;
  std::vector<double> gaps;
  for (const auto& [id, peer] : peers_) {
    if (now - peer.observed_at <= options_.max_observation_age) gaps.push_back(peer.gap_s);
  }
  if (gaps.size() < options_.min_servers) {
    for (auto& [id, peer] : peers_) peer.slow = false;
    return;
  }
  const auto middle = gaps.begin() + static_cast<std::ptrdiff_t>(gaps.size() / 2);
  std::nth_element(gaps.begin(), middle, gaps.end());
  median_s_ = *middle;
  for (auto& [id, peer] : peers_) {
    const double ratio = peer.slow ? options_.recovered_ratio : options_.slow_ratio;
    peer.slow = peer.gap_s > ratio * median_s_;
  }
}

}  // namespace briarwood::routing
