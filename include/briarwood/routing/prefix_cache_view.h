#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <unordered_map>
#include <unordered_set>

#include "briarwood/common/ids.h"

namespace briarwood::routing {

/// Prefixes that backend servers probably have in their cache, inferred from their cache events.
///
/// Events are hints: a gap in the sequence numbers or a new incarnation discards everything
/// inferred for that server.
class PrefixCacheView {
 public:
  /// Maximum number of prefixes per backend server; further ones are ignored.
  static constexpr std::size_t kMaxPrefixes = 4096;

  /// Applies one event. Events older than the last one are ignored.
  void Apply(const common::BackendServerId& id, common::Incarnation incarnation,
             std::uint64_t sequence, std::span<const std::uint64_t> added,
             std::span<const std::uint64_t> removed);
  void Remove(const common::BackendServerId& id) { servers_.erase(id); }

  [[nodiscard]] bool Holds(const common::BackendServerId& id, std::uint64_t prefix_hash) const;

 private:
  struct ServerState {
    common::Incarnation incarnation;
    std::uint64_t sequence = 0;
    std::unordered_set<std::uint64_t> prefixes;
  };

  std::unordered_map<common::BackendServerId, ServerState> servers_;
};

}  // namespace briarwood::routing
