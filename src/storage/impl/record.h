#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace briarwood::storage {

/// Record parsed at an offset.
struct ParsedRecord {
  std::string_view payload;
  /// Offset of the first byte after the record.
  std::size_t end = 0;
};

/// Appends length, checksum and payload.
void AppendRecord(std::string& target, std::string_view payload);

/// \returns the record at `offset`, or nothing if it is incomplete or its checksum does not match.
[[nodiscard]] std::optional<ParsedRecord> ReadRecord(std::string_view bytes, std::size_t offset);

}  // namespace briarwood::storage
