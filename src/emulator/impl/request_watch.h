#pragma once

#include <cstdint>
#include <mutex>
#include <string>

#include "briarwood/http/message.h"

namespace briarwood::emulator::impl {

/// Counts requests that contain a given text anywhere, such as a caller's key.
class RequestWatch {
 public:
  void WatchFor(const std::string& text);
  void Inspect(const http::Request& request);
  [[nodiscard]] std::uint64_t seen() const;

 private:
  mutable std::mutex mutex_;
  std::string text_;
  std::uint64_t seen_ = 0;
};

}  // namespace briarwood::emulator::impl
