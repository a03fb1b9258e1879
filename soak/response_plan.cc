#include "soak/response_plan.h"

#include "briarwood/common/digest.h"
#include "briarwood/common/random.h"

namespace briarwood::soak {
namespace {

using std::chrono::milliseconds;

constexpr double kLongStreamShare = 0.15;
constexpr milliseconds kMinLongStream{3000};
constexpr milliseconds kMaxLongStream{6000};
constexpr milliseconds kLongStreamInterval{100};
constexpr int kShortStreamEvents = 10;
constexpr double kSilentShare = 0.1;
constexpr milliseconds kMinSilence{500};
constexpr milliseconds kMaxSilence{2000};
constexpr double kUntilCloseShare = 0.1;

milliseconds Between(milliseconds min, milliseconds max, common::Random& random) {
  return min + milliseconds(random.Below(static_cast<std::uint64_t>((max - min).count()) + 1));
}

bool IsLong(int events) { return events > kShortStreamEvents; }

}  // namespace

int EventCount(const std::string& request_id) {
  common::Random random(common::Hash64(request_id));
  if (!random.Chance(kLongStreamShare)) return kShortStreamEvents;
  return static_cast<int>(Between(kMinLongStream, kMaxLongStream, random) / kLongStreamInterval);
}

ResponsePlan PlanResponse(const std::string& request_id, const std::string& server) {
  common::Random random(common::Hash64(request_id + " " + server));
  const int events = EventCount(request_id);
  ResponsePlan plan;
  if (IsLong(events)) plan.event_interval = kLongStreamInterval;
  plan.silence = Between(kMinSilence, kMaxSilence, random);
  if (random.Chance(kSilentShare)) {
    plan.silent_before = 1 + static_cast<int>(random.Below(static_cast<std::uint64_t>(events)));
  }
  plan.until_close = random.Chance(kUntilCloseShare);
  return plan;
}

}  // namespace briarwood::soak
