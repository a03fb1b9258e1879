#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "briarwood/common/ids.h"
#include "briarwood/common/time.h"
#include "fleet.pb.h"

namespace briarwood::membership {

enum class Liveness { kAlive, kSuspect, kDead };

/// \returns "alive", "suspect" or "dead".
[[nodiscard]] const char* ToString(Liveness liveness) noexcept;

struct LivenessOptions {
  common::Duration suspect_timeout = std::chrono::seconds(3);
  common::Duration dead_timeout = std::chrono::seconds(10);
  /// Dead nodes and replaced incarnations are removed from the table after this time.
  common::Duration retention_period = std::chrono::hours(1);
};

/// State of a daemon according to its latest heartbeat.
struct NodeView {
  schema::NodeIdentity identity;
  common::LogIndex index;
  bool ready = false;
  common::Time heard_at;
  Liveness liveness = Liveness::kAlive;
  std::optional<schema::LoadReport> load;
};

/// Incarnation that is dead or was replaced; its unfinished work is considered ended.
struct DeadIncarnation {
  common::NodeId node;
  common::Incarnation incarnation;

  friend bool operator==(const DeadIncarnation&, const DeadIncarnation&) = default;
};

/// Tracks the heartbeats of daemons, received directly or through parents. Not thread-safe.
///
/// A heartbeat is dated at the time it was sent (arrival minus its age). A new incarnation replaces
/// the current one if its heartbeat is more recent; heartbeats of replaced incarnations are
/// ignored.
class LivenessTable {
 public:
  explicit LivenessTable(LivenessOptions options = {}) : options_(options) {}

  /// \returns false if the heartbeat belongs to a replaced incarnation or has no node id.
  bool Record(const schema::Heartbeat& heartbeat, common::Time now);

  /// Declares no node dead for `dead_timeout` from now on, because a new leader has not yet
  /// received heartbeats of every node.
  void StartGrace(common::Time now);

  /// \returns the incarnations that became dead or were replaced since the last call, each once.
  [[nodiscard]] std::vector<DeadIncarnation> TakeDead(common::Time now);

  /// \returns the state of the node, or nothing if it is unknown.
  [[nodiscard]] std::optional<NodeView> Find(const common::NodeId& node, common::Time now) const;
  /// \returns the states of all nodes, sorted by node id.
  [[nodiscard]] std::vector<NodeView> Nodes(common::Time now) const;

  /// \returns the latest heartbeat of every node that is not dead, with its age, to be sent to the
  /// parent.
  [[nodiscard]] std::vector<schema::Heartbeat> Aggregate(common::Time now) const;

 private:
  struct Node {
    schema::Heartbeat heartbeat;
    common::Time heard_at;
    bool reported_dead = false;
    /// Replaced incarnations and the time of their replacement.
    std::map<std::uint64_t, common::Time> replaced;
  };

  [[nodiscard]] Liveness LivenessOf(const Node& node, common::Time now) const;
  [[nodiscard]] NodeView ViewOf(const Node& node, common::Time now) const;
  void Replace(Node& node, std::uint64_t incarnation, common::Time now);

  LivenessOptions options_;
  std::map<std::string, Node> nodes_;
  std::vector<DeadIncarnation> dead_;
  std::optional<common::Time> grace_period_end_;
};

}  // namespace briarwood::membership
