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
};

/// Cuts a text/event-stream body into events, so that a stream which breaks off in the middle of an
/// event can go on behind the last whole one.
class EventSplitter {
 public:
  /// \returns the events that `data` completes.
  [[nodiscard]] std::vector<StreamEvent> Feed(std::string_view data);

  /// Bytes of an event that is not complete.
  [[nodiscard]] const std::string& rest() const noexcept { return rest_; }

 private:
  std::string rest_;
  std::size_t scanned_ = 0;
};

}  // namespace briarwood::forwarding
