#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "briarwood/common/ids.h"
#include "briarwood/http/event_loop.h"
#include "briarwood/http/outgoing.h"

namespace briarwood::forwarding::impl {

/// Connections of this entry to backend servers. Connections are few and dear: idle ones are used
/// again, the latest first, and dropped before the backend server drops them. Belongs to the thread
/// of the event loop.
class BackendPool {
 public:
  explicit BackendPool(http::EventLoop& loop) : loop_(loop) {}

  /// Sets address and limit of a backend server.
  /// \param most  connections that this entry may have open; 0 means no limit
  void Set(const common::BackendServerId& id, const http::Endpoint& address, std::uint32_t most);
  /// Closes the idle connections of a backend server and keeps none from now on.
  void Remove(const common::BackendServerId& id);

  /// \returns a free connection, or nullptr for an unknown backend server or at the limit.
  [[nodiscard]] std::shared_ptr<http::OutgoingConnection> Take(const common::BackendServerId& id,
                                                               common::Time now);
  /// Gives a connection back after its call, or after it was closed.
  void Return(const common::BackendServerId& id,
              const std::shared_ptr<http::OutgoingConnection>& connection, common::Time now);

  /// Closes connections whose idle time is over.
  void CloseExpired(common::Time now);

  [[nodiscard]] std::size_t open() const noexcept { return open_; }
  /// Connections opened so far.
  [[nodiscard]] std::uint64_t opened() const noexcept { return opened_; }

 private:
  struct Server {
    http::Endpoint address;
    std::uint32_t most = 0;
    std::uint32_t in_use = 0;
    bool removed = false;
    std::vector<std::shared_ptr<http::OutgoingConnection>> idle;
  };

  void Drop(const common::BackendServerId& id,
            const std::shared_ptr<http::OutgoingConnection>& connection);
  void EraseIfUnused(const common::BackendServerId& id);

  http::EventLoop& loop_;
  std::map<common::BackendServerId, Server> servers_;
  std::size_t open_ = 0;
  std::uint64_t opened_ = 0;
};

}  // namespace briarwood::forwarding::impl
