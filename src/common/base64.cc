#include "briarwood/common/base64.h"

#include <openssl/evp.h>

namespace briarwood::common {
namespace {

constexpr std::size_t kGroupBytes = 3;
constexpr std::size_t kGroupChars = 4;

}  // namespace

std::string EncodeBase64(std::string_view bytes) {
  std::string text((bytes.size() + kGroupBytes - 1) / kGroupBytes * kGroupChars + 1, '\0');
  const int length = EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
                                     reinterpret_cast<const unsigned char*>(bytes.data()),
                                     static_cast<int>(bytes.size()));
  text.resize(static_cast<std::size_t>(length));
  return text;
}

std::optional<std::string> DecodeBase64(std::string_view text) {
  if (text.size() % kGroupChars != 0) return std::nullopt;
  if (text.empty()) return std::string();
  const std::size_t padding = text.ends_with("==") ? 2 : (text.ends_with('=') ? 1 : 0);
  // OpenSSL also accepts padding characters inside the text, which would hide corrupted input.
  if (text.substr(0, text.size() - padding).find('=') != std::string_view::npos) {
    return std::nullopt;
  }
  std::string bytes(text.size() / kGroupChars * kGroupBytes, '\0');
  const int length = EVP_DecodeBlock(reinterpret_cast<unsigned char*>(bytes.data()),
                                     reinterpret_cast<const unsigned char*>(text.data()),
                                     static_cast<int>(text.size()));
  if (length < 0 || static_cast<std::size_t>(length) != bytes.size()) return std::nullopt;
  bytes.resize(bytes.size() - padding);
  return bytes;
}

}  // namespace briarwood::common
