#include "briarwood/http/event_loop.h"

#include <netinet/tcp.h>

#include <charconv>

namespace briarwood::http {

namespace asio = boost::asio;

std::optional<Endpoint> ParseEndpoint(const std::string& address) {
  const std::size_t colon = address.rfind(':');
  if (colon == std::string::npos) return std::nullopt;
  boost::system::error_code error;
  const auto ip = asio::ip::make_address(address.substr(0, colon), error);
  std::uint16_t port = 0;
  const char* begin = address.data() + colon + 1;
  const char* end = address.data() + address.size();
  const auto parsed = std::from_chars(begin, end, port);
  if (error || parsed.ec != std::errc() || parsed.ptr != end) return std::nullopt;
  return Endpoint(ip, port);
}

void SetPeerTimeout(Socket& socket, std::chrono::milliseconds timeout) noexcept {
  constexpr int kProbeCount = 3;
  boost::system::error_code ignored;
  socket.set_option(asio::ip::tcp::no_delay(true), ignored);
  socket.set_option(asio::socket_base::keep_alive(true), ignored);
  const int handle = socket.native_handle();
  const auto timeout_ms = static_cast<unsigned>(timeout.count());
  const int probe_interval_s = std::max<int>(1, static_cast<int>(timeout_ms / 1000) / kProbeCount);
  setsockopt(handle, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout_ms, sizeof(timeout_ms));
  setsockopt(handle, IPPROTO_TCP, TCP_KEEPIDLE, &probe_interval_s, sizeof(probe_interval_s));
  setsockopt(handle, IPPROTO_TCP, TCP_KEEPINTVL, &probe_interval_s, sizeof(probe_interval_s));
  setsockopt(handle, IPPROTO_TCP, TCP_KEEPCNT, &kProbeCount, sizeof(kProbeCount));
}

}  // namespace briarwood::http
