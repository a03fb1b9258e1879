#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <type_traits>

namespace briarwood::observability {

/// Builds one structured log line: the name of an event and fields as key=value. Values that
/// contain characters other than letters, digits and "._:/@-" are quoted.
///
/// \code
/// log.Info(LogLine("request_end").Add("request", id).Add("status", 200).text());
/// \endcode
class LogLine {
 public:
  explicit LogLine(std::string_view event) : text_("event=") { text_ += event; }

  LogLine& Add(std::string_view key, std::string_view value);
  LogLine& Add(std::string_view key, const char* value) {
    const std::string_view text = value;
    return Add(key, text);
  }
  template <typename Number>
  requires std::is_arithmetic_v<Number> LogLine& Add(std::string_view key, Number value) {
    if constexpr (std::is_same_v<Number, bool>) {
      return Add(key, value ? "true" : "false");
    } else {
      return Add(key, std::to_string(value).c_str());
    }
  }

  [[nodiscard]] const std::string& text() const noexcept { return text_; }

 private:
  std::string text_;
};

}  // namespace briarwood::observability
