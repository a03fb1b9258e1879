#include <atomic>
#include <boost/program_options.hpp>
#include <chrono>
#include <cstdint>
#include <fstream>
#include <iostream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "briarwood/policy_sim/simulation.h"

namespace {

namespace options = boost::program_options;
using briarwood::policy_sim::Outcome;
using briarwood::policy_sim::Scenario;
using briarwood::policy_sim::Variant;

std::vector<Outcome> RunAll(const std::vector<std::pair<Scenario, Variant>>& runs,
                            std::uint64_t seed, unsigned threads) {
  std::vector<Outcome> outcomes(runs.size());
  std::atomic<std::size_t> next = 0;
  std::vector<std::jthread> workers;
  for (unsigned worker = 0; worker < threads; ++worker) {
    workers.emplace_back([&] {
      for (std::size_t index = next++; index < runs.size(); index = next++) {
        outcomes[index] =
            briarwood::policy_sim::RunScenario(runs[index].first, runs[index].second, seed);
      }
    });
  }
  workers.clear();
  return outcomes;
}

/// \returns true if `name` contains `filter`, or equals the rest of a filter that starts with '='.
bool Selected(const std::string& name, const std::string& filter) {
  if (filter.starts_with('=')) return name == filter.substr(1);
  return name.find(filter) != std::string::npos;
}

int Main(int argc, char** argv) {
  std::string scenario_filter;
  std::string variant_filter;
  std::string csv_file;
  std::uint64_t seed = 0;
  std::uint64_t burst_seconds = 0;
  unsigned threads = 0;
  options::options_description description("Compares routing policies in virtual time");
  description.add_options()("help", "print this text")(
      "scenario", options::value(&scenario_filter),
      "run scenarios whose name contains this text, or equals the text after a leading '='")(
      "variant", options::value(&variant_filter),
      "run variants whose name contains this text, or equals the text after a leading '='")(
      "seed", options::value(&seed)->default_value(1), "seed of arrivals and decisions")(
      "threads", options::value(&threads)->default_value(4), "number of concurrent simulations")(
      "burst-seconds", options::value(&burst_seconds)->default_value(180), "length of the burst")(
      "csv", options::value(&csv_file), "also write one row per run and class to this file");
  options::variables_map values;
  options::store(options::parse_command_line(argc, argv, description), values);
  options::notify(values);
  if (values.contains("help")) {
    std::cout << description;
    return 0;
  }
  std::vector<std::pair<Scenario, Variant>> runs;
  for (Scenario& scenario : briarwood::policy_sim::AllScenarios()) {
    if (!Selected(scenario.name, scenario_filter)) continue;
    const auto tail = scenario.end - scenario.burst_end;
    scenario.burst_end = scenario.burst_start + std::chrono::seconds(burst_seconds);
    scenario.end = scenario.burst_end + tail;
    for (const Variant& variant : briarwood::policy_sim::AllVariants()) {
      if (Selected(variant.name, variant_filter)) runs.emplace_back(scenario, variant);
    }
  }
  const std::vector<Outcome> outcomes = RunAll(runs, seed, threads);
  briarwood::policy_sim::WriteTable(std::cout, outcomes);
  if (csv_file.empty()) return 0;
  std::ofstream csv(csv_file);
  briarwood::policy_sim::WriteCsv(csv, outcomes);
  return csv.good() ? 0 : 1;
}

}  // namespace

int main(int argc, char** argv) {
  try {
    return Main(argc, argv);
  } catch (const std::exception& error) {
    std::cerr << "briarwood-policy: " << error.what() << '\n';
    return 1;
  }
}
