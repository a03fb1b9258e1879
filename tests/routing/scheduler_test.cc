#include "briarwood/routing/scheduler.h"

#include <gtest/gtest.h>

#include <map>
#include <string>

namespace briarwood::routing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr common::Time kStart{seconds(1000)};

ClassPolicy Policy(const std::string& id, std::uint32_t tier, double floor = 0) {
  return {.id = common::ClassId(id),
          .tier = common::Tier(tier),
          .first_token_target = seconds(5),
          .deadline = seconds(600),
          .floor_share = floor,
          .queue_limit = 20};
}

Scheduler Make(std::vector<ClassPolicy> classes, std::size_t total = 1000) {
  return Scheduler::Create({.classes = std::move(classes), .total_queue_limit = total}).value();
}

QueuedRequest Request(int number, const std::string& class_id, const std::string& customer) {
  QueuedRequest request;
  request.id = common::RequestId(class_id + customer + std::to_string(number));
  request.class_id = common::ClassId(class_id);
  request.customer = common::CustomerId(customer);
  request.input_tokens = 100;
  request.expected_output_tokens = 50;
  return request;
}

// Serves a picked request: `tokens` output tokens in 100 ms.
void Serve(Scheduler& scheduler, const PickedRequest& picked, std::uint64_t tokens,
           common::Time& now) {
  scheduler.Charge(picked.request.id, tokens, now);
  scheduler.Finish(picked.request.id);
  now += milliseconds(100);
}

// Guards against a full queue that rejects a top-tier request while requests of lower tiers are
// queued.
TEST(SchedulerTest, I1FullQueueShedsLowestTierFirst) {
  Scheduler scheduler = Make({Policy("top", 0), Policy("low", 2), Policy("mid", 1)}, 30);
  for (int i = 0; i < 15; ++i) {
    EXPECT_TRUE(scheduler.Enqueue(Request(i, "low", "a"), kStart).empty());
    EXPECT_TRUE(scheduler.Enqueue(Request(i, "mid", "a"), kStart).empty());
  }
  for (int i = 0; i < 20; ++i) {
    const auto shed = scheduler.Enqueue(Request(i, "top", "a"), kStart);
    ASSERT_EQ(shed.size(), 1U);
    EXPECT_EQ(shed[0].request.class_id.value(), i < 15 ? "low" : "mid");
  }
  const auto shed = scheduler.Enqueue(Request(20, "top", "a"), kStart);
  ASSERT_EQ(shed.size(), 1U);
  EXPECT_EQ(shed[0].request.class_id.value(), "top");  // the top tier alone reaches its queue limit
}

// Guards against picking a lower tier before a waiting top tier, unless a class is below its floor.
TEST(SchedulerTest, I1TopTierIsPickedFirst) {
  Scheduler scheduler = Make({Policy("low", 1), Policy("top", 0)});
  (void)scheduler.Enqueue(Request(1, "low", "a"), kStart);
  (void)scheduler.Enqueue(Request(2, "top", "a"), kStart);
  EXPECT_EQ(scheduler.PickNext(kStart)->request.class_id.value(), "top");
}

// Guards against starvation of a lower class by a burst of the top tier.
TEST(SchedulerTest, I2FloorIsServedDuringBurstOfTopTier) {
  Scheduler scheduler = Make({Policy("top", 0), Policy("low", 1, 0.1)});
  common::Time now = kStart;
  std::map<std::string, double> served;
  std::optional<PickedRequest> running;  // keeps at least one request running
  for (int i = 0; i < 400; ++i) {
    (void)scheduler.Enqueue(Request(i, "top", "a"), now);
    (void)scheduler.Enqueue(Request(i, "low", "a"), now);
    auto picked = scheduler.PickNext(now);
    ASSERT_TRUE(picked);
    if (running) {
      served[running->request.class_id.value()] += 50;
      Serve(scheduler, *running, 50, now);
    }
    running = std::move(picked);
  }
  const double share = served["low"] / (served["low"] + served["top"]);
  EXPECT_GE(share, 0.1);
  EXPECT_LE(share, 0.2);
}

