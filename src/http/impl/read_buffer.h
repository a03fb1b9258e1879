#pragma once

#include <algorithm>
#include <boost/beast/core/flat_buffer.hpp>
#include <cstddef>

namespace briarwood::http::impl {

/// Limit on what a connection holds of a message body that its parser cannot pass on: a chunk
/// header with its extensions, or the whole trailer. Limits on header and body do not apply to
/// them, and the parser asks for more input until they are complete.
inline constexpr std::size_t kMaxFramingBytes = std::size_t{16} * 1024;

/// Limits the buffer for the header of a message. The parser's own limit is reached first.
inline void PrepareForHeader(boost::beast::flat_buffer& buffer, std::size_t max_header_bytes) {
  buffer.max_size(std::max({buffer.size(), max_header_bytes, kMaxFramingBytes}));
}

/// Limits the buffer for the body of a message; reading beyond it fails with buffer_overflow.
inline void PrepareForBody(boost::beast::flat_buffer& buffer) {
  // A buffer must not hold more than its limit, and the start of the body has come with the header.
  buffer.max_size(std::max(buffer.size(), kMaxFramingBytes));
}

}  // namespace briarwood::http::impl
