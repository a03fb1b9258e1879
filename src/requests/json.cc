#include "requests/impl/json.h"

#include <memory>

#include "briarwood/common/utf8.h"

namespace briarwood::requests::impl {
namespace {

// Limits the recursion depth of the parser on malicious input.
constexpr int kMaxDepth = 64;

Json::CharReaderBuilder MakeReaderBuilder() {
  Json::CharReaderBuilder builder;
  Json::CharReaderBuilder::strictMode(&builder.settings_);
  builder["strictRoot"] = false;
  builder["stackLimit"] = kMaxDepth;
  return builder;
}

Json::StreamWriterBuilder MakeWriterBuilder() {
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  builder["emitUTF8"] = true;
  return builder;
}

}  // namespace

std::optional<Json::Value> ReadJsonWithAnyText(std::string_view text) {
  static const Json::CharReaderBuilder builder = MakeReaderBuilder();
  const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
  Json::Value value;
  std::string errors;
  try {
    if (!reader->parse(text.data(), text.data() + text.size(), &value, &errors)) {
      return std::nullopt;
    }
  } catch (const Json::Exception&) {
    // jsoncpp throws when the nesting exceeds the limit.
    return std::nullopt;
  }
  return value;
}

std::optional<Json::Value> ReadJson(std::string_view text) {
  if (!common::IsUtf8(text) || !common::HasOnlyPairedSurrogates(text)) return std::nullopt;
  return ReadJsonWithAnyText(text);
}

std::string WriteJson(const Json::Value& value) {
  static const Json::StreamWriterBuilder builder = MakeWriterBuilder();
  return Json::writeString(builder, value);
}

}  // namespace briarwood::requests::impl
