#include "briarwood/routing/placement.h"

#include <gtest/gtest.h>

#include <map>
#include <set>
#include <string>

namespace briarwood::routing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr common::Time kStart{seconds(1000)};

common::BackendServerId Id(std::size_t index) {
  return common::BackendServerId("engine-" + std::to_string(index));
}

std::vector<BackendDescription> Engines(std::size_t count, std::uint32_t capacity = 8) {
  std::vector<BackendDescription> engines;
  for (std::size_t index = 0; index < count; ++index) {
    engines.push_back({.id = Id(index),
                       .failure_domain = common::FailureDomainId(std::to_string(index % 3)),
                       .model = common::ModelId("m"),
                       .max_concurrency = capacity});
  }
  return engines;
}

PlacementRequest Request(std::uint32_t tier = 0, std::uint64_t prefix = 0) {
  PlacementRequest request{.tier = common::Tier(tier), .prefix_hash = prefix};
  request.capability.model = common::ModelId("m");
  return request;
}

// Picks and sends until no server has room.
// \returns the number of requests per server.
std::map<std::string, int> Fill(Placement& placement, common::Time now, std::uint32_t tier = 0) {
  std::map<std::string, int> sent;
  while (const auto choice = placement.Pick(Request(tier), now)) {
    ++sent[choice->id.value()];
    placement.OnSent(choice->id, common::Tier(tier), false, now);
  }
  return sent;
}

// Guards against a stream that goes on at a server of another software version, or of none.
TEST(PlacementTest, KeepsToTheRequiredSoftwareVersion) {
  Placement placement({});
  std::vector<BackendDescription> engines = Engines(4);
  engines[1].software_version = "v1";
  engines[2].software_version = "v2";
  engines[3].software_version = "v2";
  placement.SetBackends(engines);
  PlacementRequest request = Request();
  request.capability.software_version = "v1";
  EXPECT_EQ(placement.Pick(request, kStart)->id, Id(1));
  EXPECT_TRUE(placement.HasServer(request.capability, {}));
  EXPECT_FALSE(placement.HasServer(request.capability, {Id(1)}));
  placement.SetDraining(Id(1), true);
  EXPECT_FALSE(placement.Pick(request, kStart));
  EXPECT_FALSE(placement.HasServer(request.capability, {}));
  request.capability.software_version = "";
  EXPECT_EQ(placement.Pick(request, kStart)->id, Id(0));
  request.capability.software_version = "v2";
  EXPECT_TRUE(placement.HasServer(request.capability, {Id(2)}));
}

// Guards against a second attempt in the failure domain whose server is slow, which may be slow as
// a whole.
TEST(PlacementTest, AvoidsAFailureDomain) {
  Placement placement({});
  placement.SetBackends(Engines(6));
  PlacementRequest request = Request();
  request.avoid_domain = common::FailureDomainId("1");
  for (int i = 0; i < 30; ++i) {
    const auto choice = placement.Pick(request, kStart);
    ASSERT_TRUE(choice);
    EXPECT_NE(choice->id, Id(1));
    EXPECT_NE(choice->id, Id(4));
  }
}

// Guards against requests to a server that says it is leaving, and against a server that starts
// again with the id it had and gets none because its previous lifetime was leaving.
TEST(PlacementTest, StatementsHoldForOneLifetimeOfAServer) {
  ServerStatement leaving;
  leaving.leaving = true;
  const auto is_used = [](Placement& placement) {
    return placement.Pick(Request(), kStart + seconds(1)).has_value();
  };
  Placement placement({});
  std::vector<BackendDescription> engines = Engines(1);
  placement.SetBackends(engines);
  EXPECT_TRUE(placement.OnStatement(Id(0), leaving, kStart, kStart));
  EXPECT_FALSE(is_used(placement));
  placement.SetBackends(engines);
  EXPECT_FALSE(is_used(placement));
  engines[0].lifetime = "second";
  placement.SetBackends(engines);
  EXPECT_TRUE(is_used(placement));

  placement.OnStatement(Id(0), leaving, kStart, kStart);
  placement.SetDraining(Id(0), false);
  EXPECT_FALSE(is_used(placement));
  placement.SetDraining(Id(0), true);
  placement.SetDraining(Id(0), false);
  EXPECT_TRUE(is_used(placement));

  placement.OnStatement(Id(0), leaving, kStart, kStart);
  placement.SetBackends({});
  placement.SetBackends(engines);
  EXPECT_TRUE(is_used(placement));
}

