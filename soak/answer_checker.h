#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "soak/call_outcome.h"
#include "soak/disturbance_log.h"
#include "soak/invariant_checkers.h"

namespace briarwood::soak {

struct AnswerBounds {
  /// Grace period of a planned stop.
  common::Duration grace_period = std::chrono::seconds(8);
  /// A stopping entry may cut a stream that it took before the stop in this last share of the
  /// grace period.
  double final_share = 1.0 / 6;
  /// Time after which a request that was sent must not end without any answer.
  common::Duration loss_slack = std::chrono::milliseconds(200);
};

/// Checks that a call ends with a complete answer while no fault affects its entry, its backend
/// server and the links between them.
class AnswerChecker {
 public:
  AnswerChecker(ViolationLog& log, const DisturbanceLog& disturbances, AnswerBounds bounds)
      : log_(log), disturbances_(disturbances), bounds_(bounds) {}

  /// Records that a backend server started to execute a request.
  /// \param link  address of the server's link
  void OnRun(const std::string& id, const std::string& server, const std::string& link,
             common::Time now);
  /// Records that a process of an entry received SIGTERM.
  void OnStopped(const std::string& entry, std::uint64_t lifetime, common::Time now);
  /// \param time_limit  time after which the call may fail without an answer
  void OnEnded(const CallOutcome& outcome, common::Duration time_limit);

  [[nodiscard]] std::size_t stops() const noexcept { return stops_.size(); }
  /// Answers that a stopping entry cut, although no fault affected them, by whether the call was
  /// sent before SIGTERM.
  [[nodiscard]] std::size_t cut_before_stop() const noexcept { return cut_before_stop_; }
  [[nodiscard]] std::size_t cut_after_stop() const noexcept { return cut_after_stop_; }
  /// Calls sent to a stopping entry on a connection from before its SIGTERM.
  [[nodiscard]] std::size_t calls_on_kept_connections() const noexcept { return kept_; }

 private:
  struct Run {
    std::string server;
    std::string link;
    common::Time at;
    int number = 0;
  };

  [[nodiscard]] bool EntryAffected(const CallOutcome& outcome) const;
  [[nodiscard]] bool ServerAffected(const Run& run, const CallOutcome& outcome) const;
  [[nodiscard]] std::optional<common::Time> StopOf(const CallOutcome& outcome) const;
  [[nodiscard]] bool MayCut(const CallOutcome& outcome, common::Time stopped_at) const;
  void CheckWithoutRun(const CallOutcome& outcome);

  ViolationLog& log_;
  const DisturbanceLog& disturbances_;
  AnswerBounds bounds_;
  /// Last run of each call in progress.
  std::map<std::string, Run> runs_;
  /// Time of SIGTERM by entry and lifetime.
  std::map<std::pair<std::string, std::uint64_t>, common::Time> stops_;
  std::size_t cut_before_stop_ = 0;
  std::size_t cut_after_stop_ = 0;
  std::size_t kept_ = 0;
};

}  // namespace briarwood::soak
