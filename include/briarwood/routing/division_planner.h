#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "briarwood/common/ids.h"
#include "briarwood/common/time.h"
#include "briarwood/routing/engine_division.h"
#include "briarwood/routing/gap_class_counter.h"

namespace briarwood::routing {

struct DivisionPlannerOptions {
  /// Share of the streams of a class that have a gap above its target, from which the class is kept
  /// apart.
  double max_late_share = 0.2;
  /// Streams that must be open or have ended within GapClassCounter::kWindow to judge a class.
  std::uint32_t min_streams = 20;
  /// Share of the slots of the streams' side that its streams take. The rest is for the streams
  /// that come before the side has grown.
  double fill = 0.45;
  /// Largest share of the engines that the streams' side takes.
  double max_share = 0.75;
  /// Engines of each side in each failure domain, so that the loss of one moves no requests to
  /// another domain.
  std::uint32_t min_engines_per_domain = 2;
  /// Time from a report of an entry until the entries use the division that follows from it. A rise
  /// of the open streams is extrapolated over this time.
  common::Duration lead_time = std::chrono::milliseconds(1500);
  /// Ratio within the peak period from which the open streams count as rising; less is a
  /// fluctuation.
  double min_rise = 1.2;
  /// The streams' side shrinks to the highest need of this time.
  common::Duration peak_period = std::chrono::seconds(2);
  /// Time in which engines that leave the streams' side finish their streams.
  common::Duration drain_period = std::chrono::seconds(1);
  /// Time without open streams of the class after which the engines are no longer divided.
  common::Duration idle_period = std::chrono::seconds(30);
  /// Time for which the report of an entry counts.
  common::Duration report_lifetime = std::chrono::seconds(3);
  /// Time after the start in which reported divisions are taken over and none is changed, because
  /// not every entry has reported yet.
  common::Duration takeover_period = std::chrono::seconds(2);
};

/// Streams of one service at one entry.
struct ServiceStreams {
  std::uint32_t engines = 0;
  /// Capacity of all engines.
  std::uint32_t slots = 0;
  std::uint32_t failure_domains = 0;
  std::vector<GapClass> classes;
  /// Division in force at the entry.
  EngineDivision division;
};

/// Decides for the fleet which services divide their engines, and where the border lies.
///
/// A service is divided once too many streams of the class with the shortest gap target have gaps
/// above it while streams with a longer target run beside them. The streams' side follows the open
/// streams of the class: it grows at once, and shrinks after engines have finished their streams.
/// Used by the leader; a new leader takes over what the entries report. Not thread-safe.
class DivisionPlanner {
 public:
  explicit DivisionPlanner(common::Time now, DivisionPlannerOptions options = {})
      : options_(options), started_at_(now) {}

  /// Replaces the report of an entry about a service.
  void Report(const common::NodeId& entry, const std::string& service, ServiceStreams streams,
              common::Time now);
  /// Updates the divisions; call it about twice per second.
  void Update(common::Time now);

  /// \returns the divisions by service.
  [[nodiscard]] const std::map<std::string, EngineDivision>& divisions() const noexcept {
    return divisions_;
  }
  /// False until the entries have had time to report.
  [[nodiscard]] bool known(common::Time now) const noexcept {
    return now - started_at_ >= options_.takeover_period;
  }

 private:
  struct EntryReport {
    ServiceStreams streams;
    common::Time received_at;
  };
  /// Open streams of a divided class, and the engines that they need.
  struct Need {
    common::Time at;
    double open = 0;
    std::uint32_t engines = 0;
  };
  struct ServiceState {
    std::map<common::NodeId, EntryReport> reports;
    std::deque<Need> needs;
    common::Time reduced_at;
    common::Time busy_at;
  };
  /// Sum of the reports about a service.
  struct FleetStreams {
    std::uint32_t engines = 0;
    std::uint32_t slots = 0;
    std::uint32_t failure_domains = 0;
    std::map<std::chrono::milliseconds, GapClass> classes;
    EngineDivision division;
  };

  [[nodiscard]] FleetStreams Sum(const ServiceState& state) const;
  void UpdateService(const std::string& service, ServiceState& state, common::Time now);
  /// \returns the division that keeps the class with the shortest gaps apart, if it needs one.
  [[nodiscard]] EngineDivision Begin(const FleetStreams& streams) const;
  [[nodiscard]] static double OpenStreams(const FleetStreams& streams,
                                          std::chrono::milliseconds max_gap_target);
  /// \returns the number of engines that `open` streams need, within the limits of both sides; 0 if
  ///   there are too few engines for two sides.
  [[nodiscard]] std::uint32_t EnginesFor(double open, const FleetStreams& streams) const;
  /// Records the need of the class at this time.
  /// \returns the highest need within the peak period; 0 if there are too few engines.
  [[nodiscard]] std::uint32_t PeakNeed(const FleetStreams& streams,
                                       std::chrono::milliseconds max_gap_target,
                                       ServiceState& state, common::Time now) const;

  DivisionPlannerOptions options_;
  common::Time started_at_;
  std::map<std::string, ServiceState> services_;
  std::map<std::string, EngineDivision> divisions_;
};

}  // namespace briarwood::routing
