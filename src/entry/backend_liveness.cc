#include "entry/impl/backend_liveness.h"

#include <algorithm>

namespace briarwood::entry::impl {
namespace {

// Three sync intervals.
constexpr std::chrono::milliseconds kMaxSyncAge{1500};

}  // namespace

void BackendLiveness::OnHeartbeat(const std::string& id, common::Time seen_at) {
  common::Time& seen = last_seen_[id];
  seen = std::max(seen, seen_at);
}

void BackendLiveness::RemoveUnconfigured(const std::set<std::string>& configured) {
  const auto unconfigured = [&](const auto& item) { return !configured.contains(item.first); };
  std::erase_if(last_seen_, unconfigured);
  std::erase_if(last_contact_, unconfigured);
}

std::set<std::string> BackendLiveness::TimedOut(common::Time now, common::Duration timeout) const {
  if (!last_sync_at_ || now - *last_sync_at_ > kMaxSyncAge) return {};
  std::set<std::string> timed_out;
  for (const auto& [id, seen] : last_seen_) {
    if (now - seen >= timeout) timed_out.insert(id);
  }
  if (timed_out.size() * 2 >= last_seen_.size()) return {};
  std::erase_if(timed_out, [&](const std::string& id) {
    const auto contact = last_contact_.find(id);
    return contact != last_contact_.end() && now - contact->second < timeout;
  });
  return timed_out;
}

}  // namespace briarwood::entry::impl
