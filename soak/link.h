#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "briarwood/common/result.h"
#include "briarwood/http/event_loop.h"

namespace briarwood::soak {

/// TCP connections to one listener, through a proxy on loopback that can disturb them. Belongs to
/// the thread of the event loop.
class Link {
 public:
  /// \param listen  "ip:port" of the proxy
  /// \param server  "ip:port" behind it
  /// \returns the running proxy, or a sentence why the address cannot be used.
  static common::Result<std::unique_ptr<Link>> Start(http::EventLoop& loop,
                                                     const std::string& listen,
                                                     const std::string& server);
  ~Link();
  Link(const Link&) = delete;
  Link& operator=(const Link&) = delete;

  [[nodiscard]] const std::string& address() const noexcept { return listen_; }

  /// Each piece that passes waits this long.
  void SetDelay(std::chrono::milliseconds delay) noexcept { delay_ = delay; }
  /// Holds back what goes to the server; it passes once the cut has ended.
  void CutToServer(bool cut);
  /// Holds back what comes from the server.
  void CutFromServer(bool cut);
  /// Resets the open connections.
  void Reset();
  /// The open connections pass nothing from now on and stay open; new ones work.
  void Silence();
  /// Closes new connections at once and resets the open ones.
  void Refuse(bool refuse);

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
  /// Also those that pass nothing any more; a client still sees them as open.
  std::vector<std::shared_ptr<Session>> sessions_;
  std::chrono::milliseconds delay_{0};
  bool cut_to_server_ = false;
  bool cut_from_server_ = false;
  bool refuse_ = false;
  /// Ends the callbacks of an acceptor that outlives the link.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace briarwood::soak
