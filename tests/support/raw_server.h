#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstdint>
#include <functional>
#include <mutex>
#include <stdexcept>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace briarwood::testing_support {

/// HTTP server on plain sockets with one thread per connection, for behaviour that the HTTP library
/// does not support: like a process that crashes, it can refuse connections and cut off responses.
class RawServer {
 public:
  struct Request {
    std::string method;
    std::string path;
    /// Request line and headers.
    std::string head;
    std::string body;
  };

  class Connection {
   public:
    explicit Connection(int socket) : socket_(socket) {}

    void Send(const std::string& bytes) const {
      static_cast<void>(::send(socket_, bytes.data(), bytes.size(), MSG_NOSIGNAL));
    }

    void Respond(const std::string& status, const std::string& body) const {
      Send("HTTP/1.1 " + status + "\r\nContent-Type: application/json\r\nContent-Length: " +
           std::to_string(body.size()) + "\r\n\r\n" + body);
    }

    void Close() const { ::shutdown(socket_, SHUT_RDWR); }

    /// Resets the connection, as a server process that is killed with unread input.
    void Reset() const {
      // On Linux, dissolving the association of a connected socket resets the connection.
      sockaddr none{};
      none.sa_family = AF_UNSPEC;
      static_cast<void>(::connect(socket_, &none, sizeof(none)));
    }

    /// \returns true if the peer has closed or reset the connection.
    [[nodiscard]] bool PeerClosed() const {
      char byte = 0;
      const ssize_t got = ::recv(socket_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
      return got == 0 || (got < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
    }

   private:
    int socket_;
  };

  /// Called on the thread of the connection; may block.
  using Handler = std::function<void(const Connection&, const Request&)>;

  explicit RawServer(Handler handler)
      : handler_(std::move(handler)), listener_(::socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(address);
    auto* socket_address = reinterpret_cast<sockaddr*>(&address);
    if (::bind(listener_, socket_address, size) != 0 || ::listen(listener_, 64) != 0 ||
        ::getsockname(listener_, socket_address, &size) != 0) {
      throw std::runtime_error("cannot listen");
    }
    port_ = ntohs(address.sin_port);
    acceptor_ = std::thread([this] { Accept(); });
  }

  /// Joins the threads of the connections: handlers must return once Crash has been called.
  ~RawServer() {
    Crash();
    acceptor_.join();
    for (std::thread& thread : threads_) thread.join();
    for (const int socket : sockets_) ::close(socket);
    ::close(listener_);
  }

  RawServer(const RawServer&) = delete;
  RawServer& operator=(const RawServer&) = delete;

  /// Refuses new connections and shuts down the open ones.
  void Crash() {
    // On Linux, a listening socket that has been shut down refuses connections.
    ::shutdown(listener_, SHUT_RDWR);
    const std::lock_guard lock(mutex_);
    crashed_ = true;
    for (const int socket : sockets_) ::shutdown(socket, SHUT_RDWR);
  }

  [[nodiscard]] std::string address() const { return "127.0.0.1:" + std::to_string(port_); }
  [[nodiscard]] std::string url() const { return "http://" + address(); }

 private:
  void Accept() {
    for (;;) {
      const int socket = ::accept(listener_, nullptr, nullptr);
      if (socket < 0) return;
      const std::lock_guard lock(mutex_);
      sockets_.push_back(socket);
      if (crashed_) ::shutdown(socket, SHUT_RDWR);
      threads_.emplace_back([this, socket] { Serve(socket); });
    }
  }

  void Serve(int socket) const {
    const Connection connection(socket);
    std::string buffer;
    while (ReadRequest(socket, buffer)) {
      const std::size_t head_end = buffer.find("\r\n\r\n") + 4;
      const std::size_t length = BodyLength(buffer);
      Request request{.head = buffer.substr(0, head_end), .body = buffer.substr(head_end, length)};
      buffer.erase(0, head_end + length);
      const std::size_t path = request.head.find(' ') + 1;
      request.method = request.head.substr(0, path - 1);
      request.path = request.head.substr(path, request.head.find(' ', path) - path);
      handler_(connection, request);
    }
    connection.Close();
  }

  static bool ReadRequest(int socket, std::string& buffer) {
    std::array<char, 4096> chunk{};
    for (;;) {
      const std::size_t head = buffer.find("\r\n\r\n");
      if (head != std::string::npos && buffer.size() >= head + 4 + BodyLength(buffer)) return true;
      const ssize_t size = ::recv(socket, chunk.data(), chunk.size(), 0);
      if (size <= 0) return false;
      buffer.append(chunk.data(), static_cast<std::size_t>(size));
    }
  }

  static std::size_t BodyLength(const std::string& buffer) {
    constexpr std::string_view kField = "Content-Length:";
    const std::size_t at = buffer.find(kField);
    const std::size_t head = buffer.find("\r\n\r\n");
    return at < head ? std::stoul(buffer.substr(at + kField.size())) : 0;
  }

  Handler handler_;
  int listener_;
  std::uint16_t port_ = 0;
  std::mutex mutex_;
  bool crashed_ = false;
  std::vector<int> sockets_;
  std::vector<std::thread> threads_;
  std::thread acceptor_;
};

}  // namespace briarwood::testing_support
