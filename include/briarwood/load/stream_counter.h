#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace briarwood::load {

/// Counts the tokens in the server-sent events of an entry or an engine. Token events are not
/// parsed as JSON, to keep the cost per token low.
class StreamCounter {
 public:
  /// Processes one chunk of the stream. \returns the number of tokens that it completed.
  std::uint64_t Feed(std::string_view data);

  [[nodiscard]] std::uint64_t tokens() const noexcept { return tokens_; }
  /// True once the `[DONE]` event was received.
  [[nodiscard]] bool done() const noexcept { return done_; }
  /// Code of the error event; empty if there was none.
  [[nodiscard]] const std::string& error_code() const noexcept { return error_code_; }

 private:
  void ReadLine(std::string_view line);

  std::string partial_line_;
  std::uint64_t tokens_ = 0;
  bool done_ = false;
  std::string error_code_;
};

/// \returns the code in an error body {"error":{"code":...}}, or an empty string.
[[nodiscard]] std::string FindErrorCode(std::string_view body);

}  // namespace briarwood::load
