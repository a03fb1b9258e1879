#include "soak/statement_checker.h"

#include <algorithm>
#include <utility>

namespace briarwood::soak {

std::string RestartOf(const std::string& process) { return "restart of " + process; }

void StatementChecker::OnStatement(const std::string& server, const std::string& entry,
                                   const routing::ServerStatement& statement, common::Time now) {
  ++statements_;
  Server& state = servers_[server];
  Told& told = state.told[entry];
  if (statement.leaving && !told.leaving_at) told.leaving_at = now;
  if (statement.requests_per_second) {
    if (!state.limit) state.limit_stated_at = now;
    state.limit = statement.requests_per_second;
    if (!told.limit_at) told.limit_at = now;
  }
  if (statement.back_off && now + *statement.back_off > told.back_off_until) {
    told.rejected_at = now;
    told.back_off_until = now + *statement.back_off;
    told.requests_in_back_off = 0;
  }
}

void StatementChecker::OnLimitEnded(const std::string& server) {
  Server& state = servers_[server];
  state.limit.reset();
  state.limited_arrivals.clear();
  for (auto& [entry, told] : state.told) told.limit_at.reset();
}

bool StatementChecker::IsExcused(const std::string& entry, const std::string& link,
                                 common::Time since, common::Time now) const {
  return entry.empty() || disturbances_.Affected(entry, since, now) ||
         disturbances_.Affected(RestartOf(entry), since, now) ||
         disturbances_.Affected(link, since, now);
}

void StatementChecker::OnArrival(const std::string& server, const std::string& entry,
                                 const std::string& link, common::Time now) {
  const auto found = servers_.find(server);
  if (found == servers_.end()) return;
  const auto told_entry = found->second.told.find(entry);
  if (told_entry == found->second.told.end()) return;
  Told& told = told_entry->second;
  if (told.leaving_at && now > *told.leaving_at + bounds_.leave_delay &&
      !IsExcused(entry, link, *told.leaving_at, now)) {
    log_.Report(now, "leaving server",
                entry + " sent a request to " + server + " " +
                    std::to_string(common::ToSeconds(now - *told.leaving_at)) +
                    " s after it was told");
  }
  if (now > told.rejected_at + bounds_.back_off_delay && now < told.back_off_until &&
      !IsExcused(entry, link, told.rejected_at, now) &&
      ++told.requests_in_back_off == bounds_.back_off_requests + 1) {
    log_.Report(now, "back-off",
                entry + " sent several requests to " + server + ", which wants none");
  }
  if (told.limit_at && now >= *told.limit_at + bounds_.limit_delay &&
      !IsExcused(entry, link, *told.limit_at, now)) {
    ++limited_arrivals_;
    found->second.limited_arrivals.push_back(now);
    CheckLimit(server, found->second, now);
  }
}

void StatementChecker::CheckLimit(const std::string& name, Server& server, common::Time now) {
  std::deque<common::Time>& arrivals = server.limited_arrivals;
  while (arrivals.front() < now - bounds_.limit_window) arrivals.pop_front();
  if (now < server.limit_stated_at + bounds_.limit_grace) return;
  const double allowed =
      bounds_.limit_tolerance * server.limit.value_or(0) * common::ToSeconds(bounds_.limit_window) +
      bounds_.limit_burst;
  if (static_cast<double>(arrivals.size()) <= allowed) return;
  log_.Report(now, "limit",
              name + " got " + std::to_string(arrivals.size()) + " requests, allowed " +
                  std::to_string(allowed));
  arrivals.clear();
}

}  // namespace briarwood::soak
