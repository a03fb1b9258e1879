#include "cli/impl/ctl_options.h"

#include <boost/program_options.hpp>
#include <fstream>
#include <sstream>

#include "briarwood/settings/settings.h"
#include "cli/impl/ctl_error.h"

namespace briarwood::cli::impl {
namespace {

namespace po = boost::program_options;

constexpr const char* kCommands = R"(briarwoodctl - administration of briarwood

Commands:
  apply FILE --document NAME     apply a document as a whole, as the next version
                                 unless --document-version is given; with --wait,
                                 wait until it is in force
  diff FILE --document NAME      what apply would change, and its problems
  show NAME                      content of a document
  documents | versions NAME      documents; accepted versions of one
  in-force                       which processes hold the last change or --index
  key grant CUSTOMER             new key, printed once; or give --key-sha256
  key withdraw KEY_SHA256
  key list [--customer NAME]
  vm list | backend list | member list | order list | audit
  usage list | usage show WINDOW
  backend drain ID | backend undrain ID
  domain list | domain drain ID | domain undrain ID
                                 failure domains whose servers get no new requests
  crash-evidence list | crash-evidence clear PROPERTY
  member add ID RPC_ADDRESS      join as a learner
  member promote ID              make a learner that is up to date a voter
  member remove ID
  member replace OLD_ID ID RPC_ADDRESS
  status                         state of the member that answers

Exit codes: 0 done; 1 failure; 2 invalid command line, settings or file;
3 invalid content; 4 conflict or stale version; 5 not found; 6 unauthorized;
7 no answer in time, retry the command; 8 not yet in force.

)";

po::options_description VisibleOptions() {
  po::options_description options("Options");
  options.add_options()("help", "print this text")("version", "print the version")(
      "check-settings", "read the settings and credential files and stop")(
      "settings", po::value<std::string>(), "TOML file with admin, credential_file and tls")(
      "admin", po::value<std::vector<std::string>>(),
      "base URL of an administration API; may be repeated")(
      "credential-file", po::value<std::string>(), "file with the operator's credential")(
      "ca-file", po::value<std::string>(), "CA of the administration API")(
      "output", po::value<std::string>()->default_value("table"), "table or json")(
      "timeout", po::value<double>()->default_value(30), "seconds, including retries")(
      "wait", po::value<double>(), "seconds to wait until the change is in force")(
      "document", po::value<std::string>(), "name of the document")(
      "document-version", po::value<std::uint64_t>(), "version of the content to apply")(
      "operation-id", po::value<std::string>(), "id of a previous command to retry")(
      "label", po::value<std::string>(), "label of a key")("key-sha256", po::value<std::string>(),
                                                           "SHA-256 of a key in hex")(
      "customer", po::value<std::string>(), "customer of the keys")(
      "failure-domain", po::value<std::string>(), "failure domain of a member")(
      "index", po::value<std::uint64_t>(), "index of a change")(
      "after-index", po::value<std::uint64_t>(), "audit records after this index")(
      "limit", po::value<std::uint64_t>(), "number of audit records");
  return options;
}

template <typename T>
void AssignIfPresent(const po::variables_map& values, const char* name, T& target) {
  if (values.count(name) != 0) target = values[name].as<T>();
}

template <typename T>
void AssignIfPresent(const po::variables_map& values, const char* name, std::optional<T>& target) {
  if (values.count(name) != 0) target = values[name].as<T>();
}

std::chrono::milliseconds Seconds(const po::variables_map& values, const char* name) {
  constexpr double kMillisPerSecond = 1000;
  constexpr double kMaxSeconds = 24 * 3600;
  const auto seconds = values[name].as<double>();
  if (!(seconds >= 0) || seconds > kMaxSeconds) {
    throw CtlError(ExitCode::kUsage,
                   std::string("--") + name + ": expected a number of seconds from 0 to 86400");
  }
  return std::chrono::milliseconds(static_cast<std::int64_t>(seconds * kMillisPerSecond));
}

CtlOptions ToOptions(const po::variables_map& values) {
  CtlOptions options;
  options.help = values.count("help") != 0;
  options.version = values.count("version") != 0;
  options.check_settings = values.count("check-settings") != 0;
  AssignIfPresent(values, "settings", options.settings_file);
  AssignIfPresent(values, "admin", options.admin);
  AssignIfPresent(values, "credential-file", options.credential_file);
  AssignIfPresent(values, "ca-file", options.ca_file);
  AssignIfPresent(values, "words", options.words);
  AssignIfPresent(values, "document", options.document);
  AssignIfPresent(values, "document-version", options.document_version);
  AssignIfPresent(values, "operation-id", options.operation_id);
  AssignIfPresent(values, "label", options.label);
  AssignIfPresent(values, "key-sha256", options.key_sha256);
  AssignIfPresent(values, "customer", options.customer);
  AssignIfPresent(values, "failure-domain", options.failure_domain);
  AssignIfPresent(values, "index", options.index);
  AssignIfPresent(values, "after-index", options.after_index);
  AssignIfPresent(values, "limit", options.limit);
  const auto output = values["output"].as<std::string>();
  if (output != "table" && output != "json") {
    throw CtlError(ExitCode::kUsage, "--output: found \"" + output + "\", expected table or json");
  }
  options.json = output == "json";
  options.timeout = Seconds(values, "timeout");
  if (values.count("wait") != 0) options.wait = Seconds(values, "wait");
  return options;
}

/// Fills in values from the settings file; those of the command line take precedence.
void ReadSettings(CtlOptions& options) {
  if (options.settings_file.empty()) return;
  const auto read =
      settings::ReadClientSettings(options.settings_file, ReadFile(options.settings_file));
  if (!read.ok()) throw CtlError(ExitCode::kUsage, settings::ToString(read.error()));
  const schema::ClientSettings& settings = read.value();
  if (options.admin.empty()) {
    options.admin.assign(settings.admin().begin(), settings.admin().end());
  }
  if (options.credential_file.empty()) options.credential_file = settings.credential_file();
  if (options.ca_file.empty()) options.ca_file = settings.tls().ca_file();
}

}  // namespace

std::string ReadFile(const std::string& file_name) {
  std::ifstream file(file_name, std::ios::binary);
  std::ostringstream text;
  if (!file) throw CtlError(ExitCode::kUsage, file_name + ": cannot be read");
  text << file.rdbuf();
  return text.str();
}

std::string HelpText() {
  std::ostringstream text;
  text << kCommands << VisibleOptions();
  return text.str();
}

CtlOptions ReadOptions(const std::vector<std::string>& arguments) {
  po::options_description all = VisibleOptions();
  all.add_options()("words", po::value<std::vector<std::string>>());
  po::positional_options_description positions;
  positions.add("words", -1);
  po::variables_map values;
  try {
    po::store(po::command_line_parser(arguments).options(all).positional(positions).run(), values);
    po::notify(values);
  } catch (const po::error& error) {
    throw CtlError(ExitCode::kUsage, error.what());
  }
  CtlOptions options = ToOptions(values);
  if (!options.help && !options.version) ReadSettings(options);
  return options;
}

}  // namespace briarwood::cli::impl
