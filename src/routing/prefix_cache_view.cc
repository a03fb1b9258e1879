#include "briarwood/routing/prefix_cache_view.h"

namespace briarwood::routing {

void PrefixCacheView::Apply(const common::BackendServerId& id, common::Incarnation incarnation,
                            std::uint64_t sequence, std::span<const std::uint64_t> added,
                            std::span<const std::uint64_t> removed) {
  auto [found, inserted] = servers_.try_emplace(id);
  ServerState& state = found->second;
  if (inserted || state.incarnation != incarnation) {
    state = {.incarnation = incarnation, .sequence = sequence, .prefixes = {}};
  } else if (sequence <= state.sequence) {
    return;
  } else if (sequence != state.sequence + 1) {
    state.prefixes.clear();
  }
  state.sequence = sequence;
  for (const std::uint64_t prefix : removed) state.prefixes.erase(prefix);
  for (const std::uint64_t prefix : added) {
    if (state.prefixes.size() >= kMaxPrefixes) break;
    state.prefixes.insert(prefix);
  }
}

bool PrefixCacheView::Holds(const common::BackendServerId& id, std::uint64_t prefix_hash) const {
  const auto found = servers_.find(id);
  return found != servers_.end() && found->second.prefixes.contains(prefix_hash);
}

}  // namespace briarwood::routing
