#include "briarwood/policy_sim/simulation.h"

#include <algorithm>
#include <utility>

#include "policy_sim/impl/simulation.h"

namespace briarwood::policy_sim {
namespace {

constexpr common::Duration kTickInterval = std::chrono::milliseconds(50);
constexpr common::Duration kReportInterval = std::chrono::milliseconds(500);
constexpr common::Duration kReportDelay = std::chrono::seconds(2);
/// Time until an unreachable agent is detected by an attempt, and by missing heartbeats.
constexpr common::Duration kConnectionTimeout = std::chrono::seconds(1);
constexpr common::Duration kHeartbeatTimeout = std::chrono::seconds(3);
constexpr common::Duration kCommitDelay = std::chrono::milliseconds(5);
constexpr common::Duration kDistributionDelay = std::chrono::milliseconds(200);
constexpr common::Duration kRestartDelay = std::chrono::seconds(20);
constexpr common::Duration kTrialTimeout = std::chrono::seconds(60);
constexpr std::uint32_t kMaxFailures = 3;
constexpr std::uint64_t kTokensPerEstimate = 32;
constexpr std::uint32_t kPoisonRequests = 10;
constexpr std::uint32_t kUnboundedConcurrency = 1'000'000;

}  // namespace

Simulation::Simulation(const Scenario& scenario, const Variant& variant, std::uint64_t seed)
    : scenario_(scenario),
      variant_(variant),
      workload_(scenario, seed),
      random_(seed + 1),
      start_(events_.now()),
      recorder_(scenario, start_) {
  AddEngines();
  AddEntries(seed);
  for (std::uint32_t index = 0; index < scenario_.classes.size(); ++index) ScheduleArrival(index);
  ScheduleTicks();
  if (!variant_.agents_queue) ScheduleReports();
  ScheduleFaults();
}

void Simulation::AddEngines() {
  for (std::uint32_t index = 0; index < scenario_.engines; ++index) {
    Engine::Callbacks callbacks = {
        .on_token = [this](SimRequest& request,
                           std::uint32_t attempt) { OnToken(request, attempt); },
        .on_end = [this](SimRequest& request, std::uint32_t attempt) { OnEnd(request, attempt); },
        .on_preempted = [this](SimRequest& request,
                               std::uint32_t attempt) { OnPreempted(request, attempt); },
        .on_step =
            [this](Engine& engine) {
              if (variant_.agents_queue || !variant_.event_samples) return;
              std::vector<bool> served(entries_.size());
              for (const Engine::Stream& stream : engine.streams()) {
                served[stream.request->entry] = true;
              }
              for (std::size_t entry = 0; entry < entries_.size(); ++entry) {
                if (served[entry]) SendSample(*entries_[entry], engine, kNetworkDelay);
              }
            },
        .on_poison = [this](Engine& engine) { Crash(engine, kRestartDelay); }};
    engines_.push_back(std::make_unique<Engine>("engine-" + std::to_string(index),
                                                index % scenario_.domains, variant_.agents_queue,
                                                events_, std::move(callbacks)));
    engine_by_id_[engines_.back()->id()] = engines_.back().get();
  }
}

void Simulation::AddEntries(std::uint64_t seed) {
  routing::SchedulerOptions options;
  for (const ClassTraffic& traffic : scenario_.classes) options.classes.push_back(traffic.policy);
  options.features = variant_.scheduler;
  std::vector<routing::BackendDescription> backends;
  for (const auto& engine : engines_) {
    backends.push_back({.id = common::BackendServerId(engine->id()),
                        .failure_domain = common::FailureDomainId(std::to_string(engine->domain())),
                        .model = common::ModelId("model"),
                        .max_concurrency = variant_.agents_queue ? kUnboundedConcurrency
                                                                 : EngineModel::kCapacity});
  }
  for (std::uint32_t index = 0; index < scenario_.entries; ++index) {
    routing::PlacementOptions placement;
    placement.near_domain = common::FailureDomainId(std::to_string(index % scenario_.domains));
    placement.seed = seed + index;
    placement.features = variant_.placement;
    if (variant_.agents_queue) placement.choices = scenario_.engines;
    entries_.push_back(
        std::make_unique<EntryModel>(routing::Scheduler::Create(options).value(), placement));
    entries_.back()->placement.SetBackends(backends);
    for (const CustomerTraffic& customer : scenario_.customers) {
      entries_.back()->scheduler.SetWeight(common::CustomerId(customer.id), customer.weight);
    }
  }
}

EntryModel& Simulation::EntryOf(const SimRequest& request) { return *entries_[request.entry]; }

void Simulation::ScheduleArrival(std::uint32_t class_index) {
  const common::Duration gap = workload_.NextArrival(class_index, events_.now() - start_);
  if (events_.now() + gap - start_ >= scenario_.end) return;
  events_.After(gap, [this, class_index] {
    SimRequest& request = requests_.emplace_back(workload_.Draw(class_index, requests_.size()));
    request.arrived_at = events_.now();
    by_id_[request.queued.id.value()] = &request;
    recorder_.OnArrival(request);
    Arrive(request);
    ScheduleArrival(class_index);
  });
}

void Simulation::ScheduleTicks() {
  events_.After(kTickInterval, [this] {
    for (auto& entry : entries_) {
      if (entry->up) Tick(*entry);
    }
    for (std::uint32_t index = 0; index < scenario_.classes.size(); ++index) {
      const common::ClassId& id = scenario_.classes[index].policy.id;
      const bool standing = std::all_of(entries_.begin(), entries_.end(), [&](const auto& entry) {
        return !entry->up || entry->scheduler.queued(id) > 0;
      });
      recorder_.OnBacklog(index, standing, events_.now());
    }
    ScheduleTicks();
  });
}

void Simulation::ScheduleReports() {
  events_.After(kReportInterval, [this] {
    for (const auto& engine : engines_) {
      if (!engine->up()) continue;
      for (auto& entry : entries_) SendSample(*entry, *engine, kReportDelay);
    }
    ScheduleReports();
  });
}

void Simulation::ScheduleFaults() {
  for (const Fault& fault : scenario_.faults) {
    events_.After(fault.at, [this, fault] {
      switch (fault.kind) {
        case FaultKind::kSlowEngine: {
          constexpr double kSlowdown = 5;
          engines_[fault.target]->SetSlowdown(kSlowdown);
          break;
        }
        case FaultKind::kCrash:
          Crash(*engines_[fault.target], kRestartDelay);
          break;
        case FaultKind::kDomainLoss:
          DisconnectDomain(fault.target);
          break;
        case FaultKind::kPoison:
          SendPoisonRequest(kPoisonRequests);
          break;
      }
    });
  }
}

void Simulation::SendSample(EntryModel& entry, Engine& engine, common::Duration delay) {
  std::optional<std::uint32_t> here;
  if (delay == kNetworkDelay) {
    here = static_cast<std::uint32_t>(std::count_if(
        engine.streams().begin(), engine.streams().end(), [&](const Engine::Stream& stream) {
          return entries_[stream.request->entry].get() == &entry;
        }));
  }
  const routing::RunningSet& running = engine.running_set();
  events_.After(
      delay, [this, &entry,
              sample = routing::LoadSample{.id = common::BackendServerId(engine.id()),
                                           .taken_at = events_.now(),
                                           .running = running.running(),
                                           .running_here = here,
                                           .capacity = running.OfferedCapacity(events_.now()),
                                           .preemptible = running.OfferedPreemptible(events_.now()),
                                           .healthy = engine.up()}] {
        entry.placement.Report(sample, events_.now());
      });
}

void Simulation::Arrive(SimRequest& request) {
  while (!entries_[request.entry]->up) {
    request.entry = static_cast<std::uint32_t>(random_.Below(entries_.size()));
  }
  EntryModel& entry = EntryOf(request);
  const ClassTraffic& traffic = scenario_.classes[request.class_index];
  events_.After(traffic.policy.deadline, [this, &request] {
    const auto placed = engine_of_.find(&request);
    if (request.state != RequestState::kOpen || placed == engine_of_.end()) return;
    placed->second->Cancel(request, request.attempt);
    EndAttempt(request);
    Close(request, RequestState::kFailed);
  });
  entry.retries.OnRequest(request.queued.class_id, events_.now());
  if (variant_.suspects) {
    const auto verdict = entry.suspects.Check(request.queued.fingerprint, events_.now());
    if (verdict == routing::SuspectVerdict::kReject) return Close(request, RequestState::kFailed);
    if (verdict == routing::SuspectVerdict::kRunAlone) {
      entry.trials.push_back(&request);
      return;
    }
  }
  Enqueue(entry, request);
}

void Simulation::Enqueue(EntryModel& entry, SimRequest& request) {
  if (variant_.length_estimates) {
    request.queued.expected_output_tokens = entry.lengths.Estimate(
        request.queued.customer, request.queued.class_id, request.queued.capability.model);
  }
  FailDropped(entry.scheduler.Enqueue(request.queued, events_.now()));
  DispatchQueued(entry);
}

void Simulation::FailDropped(const std::vector<routing::DroppedRequest>& dropped) {
  for (const routing::DroppedRequest& drop : dropped) {
    SimRequest& request = *by_id_.at(drop.request.id.value());
    Close(request, RequestState::kFailed);
  }
}

void Simulation::Close(SimRequest& request, RequestState state) {
  if (request.state != RequestState::kOpen) return;
  request.state = state;
  ++request.attempt;
  if (variant_.suspects && request.trial) EndTrial(request, state == RequestState::kComplete);
  if (!request.poison) {
    recorder_.OnClosed(request, state == RequestState::kFailed && request.attempts == 0);
  }
  if (request.on_closed) request.on_closed(state);
}

void Simulation::DispatchQueued(EntryModel& entry) {
  while (auto dispatch = routing::NextDispatch(entry.scheduler, entry.placement, events_.now())) {
    SimRequest& request = *by_id_.at(dispatch->picked.request.id.value());
    StartAttempt(request, dispatch->choice, dispatch->picked.floor_protected);
  }
  FailDropped(entry.scheduler.TakeDropped());
}

void Simulation::StartAttempt(SimRequest& request, const routing::PlacementChoice& choice,
                              bool floor_protected) {
  Engine& engine = *engine_by_id_.at(choice.id.value());
  ++request.attempts;
  ++request.attempt;
  request.attempt_started_at = events_.now();
  engine_of_[&request] = &engine;
  events_.After(kNetworkDelay,
                [this, &request, attempt = request.attempt, &engine, floor_protected] {
                  if (request.attempt == attempt) Receive(request, engine, floor_protected);
                });
}

void Simulation::Receive(SimRequest& request, Engine& engine, bool floor_protected) {
  const std::uint32_t attempt = request.attempt;
  if (!engine.up()) {
    events_.After(unreachable_.contains(engine.id()) ? kConnectionTimeout : kNetworkDelay,
                  [this, &request, attempt] { OnAttemptFailed(request, attempt, false); });
    return;
  }
  const auto verdict =
      engine.Submit(request, floor_protected || !variant_.placement.preemption, request.trial);
  if (verdict == routing::AdmitVerdict::kAdmitted) return;
  SendSample(EntryOf(request), engine, kNetworkDelay);
  events_.After(kNetworkDelay, [this, &request, attempt] { OnRejected(request, attempt); });
}

void Simulation::EndAttempt(SimRequest& request) {
  Engine& engine = *engine_of_.at(&request);
  engine_of_.erase(&request);
  EntryOf(request).placement.OnEnded(common::BackendServerId(engine.id()),
                                     common::Tier(request.tier), request.trial);
  EntryOf(request).scheduler.Finish(request.queued.id);
}

void Simulation::OnRejected(SimRequest& request, std::uint32_t attempt) {
  if (request.attempt != attempt) return;
  EntryModel& entry = EntryOf(request);
  const common::BackendServerId engine(engine_of_.at(&request)->id());
  engine_of_.erase(&request);
  ++request.attempt;
  entry.placement.OnEnded(engine, common::Tier(request.tier), request.trial);
  entry.placement.OnFull(engine, request.trial, events_.now());
  if (request.trial) {
    entry.trials.push_back(&request);
  } else {
    entry.scheduler.PutBack(request.queued.id);
  }
  DispatchQueued(entry);
}

void Simulation::OnToken(SimRequest& request, std::uint32_t attempt) {
  if (request.attempt != attempt) return;
  EntryModel& entry = EntryOf(request);
  const common::Time now = events_.now() + kNetworkDelay;
  const common::BackendServerId engine(engine_of_.at(&request)->id());
  const bool first = request.delivered == request.queued.resume_from;
  if (first) {
    entry.placement.OnSuccess(engine, now);
    if (request.delivered == 0) {
      request.first_token_at = now;
      if (!request.trial) {
        entry.scheduler.ObserveFirstToken(request.input_tokens, now - request.attempt_started_at);
      }
    }
  } else {
    entry.placement.ObserveTokenGap(engine, now - request.last_token_at, events_.now());
  }
  double served = 1;
  if (request.delivered == 0) {
    served += EngineModel::kInputWeight * static_cast<double>(request.input_tokens);
  }
  ++request.delivered;
  request.last_token_at = now;
  recorder_.OnServed(request, events_.now(), served);
  entry.scheduler.Charge(request.queued.id, 1, events_.now());
  if (variant_.length_estimates && request.delivered % kTokensPerEstimate == 0) {
    const double total = entry.lengths.Estimate(request.queued.customer, request.queued.class_id,
                                                request.queued.capability.model, request.delivered);
    entry.scheduler.UpdateEstimate(request.queued.id,
                                   total - static_cast<double>(request.delivered));
  }
}

void Simulation::OnEnd(SimRequest& request, std::uint32_t attempt) {
  if (request.attempt != attempt) return;
  EntryModel& entry = EntryOf(request);
  EndAttempt(request);
  entry.lengths.Observe(request.queued.customer, request.queued.class_id,
                        request.queued.capability.model, request.output_tokens);
  Close(request, RequestState::kComplete);
  DispatchQueued(entry);
}

void Simulation::OnPreempted(SimRequest& request, std::uint32_t attempt) {
  if (request.attempt != attempt) return;
  EntryModel& entry = EntryOf(request);
  const common::BackendServerId engine(engine_of_.at(&request)->id());
  engine_of_.erase(&request);
  ++request.attempt;
  ++request.preemptions;
  entry.placement.OnEnded(engine, common::Tier(request.tier), false);
  request.queued.resume_from = request.delivered;
  entry.scheduler.Requeue(request.queued.id, request.delivered);
  events_.After(kNetworkDelay, [this, &entry] { DispatchQueued(entry); });
}

void Simulation::OnAttemptFailed(SimRequest& request, std::uint32_t attempt, bool crashed) {
  if (request.attempt != attempt) return;
  EntryModel& entry = EntryOf(request);
  const common::BackendServerId engine(engine_of_.at(&request)->id());
  engine_of_.erase(&request);
  ++request.attempt;
  ++request.failures;
  entry.placement.OnEnded(engine, common::Tier(request.tier), request.trial);
  entry.placement.OnFailure(engine, events_.now());
  request.queued.resume_from = request.delivered;
  const bool suspect = crashed && variant_.suspects;
  const bool rejected =
      suspect && entry.suspects.Check(request.queued.fingerprint, events_.now()) ==
                     routing::SuspectVerdict::kReject;
  const bool may_retry = variant_.retry_budget
                             ? entry.retries.TryRetry(request.queued.class_id, events_.now())
                             : request.failures < kMaxFailures;
  if (rejected || !may_retry || request.trial) {
    entry.scheduler.Finish(request.queued.id);
    Close(request, RequestState::kFailed);
  } else if (suspect) {
    entry.scheduler.Finish(request.queued.id);
    entry.trials.push_back(&request);
  } else {
    events_.After(routing::RetryBudget::Backoff(request.failures, random_),
                  [this, &entry, &request, engine] {
                    if (request.state != RequestState::kOpen) return;
                    entry.scheduler.Requeue(request.queued.id, request.delivered, engine);
                    DispatchQueued(entry);
                  });
  }
}

void Simulation::Tick(EntryModel& entry) {
  entry.scheduler.DropLate(events_.now());
  entry.placement.Refresh(events_.now());
  StartTrials(entry);
  DispatchQueued(entry);
}

void Simulation::StartTrials(EntryModel& entry) {
  const common::Time now = events_.now();
  std::stable_sort(
      entry.trials.begin(), entry.trials.end(),
      [](const SimRequest* left, const SimRequest* right) { return left->tier < right->tier; });
  std::deque<SimRequest*> waiting;
  for (SimRequest* request : std::exchange(entry.trials, {})) {
    const ClassTraffic& traffic = scenario_.classes[request->class_index];
    const common::Duration age = now - request->arrived_at;
    const bool late = request->delivered == 0 ? age > traffic.policy.first_token_target
                                              : age > traffic.policy.deadline;
    if (late || request->state != RequestState::kOpen) {
      Close(*request, RequestState::kFailed);
      continue;
    }
    if (!request->trial) {
      request->trial =
          control_suspects_.BeginTrial(request->queued.fingerprint, now, now + kTrialTimeout);
    }
    const auto choice = request->trial
                            ? entry.placement.Pick({.capability = request->queued.capability,
                                                    .tier = common::Tier(request->tier),
                                                    .alone = true},
                                                   now)
                            : std::nullopt;
    if (!choice) {
      waiting.push_back(request);
      continue;
    }
    entry.placement.OnSent(choice->id, common::Tier(request->tier), true, now);
    StartAttempt(*request, *choice, false);
  }
  entry.trials.insert(entry.trials.end(), waiting.begin(), waiting.end());
}

void Simulation::EndTrial(SimRequest& request, bool cleared) {
  const common::Digest128 fingerprint = request.queued.fingerprint;
  control_suspects_.EndTrial(fingerprint, cleared);
  if (!cleared) return;
  events_.After(kDistributionDelay, [this, fingerprint] {
    for (auto& entry : entries_) entry->suspects.EraseRow(fingerprint);
  });
}

void Simulation::Crash(Engine& engine, common::Duration restart_after) {
  if (!engine.up()) return;
  recorder_.OnEngineCrash();
  const auto ended = engine.Stop();
  std::vector<common::Digest128> fingerprints;
  fingerprints.reserve(ended.size());
  for (const Engine::Stream& stream : ended) {
    fingerprints.push_back(stream.request->queued.fingerprint);
  }
  events_.After(kCommitDelay, [this, fingerprints] {
    control_suspects_.RecordCrash(fingerprints, events_.now());
  });
  for (std::size_t index = 0; index < entries_.size(); ++index) {
    // An entry knows the fingerprints of its own streams immediately, and the others from the log.
    std::vector<common::Digest128> own;
    std::vector<common::Digest128> others;
    for (const Engine::Stream& stream : ended) {
      (stream.request->entry == index ? own : others).push_back(stream.request->queued.fingerprint);
    }
    entries_[index]->suspects.RecordCrash(own, events_.now());
    events_.After(kDistributionDelay, [this, index, others] {
      entries_[index]->suspects.RecordCrash(others, events_.now());
    });
    entries_[index]->placement.SetAlive(common::BackendServerId(engine.id()), false);
  }
  for (const Engine::Stream& stream : ended) {
    events_.After(kNetworkDelay,
                  [this, stream] { OnAttemptFailed(*stream.request, stream.attempt, true); });
  }
  events_.After(restart_after, [this, &engine] {
    if (unreachable_.contains(engine.id())) return;
    engine.Start();
    for (auto& entry : entries_) {
      entry->placement.SetAlive(common::BackendServerId(engine.id()), true);
    }
  });
}

void Simulation::DisconnectDomain(std::uint32_t domain) {
  for (const auto& engine : engines_) {
    if (engine->domain() != domain) continue;
    unreachable_.insert(engine->id());
    for (const Engine::Stream& stream : engine->Stop()) {
      events_.After(kConnectionTimeout,
                    [this, stream] { OnAttemptFailed(*stream.request, stream.attempt, false); });
    }
    events_.After(kHeartbeatTimeout, [this, id = common::BackendServerId(engine->id())] {
      for (auto& entry : entries_) entry->placement.SetAlive(id, false);
    });
  }
  if (domain >= entries_.size()) return;
  entries_[domain]->up = false;
  for (SimRequest& request : requests_) {
    if (request.entry != domain || request.state != RequestState::kOpen) continue;
    const auto placed = engine_of_.find(&request);
    if (placed != engine_of_.end()) {
      placed->second->Cancel(request, request.attempt);
      engine_of_.erase(placed);
    }
    Close(request, RequestState::kFailed);
  }
}

void Simulation::SendPoisonRequest(std::uint32_t times_left) {
  if (times_left == 0) return;
  SimRequest& request = requests_.emplace_back(workload_.Draw(0, requests_.size()));
  request.poison = true;
  request.queued.fingerprint = common::Hash128("poison");
  request.arrived_at = events_.now();
  by_id_[request.queued.id.value()] = &request;
  request.on_closed = [this, times_left](RequestState) {
    events_.After(std::chrono::seconds(1),
                  [this, times_left] { SendPoisonRequest(times_left - 1); });
  };
  Arrive(request);
}

Outcome Simulation::Run() {
  events_.RunUntil(start_ + scenario_.end);
  for (const SimRequest& request : requests_) {
    if (request.state == RequestState::kOpen && !request.poison) recorder_.OnUnfinished(request);
  }
  return recorder_.Summarise(engines_);
}

Outcome RunScenario(const Scenario& scenario, const Variant& variant, std::uint64_t seed) {
  Simulation simulation(scenario, variant, seed);
  Outcome outcome = simulation.Run();
  outcome.scenario = scenario.name;
  outcome.variant = variant.name;
  outcome.seed = seed;
  return outcome;
}

}  // namespace briarwood::policy_sim
