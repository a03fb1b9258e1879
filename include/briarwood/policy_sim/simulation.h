#pragma once

#include <cstdint>
#include <iosfwd>
#include <string>
#include <vector>

#include "briarwood/policy_sim/scenario.h"

namespace briarwood::policy_sim {

struct ClassOutcome {
  std::string class_id;
  std::uint32_t tier = 0;
  std::uint64_t requests = 0;
  /// Share of the requests that completed in time and whose first token and mean token gap were on
  /// time.
  double attainment = 0;
  /// Minimum over customers of the tokens served, relative to the weighted max-min share of the
  /// tokens served to the class.
  double worst_customer = 1;
  /// Minimum over customers of the attainment relative to that of the class.
  double worst_attainment = 1;
  /// Minimum share of the served tokens relative to the floor, over the 10 s windows in which the
  /// class always had queued requests at every entry; negative if there was no such window.
  double least_floor = -1;
  std::uint64_t shed = 0;
  std::uint64_t preempted = 0;
};

/// Metrics of one run. `goodput`, `attempts_per_request` and the outcomes of the classes, except
/// ClassOutcome::least_floor, cover the requests that arrived during the burst; the other metrics
/// cover the whole run.
struct Outcome {
  std::string scenario;
  std::string variant;
  std::uint64_t seed = 0;
  std::vector<ClassOutcome> classes;
  /// Output tokens per second of requests that were on time.
  double goodput = 0;
  /// Share of the engine work, in weighted tokens, that was of no use to any caller.
  double wasted = 0;
  double busy_engine_seconds = 0;
  /// Output tokens of complete responses per busy engine-second.
  double tokens_per_engine_second = 0;
  /// Attempts per request with at least one attempt, including attempts rejected by a full server.
  double attempts_per_request = 0;
  /// Share of the prompt tokens that were found in a prefix cache.
  double cache_hits = 0;
  std::uint64_t engines_crashed = 0;
};

/// Simulates a scenario with a variant in virtual time.
[[nodiscard]] Outcome RunScenario(const Scenario& scenario, const Variant& variant,
                                  std::uint64_t seed);

void WriteTable(std::ostream& out, const std::vector<Outcome>& outcomes);
void WriteCsv(std::ostream& out, const std::vector<Outcome>& outcomes);

}  // namespace briarwood::policy_sim
