#include <boost/program_options.hpp>
#include <exception>
#include <filesystem>
#include <iostream>

#include "soak/soak_run.h"

namespace {

namespace options = boost::program_options;
using briarwood::soak::SoakOptions;

constexpr int kBroken = 1;
constexpr int kWrongUsage = 2;

options::options_description MakeDescription(SoakOptions& soak, std::uint64_t& faults_s,
                                             std::uint64_t& calm_s, std::uint64_t& gap_ms,
                                             std::uint64_t& runs) {
  options::options_description description("Options");
  description.add_options()("help", "print this text and exit")(
      "programs", options::value(&soak.programs)->required(), "folder of the daemons")(
      "templates", options::value(&soak.templates)->required(), "folder of the settings templates")(
      "folder", options::value(&soak.folder)->required(),
      "folder for data and logs; its subfolders seed-N are emptied")(
      "seed", options::value(&soak.seed)->default_value(soak.seed), "first seed")(
      "runs", options::value(&runs)->default_value(1), "runs, each with the next seed")(
      "faults-seconds", options::value(&faults_s)->default_value(20), "length of the faults")(
      "calm-seconds", options::value(&calm_s)->default_value(6),
      "length of the part in which everything must be served")(
      "mean-gap-ms", options::value(&gap_ms)->default_value(500),
      "mean time between the beginnings of two faults")(
      "members", options::value(&soak.members)->default_value(soak.members), "control members")(
      "entries", options::value(&soak.entries)->default_value(soak.entries), "entries")(
      "callers", options::value(&soak.callers)->default_value(soak.callers), "callers");
  return description;
}

int Run(int argc, char** argv) {
  SoakOptions soak;
  std::uint64_t faults_s = 0;
  std::uint64_t calm_s = 0;
  std::uint64_t gap_ms = 0;
  std::uint64_t runs = 0;
  const auto description = MakeDescription(soak, faults_s, calm_s, gap_ms, runs);
  options::variables_map values;
  options::store(options::parse_command_line(argc, argv, description), values);
  if (values.contains("help")) {
    std::cout << description;
    return 0;
  }
  options::notify(values);
  soak.faults = std::chrono::seconds(faults_s);
  soak.calm = std::chrono::seconds(calm_s);
  soak.mean_gap = std::chrono::milliseconds(gap_ms);
  const std::string folder = soak.folder;
  int verdict = 0;
  for (std::uint64_t run = 0; run < runs; ++run, ++soak.seed) {
    soak.folder = folder + "/seed-" + std::to_string(soak.seed);
    const bool kept = briarwood::soak::RunSoak(soak, std::cout);
    std::cout.flush();
    if (kept) {
      std::filesystem::remove_all(soak.folder);
    } else {
      verdict = kBroken;
    }
  }
  return verdict;
}

}  // namespace

int main(int argc, char** argv) {
  try {
    return Run(argc, argv);
  } catch (const options::error& error) {
    std::cerr << "briarwood-soak: " << error.what() << "\n";
    return kWrongUsage;
  } catch (const std::exception& error) {
    std::cerr << "briarwood-soak: " << error.what() << "\n";
    return kBroken;
  }
}
