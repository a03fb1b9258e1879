#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <span>

#include "briarwood/common/digest.h"
#include "briarwood/common/time.h"

namespace briarwood::routing {

enum class SuspectVerdict : std::uint8_t {
  kClear,
  /// Must run alone, after a trial has been granted.
  kRunAlone,
  /// Was in flight at two crashes of backend servers, or is proven by the control log.
  kReject,
};

struct SuspectTableOptions {
  common::Duration suspect_period = std::chrono::minutes(10);
  common::Duration reject_period = std::chrono::hours(1);
};

/// Fingerprints of requests that were in flight when a backend server crashed.
///
/// An entry applies the rows of the control log and its own observations. Only one fingerprint at a
/// time is granted a trial.
class SuspectTable {
 public:
  explicit SuspectTable(SuspectTableOptions options = {}) : options_(options) {}

  /// Records the requests that were in flight on a crashed backend server. At its second
  /// crash, a suspect is considered proven to crash backend servers and is rejected.
  void RecordCrash(std::span<const common::Digest128> in_flight, common::Time now);

  /// Sets the state from the control log; a proven request is rejected.
  void ApplyRow(const common::Digest128& fingerprint, std::uint32_t crashes, bool proven,
                common::Time expires_at);
  void EraseRow(const common::Digest128& fingerprint);

  [[nodiscard]] SuspectVerdict Check(const common::Digest128& fingerprint, common::Time now);

  /// Starts the trial of a suspect.
  /// \param deadline  time from which another trial may start even if this one has not ended
  /// \returns false if another trial is running or the fingerprint is not an unproven suspect.
  [[nodiscard]] bool BeginTrial(const common::Digest128& fingerprint, common::Time now,
                                common::Time deadline);
  /// Ends the trial. After a crash, call RecordCrash first and pass false.
  /// \param cleared  the request completed and is no longer suspect
  void EndTrial(const common::Digest128& fingerprint, bool cleared);

  [[nodiscard]] std::size_t size() const noexcept { return suspects_.size(); }

 private:
  struct Suspect {
    std::uint32_t crashes = 0;
    bool proven = false;
    common::Time expires_at;
  };
  struct Trial {
    common::Digest128 fingerprint;
    common::Time deadline;
  };

  SuspectTableOptions options_;
  std::map<common::Digest128, Suspect> suspects_;
  std::optional<Trial> trial_;
};

}  // namespace briarwood::routing
