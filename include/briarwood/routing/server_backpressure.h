#pragma once

#include <cstdint>
#include <optional>

#include "briarwood/common/random.h"
#include "briarwood/common/time.h"
#include "briarwood/routing/cold_start.h"
#include "briarwood/routing/fleet_position.h"
#include "briarwood/routing/server_statement.h"

namespace briarwood::routing {

/// Decides when one entry may send requests to one backend server, given what the server has stated
/// about itself in this lifetime and what it tolerates while it is cold.
///
/// A limit applies to all entries together, which do not know each other's requests. Each entry
/// takes an equal share and spaces its requests. If the entries are few compared to the limit, a
/// permit that was not used is kept. Otherwise all of them could use theirs at once, so each entry
/// has short windows, which follow those of the entry before it on the shared clock. Not
/// thread-safe.
class ServerBackpressure {
 public:
  ServerBackpressure() = default;
  /// \param server_hash  differs between servers, so that the windows for them do not coincide
  explicit ServerBackpressure(std::uint64_t server_hash) : server_hash_(server_hash) {}

  /// Applies a statement. A limit ends with a response without one, unless the request was sent
  /// before the limit was last stated; `leaving` holds for the lifetime of the server.
  /// \param sent_at  time at which the request that was responded to was sent
  /// \returns true if this changes when requests may be sent.
  bool OnStatement(const ServerStatement& statement, common::Time sent_at,
                   const FleetPosition& position, common::Time now, common::Random& random);

  /// Sets the limit of a server that is cold, or ends it. It applies beside one that the server
  /// states.
  void SetColdLimit(const std::optional<ColdLimit>& limit, const FleetPosition& position,
                    common::Time now, common::Random& random);

  /// \returns true if a request may be sent now.
  [[nodiscard]] bool Admits(const FleetPosition& position, common::Time now) const;
  /// \returns the earliest time at which a request may be sent, or nothing if the server is
  /// leaving.
  [[nodiscard]] std::optional<common::Time> AdmitsAt(const FleetPosition& position,
                                                     common::Time now) const;
  /// Takes a permit for a request that is about to be sent.
  void OnSending(const FleetPosition& position, common::Time now);
  /// Returns the permit of a request that did not reach the server.
  void OnNotSent();

  /// \returns the requests per second that this entry may send, or nothing without a limit.
  [[nodiscard]] std::optional<double> Rate(const FleetPosition& position) const;
  [[nodiscard]] bool leaving() const noexcept { return leaving_; }

 private:
  /// \returns the lower of the limits, or nothing without one.
  [[nodiscard]] std::optional<double> Limit() const;
  /// Begins to space the requests, as there was no limit before.
  void BeginSpacing(const FleetPosition& position, common::Time now, common::Random& random);
  /// \returns the length of a window.
  [[nodiscard]] common::Duration WindowLength(common::Duration interval) const;
  /// \returns the time between two requests of this entry.
  [[nodiscard]] common::Duration Interval(const FleetPosition& position) const;
  [[nodiscard]] bool KeepsPermits(const FleetPosition& position) const;
  /// \returns true if the limit changes.
  bool ApplyLimit(const ServerStatement& statement, common::Time sent_at,
                  const FleetPosition& position, common::Time now, common::Random& random);
  /// \returns the start of the last window of this entry that began at or before `now`.
  [[nodiscard]] common::Time WindowStart(const FleetPosition& position, common::Time now) const;

  std::uint64_t server_hash_ = 0;
  bool leaving_ = false;
  /// End of the time for which the server wants no requests of this entry.
  common::Time back_off_until_;
  std::optional<double> limit_;
  common::Time limit_stated_at_;
  std::optional<ColdLimit> cold_limit_;
  /// No request is sent before this time.
  common::Time next_permit_at_;
  /// Start of a window while the position of the entry is not known.
  common::Time random_window_;
  /// The permit that was taken last, while it may be returned.
  std::optional<common::Time> taken_permit_at_;
};

}  // namespace briarwood::routing