// Guards against new requests to a server that is draining, that its agent reports as leaving, or
// that is dead.
TEST(PlacementTest, I11LeavingServerGetsNoRequests) {
  Placement placement({});
  placement.SetBackends(Engines(4));
  placement.SetDraining(Id(0), true);
  placement.Report({.id = Id(1), .taken_at = kStart, .leaving = true}, kStart);
  placement.SetAlive(Id(2), false);
  const auto sent = Fill(placement, kStart);
  EXPECT_EQ(sent.size(), 1U);
  EXPECT_EQ(sent.count("engine-3"), 1U);
  // A delayed report from before the server began to leave does not make it usable again.
  placement.Report({.id = Id(1), .taken_at = kStart - seconds(2)}, kStart);
  EXPECT_FALSE(placement.Pick(Request(), kStart));
}

// Guards against lower tiers using the capacity reserved for the top tier.
TEST(PlacementTest, I1HeadroomIsKeptForTopTier) {
  Placement placement({});
  placement.SetBackends(Engines(3, 8));
  int low = 0;
  for (const auto& [id, count] : Fill(placement, kStart, 2)) low += count;
  EXPECT_EQ(low, 21);
  int top = 0;
  for (const auto& [id, count] : Fill(placement, kStart, 0)) top += count;
  EXPECT_EQ(top, 3);
}

// Guards against preemption of top-tier streams.
TEST(PlacementTest, I1OnlyLowerTiersAreExpectedToBePreempted) {
  Placement placement({});
  placement.SetBackends(Engines(2, 8));
  placement.Report({.id = Id(0), .taken_at = kStart, .running = 8, .preemptible = {0, 0, 0, 0}},
                   kStart);
  placement.Report({.id = Id(1), .taken_at = kStart, .running = 8, .preemptible = {0, 0, 3, 0}},
                   kStart);
  const auto top = placement.Pick(Request(0), kStart);
  ASSERT_TRUE(top);
  EXPECT_EQ(top->id, Id(1));
  EXPECT_TRUE(top->expects_preemption);
  EXPECT_FALSE(placement.Pick(Request(2), kStart));
}

// Guards against an old report that is used like a new one.
TEST(PlacementTest, ReportIsDiscountedByAge) {
  Placement placement({});
  placement.SetBackends(Engines(1, 8));
  placement.Report({.id = Id(0), .taken_at = kStart, .running = 8}, kStart);
  EXPECT_FALSE(placement.Pick(Request(), kStart));
  placement.Refresh(kStart + seconds(3));
  EXPECT_TRUE(placement.Pick(Request(), kStart + seconds(3)));
}

// Guards against prefix affinity that overloads one server.
TEST(PlacementTest, PrefixAffinityIsBoundedByLoad) {
  Placement placement({});
  placement.SetBackends(Engines(6, 100));
  const auto first = placement.Pick(Request(0, 42), kStart);
  EXPECT_EQ(placement.Pick(Request(0, 42), kStart)->id, first->id);
  std::map<std::string, int> sent;
  for (int i = 0; i < 240; ++i) {
    const auto choice = placement.Pick(Request(0, 42), kStart);
    placement.OnSent(choice->id, common::Tier(0), false, kStart);
    placement.Refresh(kStart + milliseconds(50) * i);
    ++sent[choice->id.value()];
  }
  EXPECT_EQ(sent.size(), 6U);
  EXPECT_LE(sent[first->id.value()], 55);  // 1.25 times the mean of 40, with a margin of 5
  EXPECT_GE(sent[first->id.value()], 40);
}

// Guards against a slow server that keeps its full share, and one that gets no requests at all.
TEST(PlacementTest, SlowServerKeepsSmallShare) {
  Placement placement({});
  placement.SetBackends(Engines(4, 20));
  for (int i = 0; i < 100; ++i) {
    for (std::size_t engine = 0; engine < 4; ++engine) {
      placement.ObserveTokenGap(Id(engine), milliseconds(engine == 2 ? 100 : 20), kStart);
    }
  }
  placement.Refresh(kStart + seconds(1));
  ASSERT_TRUE(placement.IsSlow(Id(2), kStart + seconds(1)));
  const auto sent = Fill(placement, kStart + seconds(1), 1);
  EXPECT_GE(sent.at("engine-2"), 1);
  EXPECT_LE(sent.at("engine-2"), 3);
}

