#include "soak/platform_stand_in.h"

#include <jsoncpp/json/json.h>

#include <algorithm>
#include <utility>

#include "platform/names.h"

namespace briarwood::soak {
namespace {

constexpr std::size_t kPageEntries = 5;

constexpr std::uint16_t kOk = 200;
constexpr std::uint16_t kBadRequest = 400;
constexpr std::uint16_t kNotFound = 404;
constexpr std::uint16_t kConflict = 409;
constexpr std::uint16_t kUnavailable = 503;

void Answer(http::IncomingRequest& request, std::uint16_t status, const Json::Value& body = {}) {
  http::ResponseHead head{.status = status, .reason = {}, .headers = {}};
  head.headers.Add("Content-Type", "application/json");
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  request.Respond(head, body.isNull() ? std::string() : Json::writeString(builder, body));
}

}  // namespace

common::Result<std::unique_ptr<PlatformStandIn>> PlatformStandIn::Start(
    http::EventLoop& loop, const std::string& listen,
    std::function<std::vector<ListedServer>()> list, UsagePromises& usage) {
  using StartResult = common::Result<std::unique_ptr<PlatformStandIn>>;
  std::unique_ptr<PlatformStandIn> platform(new PlatformStandIn(std::move(list), usage));
  auto server = http::IncomingServer::Start(
      loop, {.listen = listen},
      [self = platform.get()](const std::shared_ptr<http::IncomingRequest>& request) {
        self->Handle(*request);
      });
  if (!server.ok()) return StartResult::Failure(server.error());
  platform->server_ = std::move(server).value();
  return StartResult::Success(std::move(platform));
}

void PlatformStandIn::Handle(http::IncomingRequest& request) {
  if (down_) {
    Answer(request, kUnavailable);
  } else if (request.head().path() == platform::kInstancesPath) {
    AnswerList(request);
  } else if (request.head().path() == platform::kUsagePath) {
    AnswerUsage(request);
  } else {
    Answer(request, kNotFound);
  }
}

void PlatformStandIn::AnswerList(http::IncomingRequest& request) {
  const std::vector<ListedServer> servers = list_();
  const std::string& target = request.head().target;
  const std::size_t token = target.find("pageToken=p-");
  const std::size_t first =
      token == std::string::npos ? 0 : std::stoul(target.substr(target.find("p-", token) + 2));
  Json::Value body;
  body["instances"] = Json::Value(Json::arrayValue);
  const std::size_t end = std::min(first + kPageEntries, servers.size());
  for (std::size_t i = first; i < end; ++i) {
    Json::Value entry;
    entry["id"] = servers[i].id;
    entry["service"] = servers[i].service;
    entry["addr"] = servers[i].address;
    entry["zone"] = servers[i].failure_domain;
    entry["version"] = "v1";
    entry["slots"] = servers[i].slots;
    entry["state"] = servers[i].leaving ? "draining" : "ready";
    entry["coldLeftMs"] = 0;
    body["instances"].append(entry);
  }
  body["next"] = end < servers.size() ? Json::Value("p-" + std::to_string(end)) : Json::Value();
  Answer(request, kOk, body);
}

void PlatformStandIn::AnswerUsage(http::IncomingRequest& request) {
  Json::Value report;
  const std::unique_ptr<Json::CharReader> reader(Json::CharReaderBuilder().newCharReader());
  const std::string& text = *request.body();
  const std::string* holder = request.head().headers.Find(platform::kLeaseHolder);
  const std::string* fence = request.head().headers.Find(platform::kFencingToken);
  if (holder == nullptr || fence == nullptr ||
      !reader->parse(text.data(), text.data() + text.size(), &report, nullptr)) {
    Answer(request, kBadRequest);
    return;
  }
  UsagePromises::Counts counts;
  for (const std::string& customer : report["counts"].getMemberNames()) {
    counts[customer] = report["counts"][customer].asUInt64();
  }
  const bool accepted = usage_.OnReport(report["windowId"].asUInt64(), counts, *holder,
                                        std::stoull(*fence), common::BootClock::now());
  Answer(request, accepted ? kOk : kConflict);
}

}  // namespace briarwood::soak