// Guards against a customer that gets more than its share of a class by sending more requests.
TEST(SchedulerTest, FairSharingInsideClassFollowsWeights) {
  Scheduler scheduler = Make({Policy("class", 0)});
  scheduler.SetWeight(common::CustomerId("heavy"), 2);
  std::map<std::string, double> served;
  common::Time now = kStart;
  int number = 0;
  for (int round = 0; round < 900; ++round) {
    for (int i = 0; i < 10; ++i) (void)scheduler.Enqueue(Request(++number, "class", "greedy"), now);
    (void)scheduler.Enqueue(Request(++number, "class", "heavy"), now);
    (void)scheduler.Enqueue(Request(++number, "class", "plain"), now);
    const auto picked = scheduler.PickNext(now);
    ASSERT_TRUE(picked);
    // Responses of the greedy customer are longer than estimated.
    const std::uint64_t tokens = picked->request.customer.value() == "greedy" ? 150 : 50;
    served[picked->request.customer.value()] += static_cast<double>(tokens) + 0.125 * 100;
    Serve(scheduler, *picked, tokens, now);
  }
  EXPECT_NEAR(served["greedy"] / served["plain"], 1, 0.1);
  EXPECT_NEAR(served["heavy"] / served["plain"], 2, 0.2);
}

// Guards against credit that grows while a customer is inactive and then blocks the others.
TEST(SchedulerTest, ReturningCustomerHasBoundedCredit) {
  ClassPolicy policy = Policy("class", 0);
  policy.queue_limit = 100;
  Scheduler scheduler = Make({policy});
  common::Time now = kStart;
  (void)scheduler.Enqueue(Request(0, "class", "away"), now);
  Serve(scheduler, *scheduler.PickNext(now), 50, now);
  for (int i = 1; i <= 500; ++i) {
    (void)scheduler.Enqueue(Request(i, "class", "steady"), now);
    Serve(scheduler, *scheduler.PickNext(now), 50, now);
  }
  int in_a_row = 0;
  for (int i = 0; i < 20; ++i) {
    (void)scheduler.Enqueue(Request(600 + i, "class", "away"), now);
    (void)scheduler.Enqueue(Request(600 + i, "class", "steady"), now);
  }
  while (scheduler.PickNext(now)->request.customer.value() == "away") ++in_a_row;
  EXPECT_GE(in_a_row, 1);
  // 1000 tokens of credit at 62.5 tokens per request, plus the last charge of the other customer
  // and a tie.
  EXPECT_LE(in_a_row, 18);
}

// Guards against engine time spent on late first tokens, and against a prediction that drops every
// request and is therefore never corrected.
TEST(SchedulerTest, LateFirstTokenIsDroppedButNewRequestsAlwaysRun) {
  Scheduler scheduler = Make({Policy("class", 0)});
  for (int i = 0; i < 100; ++i) scheduler.ObserveFirstToken(100, seconds(20));
  (void)scheduler.Enqueue(Request(1, "class", "a"), kStart);
  (void)scheduler.Enqueue(Request(2, "class", "a"), kStart + seconds(3));
  const auto picked = scheduler.PickNext(kStart + seconds(3));
  ASSERT_TRUE(picked);
  EXPECT_EQ(picked->request.id.value(), "classa2");
  const auto dropped = scheduler.TakeDropped();
  ASSERT_EQ(dropped.size(), 1U);
  EXPECT_EQ(dropped[0].reason, DropReason::kFirstTokenLate);
}

// Guards against a preempted stream that loses its resume position or its place in the queue.
TEST(SchedulerTest, PreemptedRequestReturnsToHeadWithResumePosition) {
  Scheduler scheduler = Make({Policy("class", 1)});
  (void)scheduler.Enqueue(Request(1, "class", "a"), kStart);
  (void)scheduler.Enqueue(Request(2, "class", "a"), kStart);
  const auto first = scheduler.PickNext(kStart);
  scheduler.Charge(first->request.id, 7, kStart);
  const double paid = scheduler.VirtualTokens(first->request.class_id, first->request.customer);
  scheduler.Requeue(first->request.id, 7);
  const auto again = scheduler.PickNext(kStart + seconds(30));  // past the first-token deadline
  ASSERT_TRUE(again);
  EXPECT_EQ(again->request.id, first->request.id);
  EXPECT_EQ(again->request.resume_from, 7U);
  // Input is charged once.
  EXPECT_DOUBLE_EQ(scheduler.VirtualTokens(first->request.class_id, first->request.customer), paid);
}

