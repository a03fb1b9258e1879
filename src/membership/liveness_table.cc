#include "briarwood/membership/liveness_table.h"

#include <algorithm>
#include <utility>

namespace briarwood::membership {

const char* ToString(Liveness liveness) noexcept {
  switch (liveness) {
    case Liveness::kAlive:
      return "alive";
    case Liveness::kSuspect:
      return "suspect";
    case Liveness::kDead:
      return "dead";
  }
  return "unknown";
}

void LivenessTable::Replace(Node& node, std::uint64_t incarnation, common::Time now) {
  const schema::NodeIdentity& identity = node.heartbeat.node();
  if (!node.reported_dead && incarnation == identity.incarnation()) {
    dead_.push_back({common::NodeId(identity.id()), common::Incarnation(incarnation)});
  }
  node.replaced[incarnation] = now;
}

bool LivenessTable::Record(const schema::Heartbeat& heartbeat, common::Time now) {
  const schema::NodeIdentity& identity = heartbeat.node();
  if (identity.id().empty()) return false;
  const common::Time heard_at = now - std::chrono::milliseconds(heartbeat.age_ms());
  const auto [position, inserted] = nodes_.try_emplace(identity.id());
  Node& node = position->second;
  if (node.replaced.contains(identity.incarnation())) return false;
  if (!inserted && identity.incarnation() != node.heartbeat.node().incarnation()) {
    if (heard_at <= node.heard_at) {
      // A late heartbeat of a previous incarnation, received through another parent.
      Replace(node, identity.incarnation(), now);
      return false;
    }
    Replace(node, node.heartbeat.node().incarnation(), now);
    node.reported_dead = false;
  } else if (!inserted && heard_at <= node.heard_at) {
    return true;
  }
  node.heartbeat = heartbeat;
  node.heard_at = heard_at;
  // An incarnation that sends heartbeats again after a pause is alive again.
  if (now - heard_at < options_.dead_timeout) node.reported_dead = false;
  return true;
}

void LivenessTable::StartGrace(common::Time now) {
  grace_period_end_ = now + options_.dead_timeout;
}

Liveness LivenessTable::LivenessOf(const Node& node, common::Time now) const {
  const common::Duration heartbeat_age = now - node.heard_at;
  const bool in_grace_period = grace_period_end_ && now < *grace_period_end_;
  if (heartbeat_age >= options_.dead_timeout && !in_grace_period) return Liveness::kDead;
  return heartbeat_age >= options_.suspect_timeout ? Liveness::kSuspect : Liveness::kAlive;
}

std::vector<DeadIncarnation> LivenessTable::TakeDead(common::Time now) {
  for (auto& [id, node] : nodes_) {
    if (!node.reported_dead && LivenessOf(node, now) == Liveness::kDead) {
      node.reported_dead = true;
      dead_.push_back(
          {common::NodeId(id), common::Incarnation(node.heartbeat.node().incarnation())});
    }
    std::erase_if(node.replaced,
                  [&](const auto& item) { return now - item.second > options_.retention_period; });
  }
  std::erase_if(nodes_, [&](const auto& item) {
    return item.second.reported_dead && now - item.second.heard_at > options_.retention_period;
  });
  return std::exchange(dead_, {});
}

NodeView LivenessTable::ViewOf(const Node& node, common::Time now) const {
  NodeView view{.identity = node.heartbeat.node(),
                .index = common::LogIndex(node.heartbeat.index()),
                .ready = node.heartbeat.ready(),
                .heard_at = node.heard_at,
                .liveness = LivenessOf(node, now)};
  if (node.heartbeat.has_load()) view.load = node.heartbeat.load();
  return view;
}

std::optional<NodeView> LivenessTable::Find(const common::NodeId& node, common::Time now) const {
  const auto found = nodes_.find(node.value());
  if (found == nodes_.end()) return std::nullopt;
  return ViewOf(found->second, now);
}

std::vector<NodeView> LivenessTable::Nodes(common::Time now) const {
  std::vector<NodeView> views;
  for (const auto& [id, node] : nodes_) views.push_back(ViewOf(node, now));
  return views;
}

std::vector<schema::Heartbeat> LivenessTable::Aggregate(common::Time now) const {
  std::vector<schema::Heartbeat> heartbeats;
  for (const auto& [id, node] : nodes_) {
    if (LivenessOf(node, now) == Liveness::kDead) continue;
    schema::Heartbeat& heartbeat = heartbeats.emplace_back(node.heartbeat);
    heartbeat.set_age_ms(static_cast<std::uint32_t>(
        std::chrono::ceil<std::chrono::milliseconds>(now - node.heard_at).count()));
  }
  return heartbeats;
}

}  // namespace briarwood::membership
