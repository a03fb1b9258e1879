#include <signal.h>

#include <boost/program_options.hpp>
#include <cstdlib>
#include <iostream>
#include <string>
#include <vector>

#include "briarwood/emulator/emulator.h"

namespace {

namespace options = boost::program_options;
namespace emulator = briarwood::emulator;

constexpr int kUsageError = 2;
/// Exit status of an engine process that ends with an emulated crash.
constexpr int kCrashStatus = 134;

options::options_description Describe() {
  options::options_description all(
      "Usage: briarwood-emulator engine|service|platform [options]\n\nOptions");
  all.add_options()("help", "print this text")(
      "listen", options::value<std::string>()->default_value("127.0.0.1:0"), "ip:port")(
      "token-time-us", options::value<std::uint32_t>()->default_value(10'000),
      "engine: duration of a step")("capacity", options::value<std::size_t>()->default_value(32),
                                    "engine: maximum number of running sequences")(
      "queue", options::value<std::size_t>()->default_value(256),
      "engine: maximum number of waiting sequences")(
      "min-tokens", options::value<std::uint64_t>()->default_value(0),
      "engine: minimum length of a response that stops before the caller's limit")(
      "max-tokens", options::value<std::uint64_t>()->default_value(0),
      "engine: maximum length of such a response; 0 always generates up to the caller's limit")(
      "load-lag-ms", options::value<std::uint32_t>()->default_value(0),
      "engine: age of the reported load")(
      "event-loss", options::value<double>()->default_value(0),
      "engine: probability that a cache event is not published")(
      "ignore-fence", options::bool_switch(),
      "engine: accept orders with an outdated fencing token")(
      "crash-marker", options::value<std::string>()->default_value("[[crash]]"),
      "engine: text in a prompt that crashes the engine")("exit-on-crash", options::bool_switch(),
                                                          "engine: end the process on a crash")(
      "answer-delay-ms", options::value<std::uint32_t>()->default_value(0),
      "service: delay of each response")("list-lag-ms",
                                         options::value<std::uint32_t>()->default_value(0),
                                         "platform: age of the list of VMs");
  return all;
}

emulator::ModelEngineOptions EngineOptions(const options::variables_map& values) {
  emulator::ModelEngineOptions result;
  result.listen = values["listen"].as<std::string>();
  result.token_time = std::chrono::microseconds(values["token-time-us"].as<std::uint32_t>());
  result.batch.capacity = values["capacity"].as<std::size_t>();
  result.batch.queue_limit = values["queue"].as<std::size_t>();
  result.natural_length = {.min_tokens = values["min-tokens"].as<std::uint64_t>(),
                           .max_tokens = values["max-tokens"].as<std::uint64_t>()};
  result.load_lag = std::chrono::milliseconds(values["load-lag-ms"].as<std::uint32_t>());
  result.cache.event_loss = values["event-loss"].as<double>();
  result.checks_fencing_token = !values["ignore-fence"].as<bool>();
  result.crash_marker = values["crash-marker"].as<std::string>();
  if (values["exit-on-crash"].as<bool>()) {
    result.on_crash = [] { std::_Exit(kCrashStatus); };
  }
  return result;
}

/// Blocks until the process receives one of `signals`, which must be blocked in all threads.
void WaitForStop(const sigset_t& signals) {
  int received = 0;
  sigwait(&signals, &received);
}

template <typename Emulator, typename Options>
int Serve(const Options& emulator_options, const sigset_t& signals) {
  const auto running = Emulator::Start(emulator_options);
  if (!running.ok()) {
    std::cerr << "emulator: " << running.error() << "\n";
    return EXIT_FAILURE;
  }
  std::cout << "listening on " << running.value()->url() << std::endl;
  WaitForStop(signals);
  return EXIT_SUCCESS;
}

int Run(const std::string& kind, const options::variables_map& values, const sigset_t& signals) {
  const std::string listen = values["listen"].as<std::string>();
  if (kind == "engine") return Serve<emulator::ModelEngine>(EngineOptions(values), signals);
  if (kind == "service") {
    const std::chrono::milliseconds delay(values["answer-delay-ms"].as<std::uint32_t>());
    return Serve<emulator::PlainService>(
        emulator::PlainServiceOptions{.listen = listen, .response_delay = delay}, signals);
  }
  if (kind == "platform") {
    const std::chrono::milliseconds lag(values["list-lag-ms"].as<std::uint32_t>());
    return Serve<emulator::Platform>(emulator::PlatformOptions{.listen = listen, .list_lag = lag},
                                     signals);
  }
  std::cerr << "emulator: \"" << kind << "\" is not one of engine, service, platform\n";
  return kUsageError;
}

}  // namespace

int main(int argc, char** argv) {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGINT);
  sigaddset(&signals, SIGTERM);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  options::variables_map values;
  try {
    options::store(options::parse_command_line(argc, argv, Describe()), values);
    const std::vector<std::string> words = options::collect_unrecognized(
        options::command_line_parser(argc, argv).options(Describe()).run().options,
        options::include_positional);
    if (values.count("help") != 0 || words.size() != 1) {
      std::cerr << Describe();
      return values.count("help") != 0 ? EXIT_SUCCESS : kUsageError;
    }
    return Run(words.front(), values, signals);
  } catch (const options::error& error) {
    std::cerr << "emulator: " << error.what() << "\n";
    return kUsageError;
  }
}
