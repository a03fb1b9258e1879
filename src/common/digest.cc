#include "briarwood/common/digest.h"

#include <openssl/crypto.h>
#include <openssl/sha.h>
#include <xxhash.h>

#include <array>

namespace briarwood::common {

std::uint64_t Hash64(std::string_view data, std::uint64_t seed) noexcept {
  return XXH3_64bits_withSeed(data.data(), data.size(), seed);
}

Digest128 Hash128(std::string_view data) noexcept {
  const XXH128_hash_t hash = XXH3_128bits(data.data(), data.size());
  return {.high = hash.high64, .low = hash.low64};
}

std::string Sha256(std::string_view data) {
  std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
  SHA256(reinterpret_cast<const unsigned char*>(data.data()), data.size(), digest.data());
  return {digest.begin(), digest.end()};
}

std::string ToHex(std::string_view bytes) {
  constexpr std::string_view kDigits = "0123456789abcdef";
  constexpr unsigned kNibbleBits = 4;
  constexpr unsigned kNibbleMask = 0xF;
  std::string hex;
  hex.reserve(bytes.size() * 2);
  for (const char c : bytes) {
    const auto byte = static_cast<unsigned char>(c);
    hex.push_back(kDigits[byte >> kNibbleBits]);
    hex.push_back(kDigits[byte & kNibbleMask]);
  }
  return hex;
}

bool EqualConstantTime(std::string_view left, std::string_view right) noexcept {
  return left.size() == right.size() && CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

}  // namespace briarwood::common
