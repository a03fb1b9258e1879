#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace briarwood::forwarding {

/// One server-sent event.
struct StreamEvent {
  /// Bytes as received, with the blank line that ends the event.
  std::string text;
  /// Value of the id field when it is a number.
  std::optional<std::uint64_t> id;
  /// False for comments and events without a data field.
  bool has_data = false;
};

/// Splits a text/event-stream body into events, so that a stream that is interrupted within an
/// event can be resumed after the last complete one.
class EventSplitter {
 public:
  /// Appends `data` to the body.
  /// \returns the events that `data` completes.
  [[nodiscard]] std::vector<StreamEvent> Feed(std::string_view data);

  /// Bytes after the last complete event.
  [[nodiscard]] const std::string& incomplete_event() const noexcept { return buffer_; }

 private:
  std::string buffer_;
  std::size_t scanned_ = 0;
};

}  // namespace briarwood::forwarding
