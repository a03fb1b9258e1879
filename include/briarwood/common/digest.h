#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace briarwood::common {

/// Non-cryptographic 128-bit digest for fingerprints and row comparison.
struct Digest128 {
  std::uint64_t high = 0;
  std::uint64_t low = 0;

  // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 misreads the defaulted operator
  friend auto operator<=>(const Digest128&, const Digest128&) = default;
};

/// \returns the xxh3 64-bit hash of `data`.
[[nodiscard]] std::uint64_t Hash64(std::string_view data, std::uint64_t seed = 0) noexcept;

/// \returns the xxh3 128-bit hash of `data`.
[[nodiscard]] Digest128 Hash128(std::string_view data) noexcept;

/// \returns the 32 raw bytes of the SHA-256 digest of `data`.
[[nodiscard]] std::string Sha256(std::string_view data);

/// \returns the lower-case hexadecimal encoding of `bytes`.
[[nodiscard]] std::string ToHex(std::string_view bytes);

/// Compares credentials in a time that depends only on their lengths.
[[nodiscard]] bool EqualConstantTime(std::string_view left, std::string_view right) noexcept;

}  // namespace briarwood::common
