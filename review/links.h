#pragma once

#include <sys/types.h>

#include <atomic>
#include <cstdint>
#include <functional>
#include <list>
#include <mutex>
#include <string>
#include <thread>

namespace briarwood::review {

/// \returns true if the process has a TCP socket with this local port.
[[nodiscard]] bool OwnsLocalPort(pid_t process, std::uint16_t port);

/// Proxy in front of one listener. Bytes on blocked connections are held and then lost, as behind a
/// silent cut.
class Link {
 public:
  /// \param blocks  tells from the port of the peer whether its connection is blocked now
  Link(const std::string& listen, const std::string& target,
       std::function<bool(std::uint16_t peer_port)> blocks);
  Link(const Link&) = delete;
  Link& operator=(const Link&) = delete;
  ~Link();

  /// Looks again which connections are blocked. Those that were blocked and no longer are close.
  void Update();

 private:
  struct Connection {
    int peer = -1;
    int target = -1;
    std::uint16_t peer_port = 0;
    std::atomic<bool> blocked = false;
    std::atomic<bool> lost = false;
    std::atomic<bool> ended = false;
    std::thread thread;
  };

  void Run();
  void Forward(Connection& connection) const;
  void JoinEnded(bool all);

  std::string target_;
  std::function<bool(std::uint16_t)> blocks_;
  int descriptor_ = -1;
  std::atomic<bool> stopping_ = false;
  std::mutex mutex_;
  std::list<Connection> connections_;
  std::thread thread_;
};

}  // namespace briarwood::review