// Guards against a request that was preempted or interrupted before its first token and is dropped
// as late at once, although its caller still waits for the answer.
TEST(SchedulerTest, InterruptedRequestWithoutATokenIsDroppedOnlyAtItsDeadline) {
  Scheduler scheduler = Make({Policy("question", 0)});
  const QueuedRequest request = Request(1, "question", "a");
  ASSERT_TRUE(scheduler.Enqueue(request, kStart).empty());
  ASSERT_TRUE(scheduler.PickNext(kStart).has_value());
  scheduler.Requeue(request.id, 0);
  scheduler.DropLate(kStart + seconds(6));
  EXPECT_TRUE(scheduler.TakeDropped().empty());
  EXPECT_TRUE(scheduler.PickNext(kStart + seconds(6)).has_value());
  scheduler.Requeue(request.id, 0);
  scheduler.DropLate(kStart + seconds(600));
  const auto dropped = scheduler.TakeDropped();
  ASSERT_EQ(dropped.size(), 1U);
  EXPECT_EQ(dropped[0].reason, DropReason::kDeadline);
}

// Guards against a full queue that drops a request which waits for its next attempt, so that an
// answer that has begun is lost, instead of one that has not run.
TEST(SchedulerTest, FullQueueShedsInterruptedRequestsLast) {
  ClassPolicy policy = Policy("question", 0);
  policy.queue_limit = 2;
  Scheduler scheduler = Make({policy});
  QueuedRequest interrupted = Request(1, "question", "a");
  interrupted.interruptions = 1;
  ASSERT_TRUE(scheduler.Enqueue(Request(2, "question", "a"), kStart).empty());
  ASSERT_TRUE(scheduler.Enqueue(Request(3, "question", "a"), kStart).empty());
  auto shed = scheduler.Enqueue(interrupted, kStart);
  ASSERT_EQ(shed.size(), 1U);
  EXPECT_EQ(shed[0].request.id, Request(3, "question", "a").id);
  QueuedRequest second = Request(4, "question", "b");
  second.interruptions = 1;
  shed = scheduler.Enqueue(second, kStart);
  ASSERT_EQ(shed.size(), 1U);
  EXPECT_EQ(shed[0].request.id, Request(2, "question", "a").id);
  shed = scheduler.Enqueue(Request(5, "question", "b"), kStart);
  ASSERT_EQ(shed.size(), 1U);
  EXPECT_EQ(shed[0].request.id, Request(5, "question", "b").id);
  QueuedRequest third = Request(6, "question", "b");
  third.interruptions = 1;
  EXPECT_EQ(scheduler.Enqueue(third, kStart).size(), 1U);
  EXPECT_EQ(scheduler.queued(), 2U);
}

// Guards against an interrupted stream that is dropped at once, because the limit of its time in
// the queue counts from its arrival and has passed while it ran.
TEST(SchedulerTest, RequeuedRequestWaitsUntilItsNewDeadline) {
  Scheduler scheduler = Make({Policy("class", 1)});
  QueuedRequest request = Request(1, "class", "a");
  request.deadline = kStart + seconds(2);
  (void)scheduler.Enqueue(request, kStart);
  ASSERT_TRUE(scheduler.PickNext(kStart));
  scheduler.Charge(request.id, 7, kStart);
  scheduler.Requeue(request.id, 7, {}, kStart + seconds(10));
  scheduler.DropLate(kStart + seconds(9));
  EXPECT_TRUE(scheduler.TakeDropped().empty());
  ASSERT_TRUE(scheduler.PickNext(kStart + seconds(9)));
  scheduler.Requeue(request.id, 8);
  scheduler.DropLate(kStart + seconds(11));
  ASSERT_EQ(scheduler.TakeDropped().size(), 1U);
}

