#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <condition_variable>
#include <cstdint>
#include <mutex>
#include <stdexcept>
#include <string>
#include <thread>

namespace briarwood::testing_support {

/// One HTTP request over a new connection, with the response as received on the wire.
class RawCall {
 public:
  /// \param request  head and body; must contain "Connection: close"
  RawCall(std::uint16_t port, const std::string& request)
      : socket_(::socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (::connect(socket_, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0) {
      throw std::runtime_error("cannot connect");
    }
    Send(request);
    reader_ = std::thread([this] { Read(); });
  }

  ~RawCall() {
    ::shutdown(socket_, SHUT_RDWR);
    reader_.join();
    ::close(socket_);
  }

  RawCall(const RawCall&) = delete;
  RawCall& operator=(const RawCall&) = delete;

  /// Sends further bytes.
  void Send(const std::string& bytes) {
    if (::send(socket_, bytes.data(), bytes.size(), 0) != static_cast<ssize_t>(bytes.size())) {
      throw std::runtime_error("cannot send");
    }
  }

  /// Waits until the response contains `text`. \returns false after a timeout or the end of the
  /// response.
  [[nodiscard]] bool WaitFor(const std::string& text) {
    std::unique_lock lock(mutex_);
    return changed_.wait_for(lock, kTimeout, [&] {
      return response_.find(text) != std::string::npos || ended_;
    }) && response_.find(text) != std::string::npos;
  }

  /// Waits for the end of the connection. \returns head and body; chunks are joined.
  [[nodiscard]] std::string Finish() {
    std::unique_lock lock(mutex_);
    changed_.wait_for(lock, kTimeout, [this] { return ended_; });
    return ended_ ? JoinChunks(response_) : "no end of the response: " + response_;
  }

  /// Closes the connection, as a caller that disconnects.
  void Disconnect() { ::shutdown(socket_, SHUT_RDWR); }

 private:
  static constexpr std::chrono::seconds kTimeout{20};

  void Read() {
    std::array<char, 4096> buffer{};
    for (;;) {
      const ssize_t size = ::recv(socket_, buffer.data(), buffer.size(), 0);
      const std::lock_guard lock(mutex_);
      if (size <= 0) {
        ended_ = true;
        changed_.notify_all();
        return;
      }
      response_.append(buffer.data(), static_cast<std::size_t>(size));
      changed_.notify_all();
    }
  }

  static std::string JoinChunks(const std::string& response) {
    const std::size_t body = response.find("\r\n\r\n");
    if (body == std::string::npos) return response;
    const std::string head = response.substr(0, body + 4);
    if (head.find("chunked") == std::string::npos) return response;
    std::string joined = head;
    std::size_t at = body + 4;
    for (;;) {
      const std::size_t line = response.find("\r\n", at);
      if (line == std::string::npos) return joined + "<cut>";
      const std::size_t size = std::stoul(response.substr(at, line - at), nullptr, 16);
      if (size == 0) return joined;
      joined += response.substr(line + 2, size);
      at = line + 2 + size + 2;
    }
  }

  int socket_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::string response_;
  bool ended_ = false;
  std::thread reader_;
};

}  // namespace briarwood::testing_support
