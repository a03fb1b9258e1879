#include <boost/program_options.hpp>
#include <exception>
#include <filesystem>
#include <iostream>

#include "soak/soak_run.h"

namespace {

namespace options = boost::program_options;
using briarwood::soak::SoakOptions;

constexpr int kFailure = 1;
constexpr int kUsageError = 2;

options::options_description MakeDescription(SoakOptions& soak, std::uint64_t& faults_s,
                                             std::uint64_t& calm_s, std::uint64_t& mean_interval_ms,
                                             std::uint64_t& runs, bool& keep_folders) {
  options::options_description description("Options");
  description.add_options()("help", "print this text and exit")(
      "keep-folders", options::bool_switch(&keep_folders),
      "keep the folders of runs without a violation")(
      "programs", options::value(&soak.programs)->required(), "folder with the daemons")(
      "templates", options::value(&soak.templates)->required(),
      "folder with the settings templates")(
      "folder", options::value(&soak.folder)->required(),
      "folder for data and logs; existing subfolders seed-N are deleted")(
      "seed", options::value(&soak.seed)->default_value(soak.seed), "first seed")(
      "runs", options::value(&runs)->default_value(1), "number of runs; each uses the next seed")(
      "faults-seconds", options::value(&faults_s)->default_value(20),
      "duration of the phase with faults")(
      "calm-seconds", options::value(&calm_s)->default_value(6),
      "duration of the phase without faults, in which calls must be served")(
      "mean-gap-ms", options::value(&mean_interval_ms)->default_value(500),
      "mean time between the start times of consecutive faults")(
      "crash-on-part", options::bool_switch(&soak.crash_on_part),
      "requests with one part of a prompt crash each backend server")(
      "replace-members", options::bool_switch(&soak.replace_members),
      "members are replaced at other addresses, and the group is stopped again and again")(
      "members", options::value(&soak.members)->default_value(soak.members),
      "number of control members")(
      "entries", options::value(&soak.entries)->default_value(soak.entries), "entries")(
      "callers", options::value(&soak.callers)->default_value(soak.callers), "callers");
  return description;
}

int Run(int argc, char** argv) {
  SoakOptions soak;
  std::uint64_t faults_s = 0;
  std::uint64_t calm_s = 0;
  std::uint64_t mean_interval_ms = 0;
  std::uint64_t runs = 0;
  bool keep_folders = false;
  const auto description =
      MakeDescription(soak, faults_s, calm_s, mean_interval_ms, runs, keep_folders);
  options::variables_map values;
  options::store(options::parse_command_line(argc, argv, description), values);
  if (values.contains("help")) {
    std::cout << description;
    return 0;
  }
  options::notify(values);
  soak.faults = std::chrono::seconds(faults_s);
  soak.calm = std::chrono::seconds(calm_s);
  soak.mean_interval = std::chrono::milliseconds(mean_interval_ms);
  const std::string folder = soak.folder;
  int exit_code = 0;
  for (std::uint64_t run = 0; run < runs; ++run, ++soak.seed) {
    soak.folder = folder + "/seed-" + std::to_string(soak.seed);
    const bool passed = briarwood::soak::RunSoak(soak, std::cout);
    std::cout.flush();
    if (passed && !keep_folders) {
      std::filesystem::remove_all(soak.folder);
    } else if (!passed) {
      exit_code = kFailure;
    }
  }
  return exit_code;
}

}  // namespace

int main(int argc, char** argv) {
  try {
    return Run(argc, argv);
  } catch (const options::error& error) {
    std::cerr << "briarwood-soak: " << error.what() << "\n";
    return kUsageError;
  } catch (const std::exception& error) {
    std::cerr << "briarwood-soak: " << error.what() << "\n";
    return kFailure;
  }
}
