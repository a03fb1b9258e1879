#include "entry/impl/agent_heartbeats.h"

namespace briarwood::entry::impl {

void AgentHeartbeats::Add(const schema::Heartbeat& heartbeat, common::Time now) {
  const std::lock_guard lock(mutex_);
  newest_[heartbeat.node().id()] = {now, heartbeat};
}

std::vector<schema::Heartbeat> AgentHeartbeats::Take(common::Time now) {
  std::map<std::string, std::pair<common::Time, schema::Heartbeat>> taken;
  {
    const std::lock_guard lock(mutex_);
    taken.swap(newest_);
  }
  std::vector<schema::Heartbeat> result;
  for (auto& [id, item] : taken) {
    auto& [received_at, heartbeat] = item;
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - received_at);
    const auto age_ms = static_cast<std::uint32_t>(age.count());
    heartbeat.set_age_ms(heartbeat.age_ms() + age_ms);
    if (heartbeat.has_load()) {
      heartbeat.mutable_load()->set_age_ms(heartbeat.load().age_ms() + age_ms);
    }
    result.push_back(std::move(heartbeat));
  }
  return result;
}

}  // namespace briarwood::entry::impl
