#pragma once

#include <deque>
#include <map>
#include <optional>
#include <string>

#include "briarwood/common/time.h"
#include "briarwood/routing/server_statement.h"
#include "soak/disturbance_log.h"
#include "soak/invariant_checkers.h"

namespace briarwood::soak {

/// Bounds of what backend servers get after they have stated something about themselves.
struct StatementBounds {
  /// Requests of an entry count towards a limit from this time after it was told.
  common::Duration limit_delay = std::chrono::milliseconds(500);
  /// A limit is checked from this time after the server has first stated it.
  common::Duration limit_grace = std::chrono::seconds(3);
  common::Duration limit_window = std::chrono::seconds(4);
  double limit_tolerance = 1.5;
  double limit_burst = 5;
  /// An entry may send requests to a leaving server until this time after it was told.
  common::Duration leave_delay = std::chrono::seconds(3);
  /// Requests that an entry may send between this time after a rejection and the end of the time
  /// that the server asked for.
  common::Duration back_off_delay = std::chrono::milliseconds(500);
  int back_off_requests = 2;
};

/// Checks that the entries together keep what backend servers state. An entry is excused if it was
/// disturbed or started since it was told.
class StatementChecker {
 public:
  StatementChecker(ViolationLog& log, const DisturbanceLog& disturbances,
                   const StatementBounds& bounds)
      : log_(log), disturbances_(disturbances), bounds_(bounds) {}

  /// Records that a server has stated something in a response to an entry.
  /// \param server  id of one lifetime of the server
  void OnStatement(const std::string& server, const std::string& entry,
                   const routing::ServerStatement& statement, common::Time now);
  /// Records the end of a server's limit.
  void OnLimitEnded(const std::string& server);
  /// Records that a request of an entry has reached a server.
  /// \param link  link to the server, whose disturbance may have held the request up
  void OnArrival(const std::string& server, const std::string& entry, const std::string& link,
                 common::Time now);

  [[nodiscard]] std::size_t limited_arrivals() const noexcept { return limited_arrivals_; }
  [[nodiscard]] std::size_t statements() const noexcept { return statements_; }

 private:
  struct Told {
    std::optional<common::Time> limit_at;
    std::optional<common::Time> leaving_at;
    common::Time rejected_at;
    common::Time back_off_until;
    int requests_in_back_off = 0;
  };
  struct Server {
    std::optional<double> limit;
    common::Time limit_stated_at;
    std::deque<common::Time> limited_arrivals;
    std::map<std::string, Told> told;
  };

  [[nodiscard]] bool IsExcused(const std::string& entry, const std::string& link,
                               common::Time since, common::Time now) const;
  void CheckLimit(const std::string& name, Server& server, common::Time now);

  ViolationLog& log_;
  const DisturbanceLog& disturbances_;
  StatementBounds bounds_;
  std::map<std::string, Server> servers_;
  std::size_t limited_arrivals_ = 0;
  std::size_t statements_ = 0;
};

/// \returns the part of the DisturbanceLog for the starts and planned stops of a process.
[[nodiscard]] std::string RestartOf(const std::string& process);

}  // namespace briarwood::soak
