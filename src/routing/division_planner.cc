#include "briarwood/routing/division_planner.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace briarwood::routing {

void DivisionPlanner::Report(const common::NodeId& entry, const std::string& service,
                             ServiceStreams streams, common::Time now) {
  services_[service].reports[entry] = {.streams = std::move(streams), .received_at = now};
}

void DivisionPlanner::Update(common::Time now) {
  for (auto& [service, state] : services_) {
    std::erase_if(state.reports, [&](const auto& item) {
      return now - item.second.received_at > options_.report_lifetime;
    });
    // Without reports nothing is known; the entries keep the division that they have.
    if (!state.reports.empty()) UpdateService(service, state, now);
  }
}

DivisionPlanner::FleetStreams DivisionPlanner::Sum(const ServiceState& state) const {
  FleetStreams sum;
  for (const auto& [entry, report] : state.reports) {
    const ServiceStreams& streams = report.streams;
    sum.engines = std::max(sum.engines, streams.engines);
    sum.slots = std::max(sum.slots, streams.slots);
    sum.failure_domains = std::max(sum.failure_domains, streams.failure_domains);
    if (streams.division.stream_engines > sum.division.stream_engines) {
      sum.division = streams.division;
    }
    for (const GapClass& item : streams.classes) {
      GapClass& total = sum.classes[item.gap_target];
      total.gap_target = item.gap_target;
      total.open += item.open;
      total.ended += item.ended;
      total.late += item.late;
    }
  }
  return sum;
}

double DivisionPlanner::OpenStreams(const FleetStreams& streams,
                                    std::chrono::milliseconds max_gap_target) {
  double open = 0;
  for (const auto& [gap_target, item] : streams.classes) {
    if (gap_target <= max_gap_target) open += item.open;
  }
  return open;
}

std::uint32_t DivisionPlanner::EnginesFor(double open, const FleetStreams& streams) const {
  const std::uint32_t min_side = options_.min_engines_per_domain * streams.failure_domains;
  if (streams.engines == 0 || streams.slots == 0 || streams.engines < 2 * min_side) return 0;
  const double slots_per_engine = static_cast<double>(streams.slots) / streams.engines;
  const auto max_side = std::min(static_cast<std::uint32_t>(options_.max_share * streams.engines),
                                 streams.engines - min_side);
  const double needed = std::ceil(open / (options_.fill * slots_per_engine));
  return static_cast<std::uint32_t>(
      std::clamp<double>(needed, min_side, std::max(min_side, max_side)));
}

std::uint32_t DivisionPlanner::PeakNeed(const FleetStreams& streams,
                                        std::chrono::milliseconds max_gap_target,
                                        ServiceState& state, common::Time now) const {
  const double open = OpenStreams(streams, max_gap_target);
  std::deque<Need>& needs = state.needs;
  while (!needs.empty() && now - needs.front().at > options_.peak_period) needs.pop_front();
  double expected = open;
  if (!needs.empty() && now > needs.front().at && open > options_.min_rise * needs.front().open) {
    const double per_second =
        (open - needs.front().open) / common::ToSeconds(now - needs.front().at);
    expected += std::max(0.0, per_second) * common::ToSeconds(options_.lead_time);
  }
  needs.push_back({.at = now, .open = open, .engines = EnginesFor(expected, streams)});
  return std::max_element(
             needs.begin(), needs.end(),
             [](const Need& left, const Need& right) { return left.engines < right.engines; })
      ->engines;
}

EngineDivision DivisionPlanner::Begin(const FleetStreams& streams) const {
  if (streams.classes.size() < 2) return {};
  const GapClass& shortest = streams.classes.begin()->second;
  const std::uint32_t judged = shortest.open + shortest.ended;
  if (judged < options_.min_streams) return {};
  if (shortest.late <= options_.max_late_share * judged) return {};
  return {.stream_engines = EnginesFor(OpenStreams(streams, shortest.gap_target), streams),
          .max_gap_target = shortest.gap_target};
}

void DivisionPlanner::UpdateService(const std::string& service, ServiceState& state,
                                    common::Time now) {
  const FleetStreams streams = Sum(state);
  const auto found = divisions_.find(service);
  if (!known(now)) {
    if (streams.division.active()) {
      divisions_[service] = streams.division;
      state.busy_at = now;
      state.reduced_at = now;
    }
    return;
  }
  if (found == divisions_.end()) {
    const EngineDivision begun = Begin(streams);
    if (!begun.active()) return;
    divisions_[service] = begun;
    state.busy_at = now;
    state.reduced_at = now;
    return;
  }
  EngineDivision& division = found->second;
  const bool busy = std::any_of(streams.classes.begin(), streams.classes.end(), [&](auto& item) {
    return item.first <= division.max_gap_target && item.second.open > 0;
  });
  if (busy) state.busy_at = now;
  const std::uint32_t needed = PeakNeed(streams, division.max_gap_target, state, now);
  if (needed == 0 || now - state.busy_at > options_.idle_period) {
    state.needs.clear();
    divisions_.erase(found);
    return;
  }
  if (needed > division.stream_engines) {
    // The engines that have been draining are the first to take streams again.
    division.stream_engines = needed;
    division.draining_engines = 0;
    state.reduced_at = now;
    return;
  }
  if (now - state.reduced_at < options_.drain_period) return;
  division.draining_engines = 0;
  // Hysteresis of one engine: the number of open streams fluctuates.
  if (needed + 1 >= division.stream_engines) return;
  state.reduced_at = now;
  division.draining_engines = division.stream_engines - needed;
  division.stream_engines = needed;
}

}  // namespace briarwood::routing
