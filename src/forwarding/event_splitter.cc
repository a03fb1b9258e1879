#include "briarwood/forwarding/event_splitter.h"

#include <algorithm>
#include <charconv>

namespace briarwood::forwarding {
namespace {

/// Sets the fields of the event that follow from its text.
void ReadFields(StreamEvent& parsed) {
  std::string_view event = parsed.text;
  while (!event.empty()) {
    const std::size_t end = std::min(event.find('\n'), event.size());
    std::string_view line = event.substr(0, end);
    event.remove_prefix(std::min(end + 1, event.size()));
    if (line.ends_with('\r')) line.remove_suffix(1);
    if (line.starts_with("data:") || line == "data") parsed.has_data = true;
    constexpr std::string_view kField = "id:";
    if (!line.starts_with(kField)) continue;
    line.remove_prefix(kField.size());
    if (line.starts_with(' ')) line.remove_prefix(1);
    std::uint64_t value = 0;
    const auto number = std::from_chars(line.data(), line.data() + line.size(), value);
    if (number.ec == std::errc() && number.ptr == line.data() + line.size()) parsed.id = value;
  }
}

}  // namespace

std::vector<StreamEvent> EventSplitter::Feed(std::string_view data) {
  buffer_ += data;
  std::vector<StreamEvent> events;
  std::size_t start = 0;
  std::size_t position = scanned_;
  // An empty line ends an event: two line feeds with an optional carriage return between them.
  while (position < buffer_.size()) {
    const std::size_t line_feed = buffer_.find('\n', position);
    if (line_feed == std::string::npos) break;
    std::size_t next = line_feed + 1;
    if (next < buffer_.size() && buffer_[next] == '\r') ++next;
    if (next >= buffer_.size()) {
      position = line_feed;
      break;
    }
    if (buffer_[next] != '\n') {
      position = next;
      continue;
    }
    StreamEvent event{.text = buffer_.substr(start, next + 1 - start), .id = std::nullopt};
    ReadFields(event);
    events.push_back(std::move(event));
    start = next + 1;
    position = start;
  }
  buffer_.erase(0, start);
  scanned_ = std::min(position >= start ? position - start : 0, buffer_.size());
  // A line feed at the end has to be scanned again together with the data that follows.
  const std::size_t line_feed = buffer_.find('\n', scanned_);
  if (line_feed == std::string::npos) scanned_ = buffer_.size();
  return events;
}

}  // namespace briarwood::forwarding
