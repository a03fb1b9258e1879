#include "cli/impl/admin_client.h"

#include <google/protobuf/util/json_util.h>

#include <algorithm>
#include <cctype>
#include <ostream>
#include <set>
#include <thread>

#include "briarwood/common/time.h"
#include "cli/impl/ctl_error.h"

namespace briarwood::cli::impl {
namespace {

constexpr std::chrono::milliseconds kCallTimeout{10'000};
constexpr std::chrono::milliseconds kInitialRetryDelay{200};
constexpr std::chrono::milliseconds kMaxRetryDelay{2000};
constexpr std::uint16_t kFirstErrorStatus = 400;

void ParseJson(const std::string& text, google::protobuf::Message& message) {
  google::protobuf::util::JsonParseOptions options;
  options.ignore_unknown_fields = true;
  if (!google::protobuf::util::JsonStringToMessage(text, &message, options).ok()) {
    throw CtlError(ExitCode::kFailure, "the response is not valid JSON of the administration API");
  }
}

schema::AdminError ReadError(const AdminReply& reply) {
  schema::AdminErrorResponse response;
  google::protobuf::util::JsonParseOptions options;
  options.ignore_unknown_fields = true;
  if (!google::protobuf::util::JsonStringToMessage(reply.body, &response, options).ok() ||
      response.error().code().empty()) {
    response.mutable_error()->set_code("http_" + std::to_string(reply.status));
    response.mutable_error()->set_message("the response has status " +
                                          std::to_string(reply.status));
  }
  return response.error();
}

ExitCode ExitCodeOf(const AdminReply& reply, const schema::AdminError& error) {
  if (error.code() == "bad_request" || error.code() == "invalid") return ExitCode::kInvalid;
  if (error.code() == "conflict" || error.code() == "stale_version" || error.code() == "refused") {
    return ExitCode::kConflict;
  }
  if (reply.status == http::ToNumber(http::Status::kNotFound)) return ExitCode::kNotFound;
  if (reply.status == http::ToNumber(http::Status::kUnauthorized)) return ExitCode::kUnauthorized;
  return ExitCode::kFailure;
}

[[noreturn]] void ThrowError(const AdminReply& reply) {
  const schema::AdminError error = ReadError(reply);
  std::string text = error.code() + ": " + error.message();
  for (const std::string& problem : error.problems()) text += "\n" + problem;
  throw CtlError(ExitCodeOf(reply, error), text);
}

std::string ReadCredential(const std::string& file_name) {
  if (file_name.empty()) return {};
  std::string credential = ReadFile(file_name);
  while (!credential.empty() && std::isspace(static_cast<unsigned char>(credential.back())) != 0) {
    credential.pop_back();
  }
  return credential;
}

}  // namespace

std::string ToJson(const google::protobuf::Message& message) {
  google::protobuf::util::JsonPrintOptions options;
  options.preserve_proto_field_names = true;
  std::string text;
  if (!google::protobuf::util::MessageToJsonString(message, &text, options).ok()) {
    throw CtlError(ExitCode::kUsage, "the content is not valid UTF-8");
  }
  return text + "\n";
}

std::string EncodeUrl(const std::string& text) {
  constexpr char kHex[] = "0123456789ABCDEF";
  std::string encoded;
  for (const char c : text) {
    const auto byte = static_cast<unsigned char>(c);
    if (std::isalnum(byte) != 0 || c == '-' || c == '_' || c == '.' || c == '~') {
      encoded.push_back(c);
    } else {
      encoded += {'%', kHex[byte >> 4], kHex[byte & 15]};
    }
  }
  return encoded;
}

AdminClient::AdminClient(const CtlOptions& options, std::ostream& err)
    : urls_(options.admin), timeout_(options.timeout), err_(err) {
  if (options.admin.empty()) {
    throw CtlError(ExitCode::kUsage, "no administration API: specify --settings or --admin");
  }
  for (const std::string& url : options.admin) {
    members_.push_back(std::make_unique<http::Client>(
        http::ClientOptions{.base_url = url,
                            .timeout = std::min(kCallTimeout, options.timeout),
                            .ca_file = options.ca_file}));
  }
  headers_["Authorization"] = "Bearer " + ReadCredential(options.credential_file);
  headers_["Content-Type"] = "application/json";
}

std::optional<AdminReply> AdminClient::CallOnce(const std::string& method, const std::string& path,
                                                const std::string& body, std::string& problem) {
  try {
    http::Response response = members_[current_]->SendAndWait(method, path, headers_, body);
    AdminReply reply{.status = response.status, .body = std::move(response.body)};
    if (reply.status != http::ToNumber(http::Status::kUnavailable)) return reply;
    const schema::AdminError error = ReadError(reply);
    problem = error.code() + ": " + error.message();
  } catch (const http::HttpError& error) {
    problem = urls_[current_] + ": " + error.what();
  }
  return std::nullopt;
}

std::string AdminClient::Call(const std::string& method, const std::string& path,
                              const std::string& body) {
  const auto deadline = common::BootClock::now() + timeout_;
  std::set<std::string> reported;
  for (auto delay = kInitialRetryDelay;; delay = std::min(2 * delay, kMaxRetryDelay)) {
    std::string problem;
    if (std::optional<AdminReply> reply = CallOnce(method, path, body, problem)) {
      if (reply->status >= kFirstErrorStatus) ThrowError(*reply);
      return std::move(reply->body);
    }
    if (common::BootClock::now() + delay >= deadline) {
      throw CtlError(ExitCode::kUnavailable, problem);
    }
    if (reported.insert(problem).second) {
      err_ << "briarwoodctl: " << problem << "; retrying\n";
    }
    current_ = (current_ + 1) % members_.size();
    std::this_thread::sleep_for(delay);
  }
}

std::string AdminClient::Call(const std::string& method, const std::string& path,
                              const google::protobuf::Message* request,
                              google::protobuf::Message& response) {
  const std::string body = request == nullptr ? std::string() : ToJson(*request);
  std::string json = Call(method, path, body);
  ParseJson(json, response);
  return json;
}

}  // namespace briarwood::cli::impl