// Guards against rejecting requests of a class that was added by a later configuration, and against
// a class table that grows with every change.
TEST(SchedulerTest, AddsClassesAtRunTimeUpToALimit) {
  Scheduler scheduler = Make({});
  for (int i = 0; i < 1000; ++i) {
    const std::string id = "class-" + std::to_string(i);
    ASSERT_TRUE(scheduler.SetClass(Policy(id, 1)));
    EXPECT_TRUE(scheduler.Enqueue(Request(i, id, "east"), kStart).empty());
    const auto picked = scheduler.PickNext(kStart);
    ASSERT_TRUE(picked.has_value());
    EXPECT_EQ(picked->request.class_id.value(), id);
    scheduler.Finish(picked->request.id);
  }
}

// Guards against a new class replacing a class with queued requests.
TEST(SchedulerTest, KeepsClassesWithRequests) {
  Scheduler scheduler = Make({}, 100'000);
  for (std::size_t i = 0; i < Scheduler::kMaxClasses; ++i) {
    const std::string id = "class-" + std::to_string(i);
    ASSERT_TRUE(scheduler.SetClass(Policy(id, 1)));
    EXPECT_TRUE(scheduler.Enqueue(Request(static_cast<int>(i), id, "east"), kStart).empty());
  }
  EXPECT_FALSE(scheduler.SetClass(Policy("one-more", 1)));
  EXPECT_EQ(scheduler.queued(), Scheduler::kMaxClasses);
}

// Load pattern: a burst above the capacity of the servers, in which each request waits until it is
// just late and is then served before a request that could still be on time. Guards against a queue
// in which all requests are late although most could be on time.
TEST(SchedulerTest, LateRequestsAreQueuedBehindThoseOnTime) {
  SchedulerOptions options{.classes = {Policy("digest", 1), Policy("low", 2)}};
  options.features.drop_late = false;
  options.features.demote_late = true;
  Scheduler scheduler = Scheduler::Create(std::move(options)).value();
  EXPECT_TRUE(scheduler.Enqueue(Request(1, "digest", "a"), kStart).empty());
  const common::Time later = kStart + seconds(6);
  EXPECT_TRUE(scheduler.Enqueue(Request(2, "digest", "a"), later).empty());
  EXPECT_TRUE(scheduler.Enqueue(Request(3, "low", "a"), later).empty());
  EXPECT_EQ(scheduler.queued(), 3U);
  EXPECT_EQ(scheduler.PickNext(later)->request.id.value(), "digesta2");
  // A late request of a higher tier is still picked before a request of a lower tier.
  EXPECT_EQ(scheduler.PickNext(later)->request.id.value(), "digesta1");
  EXPECT_EQ(scheduler.PickNext(later)->request.id.value(), "lowa3");
  EXPECT_EQ(scheduler.queued(), 0U);
  EXPECT_TRUE(scheduler.TakeDropped().empty());
}

// Guards against a late request that waits indefinitely, is shed last, or cannot be cancelled.
TEST(SchedulerTest, LateRequestsEndAtTheirDeadlineOrWhenCancelled) {
  SchedulerOptions options{.classes = {Policy("digest", 1)}};
  options.features.drop_late = false;
  options.features.demote_late = true;
  Scheduler scheduler = Scheduler::Create(std::move(options)).value();
  for (int i = 1; i <= 3; ++i) {
    EXPECT_TRUE(scheduler.Enqueue(Request(i, "digest", "a"), kStart).empty());
  }
  scheduler.DropLate(kStart + seconds(6));
  EXPECT_EQ(scheduler.queued(common::ClassId("digest")), 3U);
  EXPECT_TRUE(scheduler.Cancel(common::RequestId("digesta2")));
  EXPECT_EQ(scheduler.queued(), 2U);
  scheduler.DropLate(kStart + seconds(601));
  EXPECT_EQ(scheduler.queued(), 0U);
  const auto dropped = scheduler.TakeDropped();
  ASSERT_EQ(dropped.size(), 2U);
  EXPECT_EQ(dropped[0].reason, DropReason::kDeadline);
}

}  // namespace
}  // namespace briarwood::routing
