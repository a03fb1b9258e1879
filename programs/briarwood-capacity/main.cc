#include <boost/program_options.hpp>
#include <iomanip>
#include <iostream>
#include <utility>

#include "briarwood/capacity_sim/capacity_sim.h"

namespace briarwood::capacity_sim {
namespace {

SimOptions MakeOptions(std::uint32_t engines_per_domain, std::uint64_t seed) {
  SimOptions options{.engines_per_domain = engines_per_domain, .seed = seed};
  options.limits.set_max_engines_per_domain(engines_per_domain);
  options.limits.set_min_engines_per_domain(1);
  options.limits.set_engine_start_seconds(180);
  options.limits.set_weight_store_parallel_loads(2);
  options.limits.set_tokens_per_second_per_engine(1'000);
  options.limits.set_target_utilisation(0.75);
  options.limits.set_scale_in_delay_seconds(600);
  return options;
}

void PrintRow(const std::string& workload, const std::string& strategy, const SimResult& result,
              double fixed_seconds) {
  std::cout << std::left << std::setw(20) << workload << std::setw(12) << strategy << std::right
            << std::fixed << std::setprecision(0) << std::setw(14) << result.engine_seconds
            << std::setprecision(1) << std::setw(9)
            << 100 * (1 - result.engine_seconds / fixed_seconds) << "%" << std::setprecision(2)
            << std::setw(10) << 100 * result.top_tier_attainment << "%" << std::setw(10)
            << 100 * result.served_share << "%" << std::setw(10) << result.exposed_seconds
            << std::setw(8) << result.starts << std::setw(8) << result.stops << "\n";
}

void RunWorkload(const Workload& workload, std::uint32_t engines_per_domain, std::uint64_t seed) {
  const SimOptions options = MakeOptions(engines_per_domain, seed);
  const SimResult fixed = Simulate(workload, FixedFleet{}, options);
  PrintRow(workload.name, "fixed", fixed, fixed.engine_seconds);
  PrintRow(workload.name, "threshold", Simulate(workload, ThresholdRule{}, options),
           fixed.engine_seconds);
  PrintRow(workload.name, "planner", Simulate(workload, ForecastPlanner{}, options),
           fixed.engine_seconds);
}

int Run(int argc, char** argv) {
  namespace po = boost::program_options;
  std::uint64_t seed = 1;
  po::options_description description("Options");
  description.add_options()("help", "print this text")(
      "seed", po::value(&seed)->default_value(seed), "seed of the noise of the demand");
  po::variables_map values;
  po::store(po::parse_command_line(argc, argv, description), values);
  po::notify(values);
  if (values.contains("help")) {
    std::cout
        << "Usage: briarwood-capacity [options]\n"
           "Simulates two days of demand in virtual time and compares the engine-seconds of three "
           "scaling strategies.\n\n"
        << description;
    return 0;
  }
  std::cout
      << "workload            strategy    engine-seconds    saved  top tier    served   exposed  "
         "starts   stops\n";
  RunWorkload(PattamDay(), 3, seed);
  RunWorkload(TrentvaleEvening(), 4, seed);
  return 0;
}

}  // namespace
}  // namespace briarwood::capacity_sim

int main(int argc, char** argv) {
  try {
    return briarwood::capacity_sim::Run(argc, argv);
  } catch (const std::exception& error) {
    std::cerr << "briarwood-capacity: " << error.what() << "\n";
    return 2;
  }
}
