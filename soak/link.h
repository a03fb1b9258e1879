#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "briarwood/common/result.h"
#include "briarwood/http/event_loop.h"

namespace briarwood::soak {

/// TCP proxy on loopback in front of one listener, which can inject network faults. Not
/// thread-safe: use it on the thread of the event loop.
class Link {
 public:
  /// \param listen  "ip:port" of the proxy
  /// \param server  "ip:port" of the listener behind the proxy
  /// \returns the running proxy, or an error that describes why an address cannot be used.
  static common::Result<std::unique_ptr<Link>> Start(http::EventLoop& loop,
                                                     const std::string& listen,
                                                     const std::string& server);
  ~Link();
  Link(const Link&) = delete;
  Link& operator=(const Link&) = delete;

  [[nodiscard]] const std::string& address() const noexcept { return listen_; }

  /// Delays each forwarded chunk.
  void SetDelay(std::chrono::milliseconds delay) noexcept { delay_ = delay; }
  /// Holds back the bytes to the server until the cut ends.
  void CutToServer(bool cut);
  /// Holds back the bytes from the server until the cut ends.
  void CutFromServer(bool cut);
  /// Resets the open connections with a TCP RST.
  void Reset();
  /// Stops forwarding on the open connections without closing them; new connections work.
  void Silence();
  /// Behaves like a machine without power: no byte is forwarded and no connection is closed,
  /// neither an open nor a new one. When it ends, all these connections are reset.
  void SetDark(bool dark);
  /// Closes new connections immediately and resets the open ones.
  void RejectConnections(bool reject);

  [[nodiscard]] std::size_t connections() const;

 private:
  class Session;

  Link(http::EventLoop& loop, std::string listen, http::Endpoint server);
  std::string Listen();
  void Accept();
  void Resume();

  http::EventLoop& loop_;
  std::string listen_;
  http::Endpoint server_;
  boost::asio::ip::tcp::acceptor acceptor_;
  /// Includes silenced connections, which their clients still see as open.
  std::vector<std::shared_ptr<Session>> sessions_;
  std::chrono::milliseconds delay_{0};
  bool cut_to_server_ = false;
  bool cut_from_server_ = false;
  bool reject_connections_ = false;
  bool dark_ = false;
  /// Connections that were accepted while the link was dark.
  std::vector<http::Socket> dark_connections_;
  /// Set to false by the destructor, so that pending callbacks do nothing.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace briarwood::soak