// Guards against a subset that omits a failure domain or is the same at every entry.
TEST(PlacementTest, SubsetCoversAllDomainsAndDiffersBetweenEntries) {
  std::set<std::string> used;
  for (std::uint64_t seed = 1; seed <= 2; ++seed) {
    PlacementOptions options;
    options.seed = seed;
    options.subset_size = 30;
    Placement placement(options);
    auto engines = Engines(300, 1);
    engines[7].failure_domain = common::FailureDomainId("small");
    placement.SetBackends(engines);
    const auto sent = Fill(placement, kStart);
    EXPECT_EQ(placement.SubsetSize(Request().capability), 30U);
    for (const auto& [id, count] : sent) used.insert(id);
    EXPECT_EQ(sent.count("engine-7"), 1U);
  }
  EXPECT_GT(used.size(), 40U);
}

// Guards against requests for an adapter or version being sent to a server without it.
TEST(PlacementTest, CapabilityFilterExcludesOtherServers) {
  auto engines = Engines(3);
  engines[0].model_version = "v2";
  engines[1].adapters = {"lora"};
  engines[2].adapters = {"lora"};
  engines[2].model_version = "v2";
  Placement placement({});
  placement.SetBackends(engines);
  PlacementRequest request = Request();
  request.capability.adapter = "lora";
  request.capability.model_version = "v2";
  EXPECT_EQ(placement.SubsetSize(request.capability), 1U);
  EXPECT_EQ(placement.Pick(request, kStart)->id, Id(2));
}

// Guards against rejected requests although servers are available: simultaneous failures of all
// servers of a small pool opened every breaker.
TEST(PlacementTest, UsesPoolIfAllBreakersAreOpen) {
  PlacementOptions options;
  options.ignore_breakers_if_all_open = true;
  Placement placement(options);
  placement.SetBackends(Engines(3));
  for (std::size_t server = 0; server < 2; ++server) {
    for (int i = 0; i < 5; ++i) placement.OnFailure(Id(server), kStart);
  }
  EXPECT_EQ(placement.Pick(Request(), kStart)->id, Id(2));
  for (int i = 0; i < 5; ++i) placement.OnFailure(Id(2), kStart);
  EXPECT_TRUE(placement.Pick(Request(), kStart).has_value());
  placement.SetDraining(Id(0), true);
  placement.SetDraining(Id(1), true);
  placement.SetDraining(Id(2), true);
  EXPECT_FALSE(placement.Pick(Request(), kStart).has_value());
}

// Guards against an entry that stops using a service for a long time. Loads are reported only with
// responses, so after one load spike all servers counted as full for 20 s.
TEST(PlacementTest, RecoversSoonAfterOneSpikeOfTheReportedLoad) {
  PlacementOptions options;
  options.half_life = milliseconds(300);
  options.mean_half_life = milliseconds(500);
  Placement placement(options);
  placement.SetBackends(Engines(3, 6));
  for (std::size_t server = 0; server < 3; ++server) {
    placement.Report({.id = Id(server), .taken_at = kStart, .running = 26, .capacity = 6}, kStart);
  }
  placement.Refresh(kStart);
  EXPECT_FALSE(placement.Pick(Request(1), kStart).has_value());
  common::Time now = kStart;
  while (now < kStart + seconds(2)) {
    now += milliseconds(50);
    placement.Refresh(now);
  }
  EXPECT_TRUE(placement.Pick(Request(1), now).has_value());
}

// Load pattern: engines with dozens of running requests, and a plain service with few slots.
// Guards against samples of the service decaying to the mean of the engines: the idle service
// counted as full, and as it received no requests, no new sample arrived.
TEST(PlacementTest, ServiceWithFewSlotsIsNotFullBecauseEnginesAreBusy) {
  Placement placement({.half_life = milliseconds(300), .mean_half_life = milliseconds(500)});
  std::vector<BackendDescription> servers = Engines(12, 64);
  for (std::size_t index = 12; index < 15; ++index) {
    servers.push_back({.id = Id(index), .service = "app", .max_concurrency = 6});
  }
  placement.SetBackends(servers);
  for (std::size_t index = 12; index < 15; ++index) {
    placement.Report({.id = Id(index), .taken_at = kStart, .running = 1, .capacity = 6}, kStart);
  }
  const common::Time later = kStart + seconds(2);
  for (std::size_t index = 0; index < 12; ++index) {
    placement.Report({.id = Id(index), .taken_at = later, .running = 60, .capacity = 64}, later);
  }
  placement.Refresh(later);
  PlacementRequest request{.tier = common::Tier(2)};
  request.capability.service = "app";
  int sent = 0;
  while (const auto choice = placement.Pick(request, later)) {
    placement.OnSent(choice->id, common::Tier(2), false, later);
    ++sent;
  }
  EXPECT_GE(sent, 3 * 4);
}

