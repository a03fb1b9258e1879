#include "storage/impl/record.h"

#include <array>

#include "briarwood/common/digest.h"

namespace briarwood::storage {

namespace {

constexpr std::size_t kLengthBytes = 4;
constexpr std::size_t kChecksumBytes = 8;
constexpr std::size_t kHeaderBytes = kLengthBytes + kChecksumBytes;
constexpr unsigned kBitsPerByte = 8;

void AppendNumber(std::string& target, std::uint64_t number, std::size_t bytes) {
  for (std::size_t i = 0; i < bytes; ++i) {
    target.push_back(static_cast<char>(number >> (kBitsPerByte * i)));
  }
}

std::uint64_t ReadNumber(std::string_view bytes) {
  std::uint64_t number = 0;
  for (std::size_t i = 0; i < bytes.size(); ++i) {
    number |= static_cast<std::uint64_t>(static_cast<unsigned char>(bytes[i]))
              << (kBitsPerByte * i);
  }
  return number;
}

}  // namespace

// The length seeds the checksum, so that a damaged length is detected.
void AppendRecord(std::string& target, std::string_view payload) {
  AppendNumber(target, payload.size(), kLengthBytes);
  AppendNumber(target, common::Hash64(payload, payload.size()), kChecksumBytes);
  target += payload;
}

std::optional<ParsedRecord> ReadRecord(std::string_view bytes, std::size_t offset) {
  if (bytes.size() < offset + kHeaderBytes) return std::nullopt;
  const std::uint64_t length = ReadNumber(bytes.substr(offset, kLengthBytes));
  const std::size_t start = offset + kHeaderBytes;
  if (length == 0 || length > bytes.size() - start) return std::nullopt;
  const std::string_view payload = bytes.substr(start, length);
  const std::uint64_t checksum = ReadNumber(bytes.substr(offset + kLengthBytes, kChecksumBytes));
  if (common::Hash64(payload, length) != checksum) return std::nullopt;
  return ParsedRecord{payload, start + length};
}

}  // namespace briarwood::storage
