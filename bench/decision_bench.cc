#include <benchmark/benchmark.h>

#include <cstdint>
#include <string>
#include <vector>

#include "briarwood/routing/routing.h"

namespace briarwood::routing {
namespace {

using std::chrono::microseconds;
using std::chrono::seconds;

constexpr std::uint32_t kDomains = 7;
constexpr std::uint32_t kCapacity = 32;
constexpr std::uint32_t kClasses = 6;
constexpr std::uint64_t kOutputTokens = 100;
/// Requests per customer and class in the queues, so that each decision considers every queue.
constexpr std::int64_t kQueuedPerCustomer = 2;

std::vector<BackendDescription> Backends(std::int64_t engines) {
  std::vector<BackendDescription> backends;
  for (std::int64_t index = 0; index < engines; ++index) {
    backends.push_back({.id = common::BackendServerId("engine-" + std::to_string(index)),
                        .failure_domain = common::FailureDomainId(std::to_string(index % kDomains)),
                        .model = common::ModelId("model"),
                        .max_concurrency = kCapacity});
  }
  return backends;
}

Scheduler MakeScheduler() {
  SchedulerOptions options;
  options.total_queue_limit = 1'000'000;
  for (std::uint32_t index = 0; index < kClasses; ++index) {
    options.classes.push_back({.id = common::ClassId("class-" + std::to_string(index)),
                               .tier = common::Tier(index / 2),
                               .first_token_target = std::chrono::hours(1),
                               .deadline = std::chrono::hours(2),
                               .floor_share = 0.05,
                               .queue_limit = 100'000});
  }
  return Scheduler::Create(std::move(options)).value();
}

/// Scheduler and placement of an entry with filled queues and half of the capacity of each server
/// in use.
class Fixture {
 public:
  Fixture(std::int64_t engines, std::int64_t customers)
      : scheduler_(MakeScheduler()), placement_({.near_domain = common::FailureDomainId("0")}) {
    placement_.SetBackends(Backends(engines));
    for (std::int64_t engine = 0; engine < engines; ++engine) {
      placement_.Report({.id = common::BackendServerId("engine-" + std::to_string(engine)),
                         .taken_at = now_,
                         .running = kCapacity / 2,
                         .capacity = kCapacity},
                        now_);
    }
    placement_.Refresh(now_);
    for (std::int64_t round = 0; round < kQueuedPerCustomer; ++round) {
      for (std::int64_t customer = 0; customer < customers; ++customer) {
        for (std::uint32_t class_index = 0; class_index < kClasses; ++class_index) {
          Enqueue(class_index, customer);
        }
      }
    }
  }

  void Enqueue(std::uint64_t class_index, std::int64_t customer) {
    QueuedRequest request;
    request.id = common::RequestId("request-" + std::to_string(++number_));
    request.class_id = common::ClassId("class-" + std::to_string(class_index));
    request.customer = common::CustomerId("customer-" + std::to_string(customer));
    request.capability.model = common::ModelId("model");
    request.prefix_hash = random_.Next();
    request.input_tokens = 500;
    request.expected_output_tokens = static_cast<double>(kOutputTokens);
    benchmark::DoNotOptimize(scheduler_.Enqueue(std::move(request), now_));
  }

  /// Schedules and places one request.
  Dispatch Decide() {
    now_ += microseconds(150);
    return *NextDispatch(scheduler_, placement_, now_);
  }

  /// Completes the request and enqueues another one of the same class and customer.
  void Complete(const Dispatch& dispatch) {
    const QueuedRequest& request = dispatch.picked.request;
    scheduler_.Charge(request.id, kOutputTokens, now_);
    scheduler_.Finish(request.id);
    placement_.OnEnded(dispatch.choice.id, dispatch.picked.tier, false);
    QueuedRequest next = request;
    next.id = common::RequestId("request-" + std::to_string(++number_));
    next.prefix_hash = random_.Next();
    next.first_token_deadline = {};
    next.deadline = {};
    benchmark::DoNotOptimize(scheduler_.Enqueue(std::move(next), now_));
  }

 private:
  common::Time now_{seconds(1000)};
  common::Random random_{1};
  std::uint64_t number_ = 0;
  Scheduler scheduler_;
  Placement placement_;
};

/// Measures only NextDispatch: the choice of class, customer and server.
void Decision(benchmark::State& state) {
  Fixture fixture(state.range(0), state.range(1));
  constexpr std::size_t kBatch = 64;
  std::vector<Dispatch> batch(kBatch);
  while (state.KeepRunningBatch(kBatch)) {
    for (Dispatch& dispatch : batch) dispatch = fixture.Decide();
    state.PauseTiming();
    for (const Dispatch& dispatch : batch) fixture.Complete(dispatch);
    state.ResumeTiming();
  }
}

/// Measures the decision, charge and end of a request, and the enqueueing of the next one.
void WholeRequest(benchmark::State& state) {
  Fixture fixture(state.range(0), state.range(1));
  for (auto _ : state) fixture.Complete(fixture.Decide());
}

constexpr std::int64_t kFewCustomers = 10;
constexpr std::int64_t kManyCustomers = 1300;

void Sizes(benchmark::internal::Benchmark* bench) {
  bench->ArgNames({"engines", "customers"});
  for (const std::int64_t customers : {kFewCustomers, kManyCustomers}) {
    for (const std::int64_t engines : {12, 500, 5400}) bench->Args({engines, customers});
  }
}

BENCHMARK(Decision)->Apply(Sizes);
BENCHMARK(WholeRequest)->Apply(Sizes);

}  // namespace
}  // namespace briarwood::routing

BENCHMARK_MAIN();
