#pragma once

#include <map>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

#include "briarwood/common/time.h"
#include "fleet.pb.h"

namespace briarwood::entry::impl {

/// Collects heartbeats of agents for the control members. Thread-safe.
class AgentHeartbeats {
 public:
  void Add(const schema::Heartbeat& heartbeat, common::Time now);

  /// \returns the latest heartbeat of each agent since the previous call, with its age at `now`.
  [[nodiscard]] std::vector<schema::Heartbeat> Take(common::Time now);

 private:
  std::mutex mutex_;
  std::map<std::string, std::pair<common::Time, schema::Heartbeat>> newest_;
};

}  // namespace briarwood::entry::impl
