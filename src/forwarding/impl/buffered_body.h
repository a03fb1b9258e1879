#pragma once

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

namespace briarwood::forwarding::impl {

/// Body of a response that is buffered until it is complete. Its bytes are part of the sum of all
/// buffered bodies for as long as this object holds them.
class BufferedBody {
 public:
  BufferedBody() = default;
  /// \param total  sum of the bytes of all buffered bodies
  explicit BufferedBody(std::shared_ptr<std::size_t> total) : total_(std::move(total)) {}
  BufferedBody(BufferedBody&& other) noexcept
      : bytes_(std::exchange(other.bytes_, {})), total_(std::move(other.total_)) {}
  BufferedBody& operator=(BufferedBody&& other) noexcept {
    if (this == &other) return *this;
    Clear();
    bytes_ = std::exchange(other.bytes_, {});
    total_ = std::move(other.total_);
    return *this;
  }
  BufferedBody(const BufferedBody&) = delete;
  BufferedBody& operator=(const BufferedBody&) = delete;
  ~BufferedBody() { Clear(); }

  void Append(std::string_view data) {
    bytes_ += data;
    *total_ += data.size();
  }
  [[nodiscard]] const std::string& bytes() const noexcept { return bytes_; }

 private:
  void Clear() noexcept {
    if (total_) *total_ -= bytes_.size();
    bytes_.clear();
  }

  std::string bytes_;
  std::shared_ptr<std::size_t> total_;
};

}  // namespace briarwood::forwarding::impl
