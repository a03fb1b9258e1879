#include <boost/program_options.hpp>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <string>
#include <vector>

#include "briarwood/load/load_run.h"

namespace {

namespace options = boost::program_options;
namespace load = briarwood::load;

constexpr int kUsageError = 2;

options::options_description Describe() {
  options::options_description all(
      "Usage: briarwood-load --target http://ip:port [options]\n\n"
      "Without --key-file, no key is sent; use this for engines.\n\nOptions");
  all.add_options()("help", "print this text")(
      "target", options::value<std::vector<std::string>>()->required(),
      "base URL of an entry or engine; may be repeated")(
      "call", options::value<std::string>()->default_value(""),
      "path of a plain service; without it, completions are streamed")(
      "key-file", options::value<std::string>()->default_value(""), "file with the caller's key")(
      "model", options::value<std::string>()->default_value(""), "model")(
      "class", options::value<std::string>()->default_value(""), "request class")(
      "rate", options::value<double>()->default_value(10), "arrivals per second")(
      "requests", options::value<std::uint64_t>()->default_value(1000),
      "maximum number of requests")("seconds", options::value<double>()->default_value(10),
                                    "duration in which requests arrive")(
      "in-flight", options::value<std::uint64_t>()->default_value(2000),
      "maximum number of requests in flight")("max-tokens",
                                              options::value<std::uint64_t>()->default_value(32),
                                              "maximum number of tokens of each response")(
      "prompt-words", options::value<std::uint64_t>()->default_value(32),
      "number of words in each prompt")("timeout-seconds",
                                        options::value<std::uint32_t>()->default_value(30),
                                        "maximum time without data from the server")(
      "seed", options::value<std::uint64_t>()->default_value(1), "seed of arrivals and prompts")(
      "pid", options::value<std::vector<pid_t>>()->default_value({}, ""),
      "process whose memory and CPU usage is reported; may be repeated")(
      "json", options::bool_switch(), "print the report as JSON");
  return all;
}

std::string ReadKey(const std::string& file_name) {
  if (file_name.empty()) return {};
  std::ifstream file(file_name);
  std::string key;
  if (!(file >> key)) throw options::error("cannot read the key from " + file_name);
  return key;
}

load::LoadOptions ToLoadOptions(const options::variables_map& values) {
  load::LoadOptions result;
  result.targets = values["target"].as<std::vector<std::string>>();
  result.path = values["call"].as<std::string>();
  result.kind = result.path.empty() ? load::RequestKind::kStream : load::RequestKind::kCall;
  result.key = ReadKey(values["key-file"].as<std::string>());
  result.model = values["model"].as<std::string>();
  result.request_class = values["class"].as<std::string>();
  result.rate_per_second = values["rate"].as<double>();
  result.max_requests = values["requests"].as<std::uint64_t>();
  result.duration =
      std::chrono::milliseconds(static_cast<std::int64_t>(values["seconds"].as<double>() * 1e3));
  result.max_in_flight = values["in-flight"].as<std::uint64_t>();
  result.max_tokens = values["max-tokens"].as<std::uint64_t>();
  result.prompt_words = values["prompt-words"].as<std::uint64_t>();
  result.timeout = std::chrono::seconds(values["timeout-seconds"].as<std::uint32_t>());
  result.seed = values["seed"].as<std::uint64_t>();
  result.watched = values["pid"].as<std::vector<pid_t>>();
  return result;
}

}  // namespace

int main(int argc, char** argv) {
  try {
    options::variables_map values;
    options::store(options::parse_command_line(argc, argv, Describe()), values);
    if (values.count("help") != 0) {
      std::cout << Describe();
      return EXIT_SUCCESS;
    }
    options::notify(values);
    const auto report = load::RunLoad(ToLoadOptions(values));
    if (!report.ok()) {
      std::cerr << "load: " << report.error() << "\n";
      return kUsageError;
    }
    std::cout << (values["json"].as<bool>() ? load::ToJson(report.value()) + "\n"
                                            : load::ToText(report.value()));
    return report.value().errors.empty() ? EXIT_SUCCESS : EXIT_FAILURE;
  } catch (const options::error& error) {
    std::cerr << "load: " << error.what() << "\n";
    return kUsageError;
  }
}
