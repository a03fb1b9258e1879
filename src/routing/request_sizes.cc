#include "briarwood/routing/request_sizes.h"

#include <algorithm>
#include <cmath>

namespace briarwood::routing {
namespace {

/// Time constant of the mean size of requests.
constexpr common::Duration kSizePeriod = std::chrono::seconds(5);
/// Time for which a shared part counts after its last use.
constexpr common::Duration kPartPeriod = std::chrono::seconds(5);
/// Time constant of the mean number of requests of other entries. With many entries, one entry
/// receives only some reports a second.
constexpr common::Duration kOthersPeriod = std::chrono::seconds(2);
/// Time without a report after which the reported mean begins to lose weight, and its half-life.
constexpr common::Duration kSilence = std::chrono::seconds(1);
constexpr common::Duration kSilenceHalfLife = std::chrono::seconds(1);
/// Bound of the growth that is assumed of the other entries since the reports.
constexpr double kMaxGrowth = 3;
/// Smallest mean number of requests that says something about their sizes.
constexpr double kMinMeanRequests = 1e-6;

double DecayOver(common::Duration elapsed, common::Duration period) noexcept {
  return std::exp(-std::max(0.0, common::ToSeconds(elapsed)) / common::ToSeconds(period));
}

}  // namespace

void MemoryUse::Add(const MemoryCost& cost) noexcept {
  const auto own = static_cast<double>(cost.OwnTokens());
  *this += {.requests = 1,
            .own_tokens = own,
            .squared_own_tokens = own * own,
            .shared_tokens = static_cast<double>(cost.SharedTokens())};
}

void MemoryUse::Remove(const MemoryCost& cost) noexcept {
  if (requests <= 1) {
    *this = {};
    return;
  }
  const auto own = static_cast<double>(cost.OwnTokens());
  requests -= 1;
  own_tokens = std::max(0.0, own_tokens - own);
  squared_own_tokens = std::max(0.0, squared_own_tokens - own * own);
  shared_tokens = std::max(0.0, shared_tokens - static_cast<double>(cost.SharedTokens()));
}

MemoryUse& MemoryUse::operator+=(const MemoryUse& other) noexcept {
  requests += other.requests;
  own_tokens += other.own_tokens;
  squared_own_tokens += other.squared_own_tokens;
  shared_tokens += other.shared_tokens;
  return *this;
}

void RequestSizes::OnSent(const MemoryCost& cost, common::Time now) {
  in_flight_.Add(cost);
  for (const SharedPart& part : cost.shared_parts) {
    PartUse& use = parts_[part.id];
    part_tokens_ += static_cast<double>(part.tokens) - use.tokens;
    use = {.tokens = static_cast<double>(part.tokens), .used_at = now};
  }
}

void RequestSizes::OnReport(double others, common::Time now) noexcept {
  const double kept = reported_at_ ? DecayOver(now - *reported_at_, kOthersPeriod) : 0;
  const double weight = others_weight_ * kept;
  others_ = (others_ * weight + others) / (weight + 1);
  others_weight_ = weight + 1;
  reported_at_ = now;
}

void RequestSizes::Refresh(const MemoryUse& in_flight, const EngineShare& share, common::Time now) {
  const common::Duration elapsed =
      refreshed_at_ ? now - *refreshed_at_ : common::Duration(std::chrono::hours(1));
  refreshed_at_ = now;
  in_flight_ = in_flight;
  share_ = {.engines = std::max<std::size_t>(share.engines, 1),
            .entries = std::max(share.entries, 1U)};
  const auto update = [](double& mean, double value, double kept) {
    mean = mean * kept + value * (1 - kept);
  };
  const double kept = DecayOver(elapsed, kSizePeriod);
  update(mean_in_flight_.requests, in_flight.requests, kept);
  update(mean_in_flight_.own_tokens, in_flight.own_tokens, kept);
  update(mean_in_flight_.squared_own_tokens, in_flight.squared_own_tokens, kept);
  update(mean_in_flight_.shared_tokens, in_flight.shared_tokens, kept);
  update(recent_requests_, in_flight.requests, DecayOver(elapsed, kOthersPeriod));
  if (mean_in_flight_.requests > kMinMeanRequests) {
    mean_ = {.requests = 1,
             .own_tokens = mean_in_flight_.own_tokens / mean_in_flight_.requests,
             .squared_own_tokens = mean_in_flight_.squared_own_tokens / mean_in_flight_.requests,
             .shared_tokens = mean_in_flight_.shared_tokens / mean_in_flight_.requests};
  }
  std::erase_if(parts_, [&](const auto& item) {
    if (now - item.second.used_at <= kPartPeriod) return false;
    part_tokens_ -= item.second.tokens;
    return true;
  });
  if (parts_.empty()) part_tokens_ = 0;
}

double RequestSizes::MeanOwn() const noexcept {
  return in_flight_.requests / static_cast<double>(share_.engines);
}

double RequestSizes::MeanOthers(common::Time now) const noexcept {
  const double assumed = MeanOwn() * (share_.entries - 1);
  if (!reported_at_) return assumed;
  // The reports are older than what this entry has sent; the other entries follow the same load.
  const double growth = recent_requests_ > 0 ? in_flight_.requests / recent_requests_ : 1;
  const double reported = others_ * std::clamp(growth, 1.0, kMaxGrowth);
  const double silence_s = std::max(0.0, common::ToSeconds(now - *reported_at_ - kSilence));
  const double weight = std::exp2(-silence_s / common::ToSeconds(kSilenceHalfLife));
  return assumed + (reported - assumed) * weight;
}

}  // namespace briarwood::routing
