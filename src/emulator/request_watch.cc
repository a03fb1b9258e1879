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
  const auto has = [this](const std::string& part) {
    return part.find(text_) != std::string::npos;
  };
  const bool in_header =
      std::any_of(request.headers.begin(), request.headers.end(),
                  [&](const auto& header) { return has(header.first) || has(header.second); });
  if (in_header || has(request.path) || has(request.query) || has(request.body)) ++seen_;
}

std::uint64_t RequestWatch::seen() const {
  const std::lock_guard lock(mutex_);
  return seen_;
}

}  // namespace briarwood::emulator::impl
