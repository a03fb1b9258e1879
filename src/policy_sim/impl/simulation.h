#pragma once

#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

#include "briarwood/policy_sim/simulation.h"
#include "briarwood/routing/routing.h"
#include "policy_sim/impl/engine.h"
#include "policy_sim/impl/event_queue.h"
#include "policy_sim/impl/recorder.h"
#include "policy_sim/impl/request.h"
#include "policy_sim/impl/workload.h"

namespace briarwood::policy_sim {

/// Routing components of one entry.
struct EntryModel {
  EntryModel(routing::Scheduler queue, routing::PlacementOptions options)
      : scheduler(std::move(queue)), placement(std::move(options)) {}

  bool up = true;
  routing::Scheduler scheduler;
  routing::Placement placement;
  routing::RetryBudget retries;
  routing::LengthEstimator lengths;
  routing::SuspectTable suspects;
  /// Suspects that wait for a trial.
  std::deque<SimRequest*> trials;
};

/// Discrete-event simulation of arrivals, entries with the production routing classes, and
/// simulated engines.
class Simulation {
 public:
  Simulation(const Scenario& scenario, const Variant& variant, std::uint64_t seed);

  [[nodiscard]] Outcome Run();

 private:
  static constexpr common::Duration kNetworkDelay = std::chrono::milliseconds(1);

  void AddEngines();
  void AddEntries(std::uint64_t seed);
  void ScheduleArrival(std::uint32_t class_index);
  void ScheduleTicks();
  void ScheduleReports();
  void ScheduleFaults();

  void Arrive(SimRequest& request);
  void Enqueue(EntryModel& entry, SimRequest& request);
  void DispatchQueued(EntryModel& entry);
  void StartAttempt(SimRequest& request, const routing::PlacementChoice& choice,
                    bool floor_protected);
  void Receive(SimRequest& request, Engine& engine, bool floor_protected);
  /// Ends the attempt in the placement and the scheduler of the entry.
  void EndAttempt(SimRequest& request);
  void Tick(EntryModel& entry);
  void StartTrials(EntryModel& entry);
  void EndTrial(SimRequest& request, bool cleared);

  void OnToken(SimRequest& request, std::uint32_t attempt);
  void OnEnd(SimRequest& request, std::uint32_t attempt);
  void OnPreempted(SimRequest& request, std::uint32_t attempt);
  void OnRejected(SimRequest& request, std::uint32_t attempt);
  void OnAttemptFailed(SimRequest& request, std::uint32_t attempt, bool crashed);
  void FailDropped(const std::vector<routing::DroppedRequest>& dropped);
  void Close(SimRequest& request, RequestState state);
  void SendSample(EntryModel& entry, Engine& engine, common::Duration delay);

  void Crash(Engine& engine, common::Duration restart_after);
  void DisconnectDomain(std::uint32_t domain);
  void SendPoisonRequest(std::uint32_t times_left);
  [[nodiscard]] EntryModel& EntryOf(const SimRequest& request);

  const Scenario& scenario_;
  const Variant& variant_;
  Workload workload_;
  common::Random random_;
  EventQueue events_;
  common::Time start_;
  Recorder recorder_;
  std::deque<SimRequest> requests_;
  std::unordered_map<std::string, SimRequest*> by_id_;
  std::vector<std::unique_ptr<Engine>> engines_;
  std::unordered_map<std::string, Engine*> engine_by_id_;
  /// Engine of the current attempt of each request.
  std::unordered_map<const SimRequest*, Engine*> engine_of_;
  std::vector<std::unique_ptr<EntryModel>> entries_;
  /// Engines that are unreachable.
  std::unordered_set<std::string> unreachable_;
  /// Committed suspects and the only trial of the fleet.
  routing::SuspectTable control_suspects_;
};

}  // namespace briarwood::policy_sim
