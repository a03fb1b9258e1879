#include "http/impl/free_port.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <charconv>

#include "briarwood/http/message.h"

namespace briarwood::http {
namespace {

class Socket {
 public:
  Socket() : descriptor_(::socket(AF_INET, SOCK_STREAM, 0)) {}
  Socket(const Socket&) = delete;
  Socket& operator=(const Socket&) = delete;
  ~Socket() {
    if (descriptor_ >= 0) ::close(descriptor_);
  }

  [[nodiscard]] int descriptor() const noexcept { return descriptor_; }

 private:
  int descriptor_;
};

}  // namespace

std::optional<ListenAddress> ParseListenAddress(const std::string& text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string::npos || colon == 0) return std::nullopt;
  ListenAddress address{.ip = text.substr(0, colon)};
  const char* end = text.data() + text.size();
  const auto [rest, error] = std::from_chars(text.data() + colon + 1, end, address.port);
  if (error != std::errc() || rest != end) return std::nullopt;
  in_addr parsed{};
  if (inet_pton(AF_INET, address.ip.c_str(), &parsed) != 1) return std::nullopt;
  return address;
}

std::uint16_t FindFreePort(const std::string& ip) {
  const Socket socket;
  sockaddr_in address{};
  address.sin_family = AF_INET;
  socklen_t size = sizeof(address);
  if (inet_pton(AF_INET, ip.c_str(), &address.sin_addr) != 1 ||
      ::bind(socket.descriptor(), reinterpret_cast<sockaddr*>(&address), size) != 0 ||
      ::getsockname(socket.descriptor(), reinterpret_cast<sockaddr*>(&address), &size) != 0) {
    throw HttpError("no free port on " + ip);
  }
  return ntohs(address.sin_port);
}

}  // namespace briarwood::http
