#pragma once

#include <optional>
#include <set>
#include <string>
#include <unordered_map>

#include "briarwood/common/time.h"

namespace briarwood::entry::impl {

/// Detects backend servers whose agents have stopped sending heartbeats. Heartbeats arrive through
/// the relay tree. Performs no I/O and is not thread-safe.
///
/// Missing heartbeats count only while the relay tree works: after a failed sync, or when at least
/// half of the known agents time out together, the fault is more likely in the tree or the network
/// than at the agents. An agent that this entry itself hears from is not timed out.
class BackendLiveness {
 public:
  /// Records a heartbeat that the agent of `id` sent at `seen_at`.
  void OnHeartbeat(const std::string& id, common::Time seen_at);
  /// Records data that this entry received from the agent of `id` directly.
  void OnContact(const std::string& id, common::Time now) { last_contact_[id] = now; }
  /// Records a sync that a parent answered at `now`.
  void OnSync(common::Time now) { last_sync_at_ = now; }
  /// Removes the records of backend servers that are not in `configured`.
  void RemoveUnconfigured(const std::set<std::string>& configured);

  /// \returns the backend servers whose last heartbeat and last contact are at least `timeout` old.
  /// A server without any heartbeat is not included.
  [[nodiscard]] std::set<std::string> TimedOut(common::Time now, common::Duration timeout) const;

 private:
  std::unordered_map<std::string, common::Time> last_seen_;
  std::unordered_map<std::string, common::Time> last_contact_;
  std::optional<common::Time> last_sync_at_;
};

}  // namespace briarwood::entry::impl