// Load pattern: a mix of long and short prompts. Guards against placement by request count: an
// engine that still has to prefill three long prompts would be chosen over one with five short
// prompts that would respond sooner.
TEST(PlacementTest, MixedPromptsArePlacedByRemainingPrefill) {
  PlacementOptions options;
  options.choices = 4;
  Placement placement(options);
  placement.SetBackends(Engines(2, 64));
  for (int i = 0; i < 3; ++i) placement.OnSent(Id(0), common::Tier(1), false, kStart, 10);
  for (int i = 0; i < 5; ++i) placement.OnSent(Id(1), common::Tier(1), false, kStart, 1.5);
  placement.Refresh(kStart);
  for (int i = 0; i < 10; ++i) EXPECT_EQ(placement.Pick(Request(1), kStart)->id, Id(1));
  // After the prefill, only the number of requests counts.
  for (int i = 0; i < 3; ++i) placement.OnWorkDone(Id(0), 9);
  placement.Refresh(kStart + seconds(1));
  int to_first = 0;
  for (int i = 0; i < 10; ++i) {
    if (placement.Pick(Request(1), kStart + seconds(1))->id == Id(0)) ++to_first;
  }
  EXPECT_GT(to_first, 0);
}

// Load pattern: requests of other entries wait for their first token at a server. Guards against
// sending further requests to it while another server has none waiting.
TEST(PlacementTest, WaitingRequestsCountMoreThanRunningOnes) {
  PlacementOptions options;
  options.choices = 4;
  options.waiting_work = 3;
  Placement placement(options);
  placement.SetBackends(Engines(2, 64));
  placement.Report({.id = Id(0), .taken_at = kStart, .running = 10, .waiting = 8}, kStart);
  placement.Report({.id = Id(1), .taken_at = kStart, .running = 14, .waiting = 0}, kStart);
  placement.Refresh(kStart);
  for (int i = 0; i < 10; ++i) EXPECT_EQ(placement.Pick(Request(1), kStart)->id, Id(1));
}

// Guards against short questions that wait behind long prompts on a day that begins with cold
// caches: the engine to which the shared parts of the prompts lead reads long ones, while others
// are idle.
TEST(PlacementTest, ShortQuestionsBesideColdLongPromptsChooseByLoad) {
  constexpr double kLongPromptWork = 17;
  constexpr double kShortPromptWork = 2;
  Placement placement({.choices = 4});
  placement.SetBackends(Engines(4, 48));
  PlacementRequest draft = Request(2, 99);
  draft.work = kLongPromptWork;
  const auto busy = placement.Pick(draft, kStart);
  ASSERT_TRUE(busy);
  placement.OnSent(busy->id, draft.tier, /*alone=*/false, kStart, draft.work);
  placement.Refresh(kStart + milliseconds(100));
  for (int i = 0; i < 40; ++i) {
    PlacementRequest question = Request(0);
    question.work = kShortPromptWork;
    const auto choice = placement.Pick(question, kStart + milliseconds(100));
    ASSERT_TRUE(choice);
    EXPECT_NE(choice->id, busy->id);
  }
}

/// Engines of a divided service: two of each failure domain take the streams.
class DividedPlacementTest : public ::testing::Test {
 protected:
  static constexpr milliseconds kShort{300};
  static constexpr milliseconds kLong{1200};

  void SetUp() override {
    std::vector<BackendDescription> engines = Engines(12);
    for (BackendDescription& engine : engines) {
      engine.model = {};
      engine.service = "llm";
    }
    placement_.SetBackends(engines);
    placement_.SetDivisions({{"llm", {.stream_engines = 6, .max_gap_target = kShort}}});
  }

