#include "emulator/impl/json.h"

#include <charconv>
#include <chrono>
#include <memory>

#include "briarwood/common/utf8.h"

namespace briarwood::emulator::impl {

std::optional<Json::Value> ReadObject(std::string_view text) {
  if (!common::IsUtf8(text) || !common::HasOnlyPairedSurrogates(text)) return std::nullopt;
  Json::CharReaderBuilder builder;
  Json::CharReaderBuilder::strictMode(&builder.settings_);
  const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
  Json::Value value;
  try {
    if (!reader->parse(text.data(), text.data() + text.size(), &value, nullptr)) {
      return std::nullopt;
    }
  } catch (const Json::Exception&) {
    // The library throws if values are nested too deeply.
    return std::nullopt;
  }
  if (!value.isObject()) return std::nullopt;
  return value;
}

std::string WriteJson(const Json::Value& value) {
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  return Json::writeString(builder, value);
}

std::optional<std::uint64_t> ReadCount(const Json::Value& object, const char* field,
                                       std::uint64_t fallback) {
  const Json::Value& value = object[field];
  if (value.isNull()) return fallback;
  if (!value.isUInt64()) return std::nullopt;
  return value.asUInt64();
}

std::string ReadText(const Json::Value& object, const char* field) {
  const Json::Value& value = object[field];
  return value.isString() ? value.asString() : std::string();
}

http::Response JsonResponse(http::Status status, const Json::Value& body) {
  return {.status = http::ToNumber(status),
          .headers = {{"Content-Type", "application/json"}},
          .body = WriteJson(body)};
}

http::Response ErrorResponse(http::Status status, const std::string& code) {
  Json::Value body;
  body["error"]["code"] = code;
  return JsonResponse(status, body);
}

std::optional<std::uint64_t> QueryCount(std::string_view query, std::string_view name) {
  while (!query.empty()) {
    const std::string_view pair = query.substr(0, query.find('&'));
    query.remove_prefix(std::min(query.size(), pair.size() + 1));
    if (!pair.starts_with(name) || pair.size() <= name.size() || pair[name.size()] != '=') continue;
    const std::string_view text = pair.substr(name.size() + 1);
    std::uint64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error == std::errc() && end == text.data() + text.size()) return value;
  }
  return std::nullopt;
}

std::uint64_t UnixMillisNow() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
}

}  // namespace briarwood::emulator::impl
