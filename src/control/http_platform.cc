#include <jsoncpp/json/json.h>

#include <chrono>
#include <memory>

#include "briarwood/common/utf8.h"
#include "briarwood/control/platform_port.h"
#include "briarwood/http/client.h"

namespace briarwood::control {
namespace {

/// Shorter than the lease, so that a slow platform does not delay the other duties for long.
constexpr std::chrono::milliseconds kCallTimeout{2000};
const http::Headers kJsonHeaders = {{"Content-Type", "application/json"}};

std::optional<Json::Value> ReadObject(const std::string& text) {
  if (!common::IsUtf8(text) || !common::HasOnlyPairedSurrogates(text)) return std::nullopt;
  Json::Value value;
  const std::unique_ptr<Json::CharReader> reader(Json::CharReaderBuilder().newCharReader());
  if (!reader->parse(text.data(), text.data() + text.size(), &value, nullptr) ||
      !value.isObject()) {
    return std::nullopt;
  }
  return value;
}

const char* KindName(schema::OrderKind kind) {
  return kind == schema::ORDER_KIND_START_BACKEND ? "start" : "stop";
}

std::string ToJson(const schema::Order& order) {
  Json::Value json;
  json["id"] = Json::UInt64{order.id()};
  json["fence"] = Json::UInt64{order.fence()};
  json["kind"] = KindName(order.kind());
  json["backend_server"] = order.backend_server();
  json["failure_domain"] = order.failure_domain();
  json["expires_unix_ms"] = Json::UInt64{order.expires_unix_ms()};
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  return Json::writeString(builder, json);
}

std::optional<http::Response> Call(http::Client& client, const std::string& method,
                                   const std::string& path, std::string body) {
  try {
    return client.SendAndWait(method, path, kJsonHeaders, std::move(body));
  } catch (const http::HttpError&) {
    return std::nullopt;
  }
}

std::optional<std::string> SendReport(http::Client& client, const schema::UsageWindow& window,
                                      common::Term fencing_token) {
  const auto response = Call(client, "POST",
                             "/usage-reports?window=" + std::to_string(window.id()) +
                                 "&fence=" + std::to_string(fencing_token.value()),
                             window.report());
  if (!response || response->status != ToNumber(http::Status::kOk)) return std::nullopt;
  const auto body = ReadObject(response->body);
  if (!body || !(*body)["receipt"].isString()) return std::nullopt;
  return (*body)["receipt"].asString();
}

OrderResponse SendOrder(http::Client& client, const schema::Order& order) {
  const auto response = Call(client, "POST", "/orders", ToJson(order));
  constexpr std::uint16_t kFirstClientError = 400;
  constexpr std::uint16_t kFirstServerError = 500;
  if (!response || response->status >= kFirstServerError) return OrderResponse::kNoResponse;
  return response->status < kFirstClientError ? OrderResponse::kAccepted : OrderResponse::kRejected;
}

std::optional<std::set<std::uint64_t>> ListOrders(http::Client& client) {
  const auto response = Call(client, "GET", "/orders", {});
  if (!response || response->status != ToNumber(http::Status::kOk)) return std::nullopt;
  const auto body = ReadObject(response->body);
  if (!body || !(*body)["orders"].isArray()) return std::nullopt;
  std::set<std::uint64_t> ids;
  for (const Json::Value& order : (*body)["orders"]) {
    if (order.isObject() && order["id"].isUInt64()) ids.insert(order["id"].asUInt64());
  }
  return ids;
}

}  // namespace

PlatformPort MakeHttpPlatform(const std::string& base_url) {
  const auto client = std::make_shared<http::Client>(
      http::ClientOptions{.base_url = base_url, .timeout = kCallTimeout});
  return {.send_report =
              [client](const schema::UsageWindow& window, common::Term fencing_token) {
                return SendReport(*client, window, fencing_token);
              },
          .send_order = [client](const schema::Order& order) { return SendOrder(*client, order); },
          .list_orders = [client] { return ListOrders(*client); }};
}

}  // namespace briarwood::control
