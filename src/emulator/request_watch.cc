#include "emulator/impl/request_watch.h"

#include <algorithm>

namespace briarwood::emulator::impl {

void RequestWatch::WatchFor(const std::string& text) {
  const std::lock_guard lock(mutex_);
  text_ = text;
}

void RequestWatch::Inspect(const http::Request& request) {
  const std::lock_guard lock(mutex_);
  if (text_.empty()) return;
  const auto contains = [this](const std::string& part) {
    return part.find(text_) != std::string::npos;
  };
  const bool in_header = std::any_of(
      request.headers.begin(), request.headers.end(),
      [&](const auto& header) { return contains(header.first) || contains(header.second); });
  if (in_header || contains(request.path) || contains(request.query) || contains(request.body))
    ++seen_;
}

std::uint64_t RequestWatch::seen() const {
  const std::lock_guard lock(mutex_);
  return seen_;
}

}  // namespace briarwood::emulator::impl
