#include "briarwood/routing/engine_memory.h"

#include <algorithm>
#include <cmath>

namespace briarwood::routing {
namespace {

/// Standard deviations of the other entries' tokens that are left free. The requests that other
/// entries have sent since the report are independent of each other.
constexpr double kReserveDeviations = 2;
/// Time in which a report loses half of its weight. Requests with long prompts stay for seconds.
constexpr common::Duration kReportHalfLife = std::chrono::seconds(1);
/// Weight of the mean over the engines against the requests of this entry at one engine.
constexpr double kMeanWeight = 4;
/// Requests that other entries are expected to send to an engine with room for each one of this
/// entry since its report. Not all of them know of the room.
constexpr std::uint32_t kFollowers = 8;

}  // namespace

void EngineMemory::OnSent(const MemoryCost& cost) {
  own_.Add(cost);
  sent_since_report_ += 1;
  for (const SharedPart& part : cost.shared_parts) {
    PartUse& use = own_parts_[part.id];
    if (use.requests++ > 0) continue;
    use.tokens = static_cast<double>(part.tokens);
    own_part_tokens_ += use.tokens;
  }
}

void EngineMemory::OnEnded(const MemoryCost& cost) {
  own_.Remove(cost);
  for (const SharedPart& part : cost.shared_parts) {
    const auto found = own_parts_.find(part.id);
    if (found == own_parts_.end() || --found->second.requests > 0) continue;
    own_part_tokens_ -= found->second.tokens;
    own_parts_.erase(found);
  }
  if (own_parts_.empty()) own_part_tokens_ = 0;
}

void EngineMemory::OnReport(double others, common::Time now) noexcept {
  reported_others_ = others;
  sent_since_report_ = 0;
  reported_at_ = now;
}

double EngineMemory::OtherRequests(const RequestSizes& sizes, common::Time now) const noexcept {
  // Prefix affinity leads the requests of all entries to the same engines, so those of this entry
  // show which engines get more than others.
  const double popularity =
      (kMeanWeight + own_.requests) / (kMeanWeight + std::max(0.0, sizes.MeanOwn()));
  const double expected = sizes.MeanOthers(now) * popularity;
  if (!reported_at_) return expected;
  const double age_s = std::max(0.0, common::ToSeconds(now - *reported_at_));
  const double weight = std::exp2(-age_s / common::ToSeconds(kReportHalfLife));
  // Other entries see the same room and send to it as well.
  const double followers = static_cast<double>(std::min(sizes.entries() - 1, kFollowers));
  const double reported = reported_others_ + followers * sent_since_report_;
  return expected + (reported - expected) * weight;
}

double EngineMemory::InUse(const RequestSizes& sizes, double other_requests) const noexcept {
  const double shared = std::min(own_part_tokens_ + other_requests * sizes.mean().shared_tokens,
                                 std::max(own_part_tokens_, sizes.shared_part_tokens()));
  return own_.own_tokens + other_requests * sizes.mean().own_tokens + shared;
}

double EngineMemory::InUse(const RequestSizes& sizes, common::Time now) const noexcept {
  return InUse(sizes, OtherRequests(sizes, now));
}

bool EngineMemory::Fits(const MemoryCost& cost, const RequestSizes& sizes, double headroom,
                        bool with_reserve, common::Time now) const {
  if (capacity_ == 0) return true;
  auto tokens = static_cast<double>(cost.OwnTokens());
  for (const SharedPart& part : cost.shared_parts) {
    if (!own_parts_.contains(part.id)) tokens += static_cast<double>(part.tokens);
  }
  const double limit = capacity_ * (1 - headroom);
  const double others = OtherRequests(sizes, now);
  // A request that leaves less than the headroom by itself runs only where no other does.
  if (tokens > limit) return own_.requests == 0 && others < 0.5;
  const double reserve =
      with_reserve ? kReserveDeviations * std::sqrt(others * sizes.mean().squared_own_tokens) : 0;
  return InUse(sizes, others) + tokens + reserve <= limit;
}

}  // namespace briarwood::routing
