#include "forwarding/impl/connection_pool.h"

#include <algorithm>

namespace briarwood::forwarding::impl {

void ConnectionPool::Set(const common::BackendServerId& id, const http::Endpoint& address,
                         std::uint32_t max_connections) {
  Server& server = servers_[id];
  server.max_connections = max_connections;
  server.removed = false;
  if (server.address == address) return;
  server.address = address;
  for (const auto& connection : server.idle) {
    connection->Close();
    --open_;
  }
  server.idle.clear();
}

void ConnectionPool::Remove(const common::BackendServerId& id) {
  const auto found = servers_.find(id);
  if (found == servers_.end()) return;
  found->second.removed = true;
  for (const auto& connection : found->second.idle) {
    connection->Close();
    --open_;
  }
  found->second.idle.clear();
  EraseIfUnused(id);
}

std::shared_ptr<http::OutgoingConnection> ConnectionPool::Acquire(const common::BackendServerId& id,
                                                                  common::Time now, bool fresh) {
  const auto found = servers_.find(id);
  if (found == servers_.end() || found->second.removed) return nullptr;
  Server& server = found->second;
  while (!fresh && !server.idle.empty()) {
    auto connection = std::move(server.idle.back());
    server.idle.pop_back();
    if (connection->reusable() && now < connection->usable_until() && !connection->HasInput()) {
      ++server.in_use;
      return connection;
    }
    connection->Close();
    --open_;
  }
  if (server.max_connections != 0 && server.in_use >= server.max_connections) return nullptr;
  ++server.in_use;
  ++open_;
  ++opened_;
  return http::OutgoingConnection::Create(loop_, server.address);
}

void ConnectionPool::Release(const common::BackendServerId& id,
                             const std::shared_ptr<http::OutgoingConnection>& connection,
                             common::Time now) {
  const auto found = servers_.find(id);
  if (found == servers_.end()) return;
  Server& server = found->second;
  if (server.in_use > 0) --server.in_use;
  if (!connection->reusable() || server.removed || now >= connection->usable_until()) {
    connection->Close();
    --open_;
    EraseIfUnused(id);
    return;
  }
  server.idle.push_back(connection);
  connection->OnIdleClosed([this, id, weak = std::weak_ptr<http::OutgoingConnection>(connection)] {
    if (const auto closed = weak.lock()) RemoveIdle(id, closed);
  });
}

void ConnectionPool::RemoveIdle(const common::BackendServerId& id,
                                const std::shared_ptr<http::OutgoingConnection>& connection) {
  const auto found = servers_.find(id);
  if (found == servers_.end()) return;
  auto& idle = found->second.idle;
  const auto position = std::find(idle.begin(), idle.end(), connection);
  if (position == idle.end()) return;
  connection->Close();
  idle.erase(position);
  --open_;
}

void ConnectionPool::CloseExpired(common::Time now) {
  for (auto& [id, server] : servers_) {
    std::erase_if(server.idle, [&](const auto& connection) {
      if (connection->reusable() && now < connection->usable_until()) return false;
      connection->Close();
      --open_;
      return true;
    });
  }
}

void ConnectionPool::EraseIfUnused(const common::BackendServerId& id) {
  const auto found = servers_.find(id);
  if (found == servers_.end()) return;
  if (found->second.removed && found->second.in_use == 0) servers_.erase(found);
}

}  // namespace briarwood::forwarding::impl
