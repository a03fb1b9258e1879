#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace briarwood::http {

struct ListenAddress {
  std::string ip;
  std::uint16_t port = 0;
};

/// \returns the parts of "ip:port", or nothing if `text` is not of this form.
[[nodiscard]] std::optional<ListenAddress> ParseListenAddress(const std::string& text);

/// \returns a port that is currently free on `ip`; throws HttpError if `ip` is not an address of
/// this host. Needed because the HTTP library does not report which port it opened for port 0.
[[nodiscard]] std::uint16_t FindFreePort(const std::string& ip);

}  // namespace briarwood::http
