#include "briarwood/requests/engine_protocol.h"

#include <algorithm>

#include "requests/impl/json.h"

namespace briarwood::requests {
namespace {

constexpr std::string_view kDataPrefix = "data:";
constexpr std::string_view kDone = "[DONE]";

std::uint64_t ReadCount(const Json::Value& value) {
  return value.isUInt64() ? value.asUInt64() : 0;
}

std::uint32_t ReadSmallCount(const Json::Value& value) {
  return value.isUInt() ? value.asUInt() : 0;
}

// Incarnations exceed the range of integers that JSON numbers represent exactly, so engines may
// send them as strings.
std::uint64_t ReadIncarnation(const Json::Value& value) {
  if (value.isUInt64()) return value.asUInt64();
  if (!value.isString()) return 0;
  const std::string text = value.asString();
  const bool is_number =
      !text.empty() && text.size() <= 19 &&
      std::all_of(text.begin(), text.end(), [](unsigned char c) { return std::isdigit(c) != 0; });
  return is_number ? std::stoull(text) : std::hash<std::string>{}(text);
}

std::string OrderName(schema::OrderKind kind) {
  switch (kind) {
    case schema::ORDER_KIND_LOAD_MODEL:
      return "load_model";
    case schema::ORDER_KIND_CHANGE_ROLE:
      return "change_role";
    case schema::ORDER_KIND_START_BACKEND:
      return "start";
    case schema::ORDER_KIND_STOP_BACKEND:
      return "stop";
    default:
      return "unknown";
  }
}

std::string RoleName(schema::EngineRole role) {
  switch (role) {
    case schema::ENGINE_ROLE_PREFILL:
      return "prefill";
    case schema::ENGINE_ROLE_DECODE:
      return "decode";
    default:
      return "mixed";
  }
}

}  // namespace

std::string MakeEngineBody(const schema::RunRequest& request,
                           const std::string& engine_request_id) {
  std::optional<Json::Value> body = impl::ReadJson(request.body());
  if (!body || !body->isObject()) body = Json::Value(Json::objectValue);
  (*body)["request_id"] = engine_request_id;
  (*body)["priority"] = request.tier();
  (*body)["resume_from"] = Json::Value::UInt64{request.resume_from()};
  (*body)["stream"] = true;
  if (request.resume_from() != 0) (*body)["resume_text"] = request.delivered_text();
  return impl::WriteJson(*body);
}

std::string MakeEngineCancelBody(const std::string& engine_request_id) {
  Json::Value body;
  body["request_id"] = engine_request_id;
  return impl::WriteJson(body);
}

std::string MakeEngineOrderBody(const schema::Order& order) {
  Json::Value body;
  body["id"] = Json::Value::UInt64{order.id()};
  body["fence"] = Json::Value::UInt64{order.fence()};
  body["kind"] = OrderName(order.kind());
  body["model"] = order.model();
  body["model_version"] = order.model_version();
  body["role"] = RoleName(order.role());
  body["expires_unix_ms"] = Json::Value::UInt64{order.expires_unix_ms()};
  return impl::WriteJson(body);
}

std::optional<EngineLoad> ParseEngineLoad(std::string_view body) {
  const std::optional<Json::Value> json = impl::ReadJson(body);
  if (!json || !json->isObject()) return std::nullopt;
  return EngineLoad{.running = ReadSmallCount((*json)["running"]),
                    .capacity = ReadSmallCount((*json)["capacity"]),
                    .incarnation = ReadIncarnation((*json)["incarnation"])};
}

std::vector<EngineEvent> EngineStream::Feed(std::string_view data) {
  std::vector<EngineEvent> events;
  for (const std::string& line : lines_.Feed(data)) {
    std::string_view text = line;
    if (done_ || !text.starts_with(kDataPrefix)) continue;
    text.remove_prefix(kDataPrefix.size());
    if (text.starts_with(' ')) text.remove_prefix(1);
    ReadData(text, events);
  }
  return events;
}

void EngineStream::ReadData(std::string_view data, std::vector<EngineEvent>& events) {
  if (data == kDone) {
    done_ = true;
    end_.output_tokens = next_index_;
    events.emplace_back(end_);
    return;
  }
  const std::optional<Json::Value> json = impl::ReadJson(data);
  if (!json || !json->isObject()) {
    events.emplace_back(EngineError{"the engine sent an event that is not JSON"});
    return;
  }
  if (json->isMember("error")) {
    events.emplace_back(EngineError{"the engine reported an error"});
    return;
  }
  const Json::Value& usage = (*json)["usage"];
  if (usage.isObject()) end_.input_tokens = ReadCount(usage["prompt_tokens"]);
  const Json::Value& choices = (*json)["choices"];
  if (!choices.isArray() || choices.empty() || !choices[0].isObject()) return;
  const Json::Value& choice = choices[0];
  if (choice["finish_reason"].isString()) end_.finish_reason = choice["finish_reason"].asString();
  if (!choice["text"].isString()) return;
  const bool numbered = (*json)["token_index"].isUInt64();
  // An unnumbered event with a finish reason but no text is not a token.
  if (!numbered && choice["text"].asString().empty() && choice["finish_reason"].isString()) return;
  const std::uint64_t index = numbered ? (*json)["token_index"].asUInt64() : next_index_;
  next_index_ = std::max(next_index_, index + 1);
  events.emplace_back(EngineToken{.index = index, .text = choice["text"].asString()});
}

}  // namespace briarwood::requests
