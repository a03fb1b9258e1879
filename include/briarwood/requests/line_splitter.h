#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace briarwood::requests {

/// Splits a byte stream into lines. A line ends with a line feed, which a carriage return may
/// precede.
class LineSplitter {
 public:
  /// Limits the memory that a peer can make this process allocate.
  static constexpr std::size_t kMaxLineBytes = std::size_t{32} * 1024 * 1024;

  /// \returns the lines that `data` completes, without line terminators.
  [[nodiscard]] std::vector<std::string> Feed(std::string_view data);

  /// True if a line exceeded the limit; all further data is ignored.
  [[nodiscard]] bool overflowed() const noexcept { return overflowed_; }

 private:
  std::string incomplete_line_;
  bool overflowed_ = false;
};

}  // namespace briarwood::requests
