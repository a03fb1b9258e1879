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

/// Connections of this entry to backend servers. Their number is limited and opening one is
/// expensive, so idle connections are reused, the most recently used first, and closed before the
/// backend server closes them. Belongs to the thread of the event loop.
class ConnectionPool {
 public:
  explicit ConnectionPool(http::EventLoop& loop) : loop_(loop) {}

  /// Sets the address and the connection limit of a backend server.
  /// \param max_connections  connections that this entry may have open; 0 means no limit
  void Set(const common::BackendServerId& id, const http::Endpoint& address,
           std::uint32_t max_connections);
  /// Closes the idle connections of a backend server; those in use are closed on release.
  void Remove(const common::BackendServerId& id);

  /// \param fresh  true for a connection that has carried no request: a late copy of the response
  /// to
  ///               an earlier attempt of the same request has the id of the request
  /// \returns an idle or new connection, or nullptr if the backend server is unknown or at its
  /// limit.
  [[nodiscard]] std::shared_ptr<http::OutgoingConnection> Acquire(const common::BackendServerId& id,
                                                                  common::Time now,
                                                                  bool fresh = false);
  /// Returns a connection to the pool after its call, or after it was closed.
  void Release(const common::BackendServerId& id,
               const std::shared_ptr<http::OutgoingConnection>& connection, common::Time now);

  /// Closes idle connections that can no longer be reused.
  void CloseExpired(common::Time now);

  /// Connections in use or idle.
  [[nodiscard]] std::size_t open() const noexcept { return open_; }
  /// Connections opened since the start.
  [[nodiscard]] std::uint64_t opened() const noexcept { return opened_; }

 private:
  struct Server {
    http::Endpoint address;
    std::uint32_t max_connections = 0;
    std::uint32_t in_use = 0;
    bool removed = false;
    std::vector<std::shared_ptr<http::OutgoingConnection>> idle;
  };

  void RemoveIdle(const common::BackendServerId& id,
                  const std::shared_ptr<http::OutgoingConnection>& connection);
  void EraseIfUnused(const common::BackendServerId& id);

  http::EventLoop& loop_;
  std::map<common::BackendServerId, Server> servers_;
  std::size_t open_ = 0;
  std::uint64_t opened_ = 0;
};

}  // namespace briarwood::forwarding::impl