  std::optional<PlacementChoice> Pick(milliseconds gap_target, std::uint32_t tier = 0) {
    PlacementRequest request{.tier = common::Tier(tier)};
    request.capability.service = "llm";
    request.gap_target = gap_target;
    return placement_.Pick(request, kStart);
  }

  /// Sends requests until one gets no server.
  std::map<std::string, int> FillWith(milliseconds gap_target, int limit = 1000) {
    std::map<std::string, int> sent;
    for (int i = 0; i < limit; ++i) {
      const auto choice = Pick(gap_target);
      if (!choice) break;
      ++sent[choice->id.value()];
      placement_.OnSent(choice->id, common::Tier(0), false, kStart);
    }
    return sent;
  }

  Placement placement_{PlacementOptions{}};
};

// Load: long prompts and streams with short gaps. Guards against an engine that gets both.
TEST_F(DividedPlacementTest, KeepsPromptsAndStreamsApart) {
  const auto streams = FillWith(kShort, 6 * 8);
  const auto prompts = FillWith(kLong);
  EXPECT_EQ(streams.size(), 6U);
  EXPECT_EQ(prompts.size(), 6U);
  for (const auto& [id, count] : streams) EXPECT_FALSE(prompts.contains(id)) << id;
}

// Load: more streams than their side can run. Guards against streams that are rejected while other
// engines have room, and against prompts that break the streams in return.
TEST_F(DividedPlacementTest, StreamsUseTheOtherSideWhenTheirsIsFull) {
  const auto own = FillWith(kShort, 6 * 8);
  ASSERT_EQ(own.size(), 6U);
  const auto overflow = FillWith(kShort, 6);
  EXPECT_FALSE(overflow.empty());
  for (const auto& [id, count] : overflow) EXPECT_FALSE(own.contains(id)) << id;
  placement_.OnEnded(common::BackendServerId(own.begin()->first), common::Tier(0), false);
  for (const auto& [id, count] : FillWith(kLong)) EXPECT_FALSE(own.contains(id)) << id;
}

// Failure: all engines of one side are lost at once. Guards against a class without a server while
// the other side has room.
TEST_F(DividedPlacementTest, TakesOverForASideThatIsLost) {
  for (const milliseconds lost : {kShort, kLong}) {
    std::set<std::string> ids;
    for (const auto& [id, count] : FillWith(lost, 6 * 8)) ids.insert(id);
    for (const std::string& id : ids) placement_.SetAlive(common::BackendServerId(id), false);
    const auto choice = Pick(lost);
    ASSERT_TRUE(choice) << lost.count();
    EXPECT_FALSE(ids.contains(choice->id.value()));
    placement_ = Placement(PlacementOptions{});
    SetUp();
  }
}

// Load: shared prompt parts make one engine read the prompts of all entries. Guards against prompts
// that follow there although this entry has seen how long they wait, and against prompts that get
// no server when all are behind.
TEST_F(DividedPlacementTest, AvoidsEnginesWhosePromptsWait) {
  const auto pick = [this] {
    PlacementRequest request{.tier = common::Tier(0), .prefix_hash = 7};
    request.capability.service = "llm";
    request.gap_target = kLong;
    request.first_event_target = seconds(2);
    const auto choice = placement_.Pick(request, kStart);
    return choice ? choice->id.value() : std::string();
  };
  const std::string preferred = pick();
  EXPECT_EQ(pick(), preferred);
  placement_.ObservePromptDelay(common::BackendServerId(preferred), seconds(3), kStart);
  EXPECT_NE(pick(), preferred);
  for (std::size_t i = 0; i < 12; ++i) placement_.ObservePromptDelay(Id(i), seconds(3), kStart);
  EXPECT_EQ(pick(), preferred);
}

// Guards against a division that counts engines that are leaving, which would shrink a side during
// a release.
TEST_F(DividedPlacementTest, DoesNotCountDrainingEngines) {
  const auto before = FillWith(kShort, 6 * 8);
  placement_.SetDraining(common::BackendServerId(before.begin()->first), true);
  std::set<std::string> used;
  for (const auto& [id, count] : FillWith(kShort, 8)) used.insert(id);
  EXPECT_EQ(used.size(), 1U);
  EXPECT_FALSE(before.contains(*used.begin()));
}

}  // namespace
}  // namespace briarwood::routing
