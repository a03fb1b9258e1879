#include "briarwood/load/stream_counter.h"

#include <jsoncpp/json/json.h>

#include <memory>

namespace briarwood::load {
namespace {

constexpr std::string_view kDataPrefix = "data: ";
/// Longer lines cannot be token events and are not buffered completely.
constexpr std::size_t kMaxLineBytes = std::size_t{64} * 1024;

/// \returns true if the event has a non-empty string after the first `key`.
bool HasText(std::string_view event, std::string_view key) {
  const std::size_t at = event.find(key);
  if (at == std::string_view::npos) return false;
  const std::string_view value = event.substr(at + key.size());
  return value.size() > 1 && value[0] == '"' && value[1] != '"';
}

}  // namespace

std::uint64_t StreamCounter::Feed(std::string_view data) {
  const std::uint64_t before = tokens_;
  for (std::size_t end = data.find('\n'); end != std::string_view::npos; end = data.find('\n')) {
    if (partial_line_.empty()) {
      ReadLine(data.substr(0, end));
    } else {
      partial_line_ += data.substr(0, end);
      ReadLine(partial_line_);
      partial_line_.clear();
    }
    data.remove_prefix(end + 1);
  }
  if (partial_line_.size() + data.size() <= kMaxLineBytes) partial_line_ += data;
  return tokens_ - before;
}

void StreamCounter::ReadLine(std::string_view line) {
  if (!line.starts_with(kDataPrefix)) return;
  line.remove_prefix(kDataPrefix.size());
  if (line.starts_with("[DONE]")) {
    done_ = true;
  } else if (line.starts_with("{\"error\"")) {
    error_code_ = FindErrorCode(line);
    if (error_code_.empty()) error_code_ = "unnamed";
  } else if (HasText(line, "\"text\":") || HasText(line, "\"content\":")) {
    ++tokens_;
  }
}

std::string FindErrorCode(std::string_view body) {
  const Json::CharReaderBuilder builder;
  const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
  Json::Value value;
  try {
    if (!reader->parse(body.data(), body.data() + body.size(), &value, nullptr)) return {};
  } catch (const Json::Exception&) {
    // The library throws if values are nested too deeply.
    return {};
  }
  if (!value.isObject() || !value["error"].isObject()) return {};
  const Json::Value& code = value["error"]["code"];
  return code.isString() ? code.asString() : std::string();
}

}  // namespace briarwood::load
