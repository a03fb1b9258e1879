#include "soak/fake_platform.h"

#include <jsoncpp/json/json.h>

#include <algorithm>
#include <utility>

#include "platform/names.h"

namespace briarwood::soak {
namespace {

constexpr std::size_t kPageSize = 5;

constexpr std::uint16_t kOk = 200;
constexpr std::uint16_t kBadRequest = 400;
constexpr std::uint16_t kNotFound = 404;
constexpr std::uint16_t kConflict = 409;
constexpr std::uint16_t kUnavailable = 503;

void SendResponse(http::IncomingRequest& request, std::uint16_t status,
                  const Json::Value& body = {}) {
  http::ResponseHead head{.status = status, .reason = {}, .headers = {}};
  head.headers.Add("Content-Type", "application/json");
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  request.Respond(head, body.isNull() ? std::string() : Json::writeString(builder, body));
}

}  // namespace

common::Result<std::unique_ptr<FakePlatform>> FakePlatform::Start(
    http::EventLoop& loop, const std::string& listen,
    std::function<std::vector<ListedServer>()> list, UsageChecker& usage) {
  using StartResult = common::Result<std::unique_ptr<FakePlatform>>;
  std::unique_ptr<FakePlatform> platform(new FakePlatform(std::move(list), usage));
  auto server = http::IncomingServer::Start(
      loop, {.listen = listen},
      [self = platform.get()](const std::shared_ptr<http::IncomingRequest>& request) {
        self->Handle(*request);
      });
  if (!server.ok()) return StartResult::Failure(server.error());
  platform->server_ = std::move(server).value();
  return StartResult::Success(std::move(platform));
}

void FakePlatform::Handle(http::IncomingRequest& request) {
  if (unavailable_) {
    SendResponse(request, kUnavailable);
  } else if (request.head().path() == platform::kInstancesPath) {
    HandleListRequest(request);
  } else if (request.head().path() == platform::kUsagePath) {
    HandleUsageReport(request);
  } else {
    SendResponse(request, kNotFound);
  }
}

void FakePlatform::HandleListRequest(http::IncomingRequest& request) {
  const std::vector<ListedServer> servers = list_();
  const std::string& target = request.head().target;
  const std::size_t token = target.find("pageToken=p-");
  const std::size_t first =
      token == std::string::npos ? 0 : std::stoul(target.substr(target.find("p-", token) + 2));
  Json::Value body;
  body["instances"] = Json::Value(Json::arrayValue);
  const std::size_t end = std::min(first + kPageSize, servers.size());
  for (std::size_t i = first; i < end; ++i) {
    Json::Value instance;
    instance["id"] = servers[i].id;
    instance["service"] = servers[i].service;
    instance["addr"] = servers[i].address;
    instance["zone"] = servers[i].failure_domain;
    instance["version"] = "v1";
    instance["slots"] = servers[i].slots;
    instance["state"] = servers[i].draining ? "draining" : "ready";
    instance["coldLeftMs"] = 0;
    body["instances"].append(instance);
  }
  body["next"] = end < servers.size() ? Json::Value("p-" + std::to_string(end)) : Json::Value();
  SendResponse(request, kOk, body);
}

void FakePlatform::HandleUsageReport(http::IncomingRequest& request) {
  Json::Value report;
  const std::unique_ptr<Json::CharReader> reader(Json::CharReaderBuilder().newCharReader());
  const std::string& text = *request.body();
  const std::string* holder = request.head().headers.Find(platform::kLeaseHolder);
  const std::string* fencing_token = request.head().headers.Find(platform::kFencingToken);
  if (holder == nullptr || fencing_token == nullptr ||
      !reader->parse(text.data(), text.data() + text.size(), &report, nullptr)) {
    SendResponse(request, kBadRequest);
    return;
  }
  UsageChecker::Counts counts;
  for (const std::string& customer : report["counts"].getMemberNames()) {
    counts[customer] = report["counts"][customer].asUInt64();
  }
  const bool accepted = usage_.OnReport(report["windowId"].asUInt64(), counts, *holder,
                                        std::stoull(*fencing_token), common::BootClock::now());
  SendResponse(request, accepted ? kOk : kConflict);
}

}  // namespace briarwood::soak
