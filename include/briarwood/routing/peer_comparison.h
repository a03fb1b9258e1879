#pragma once

#include <cstdint>
#include <unordered_map>
#include <vector>

#include "briarwood/common/ids.h"
#include "briarwood/common/time.h"

namespace briarwood::routing {

struct PeerComparisonOptions {
  /// A backend server is slow if its token gap exceeds this multiple of its peers' median.
  double slow_ratio = 2.0;
  /// A slow server has recovered when its token gap falls to this multiple or below.
  double recovered_ratio = 1.5;
  /// Age above which an observation is ignored.
  common::Duration max_observation_age = std::chrono::seconds(10);
  /// Servers with recent observations below which no server is considered slow. The server that is
  /// compared counts as well.
  std::size_t min_servers = 3;
};

/// Detects backend servers that are slow compared with the median of the servers of the same model.
/// Use one object per model.
class PeerComparison {
 public:
  explicit PeerComparison(PeerComparisonOptions options = {}) : options_(options) {}

  /// Records the time between two consecutive tokens of a stream.
  void Observe(const common::BackendServerId& id, common::Duration token_gap, common::Time now);
  void Remove(const common::BackendServerId& id) { peers_.erase(id); }

  /// \returns the speed relative to the median, at most 1; always 1 if the server is not slow.
  [[nodiscard]] double Speed(const common::BackendServerId& id, common::Time now);
  [[nodiscard]] bool IsSlow(const common::BackendServerId& id, common::Time now);

 private:
  struct Peer {
    double gap_s = 0;
    common::Time observed_at;
    bool slow = false;
  };

  void Refresh(common::Time now);

  PeerComparisonOptions options_;
  std::unordered_map<common::BackendServerId, Peer> peers_;
  double median_s_ = 0;
  common::Time refreshed_at_;
};

}  // namespace briarwood::routing
