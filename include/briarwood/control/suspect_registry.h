#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "briarwood/common/digest.h"
#include "briarwood/common/ids.h"
#include "control.pb.h"
#include "state.pb.h"

namespace briarwood::control {

/// Requests that were in flight when an engine crashed, by fingerprint. A suspect is executed only
/// in a granted trial. A second crash proves it, and it is rejected until it expires.
class SuspectRegistry {
 public:
  static constexpr std::uint64_t kExpiryMs = std::uint64_t{3600} * 1000;
  static constexpr std::uint32_t kMinProvingCrashes = 2;

  /// Records the requests that were in flight at a crash. The crash of a backend server incarnation
  /// counts once, however often it is reported.
  schema::CommandResult RecordCrash(const schema::RecordCrash& command, common::LogIndex index,
                                    std::uint64_t now_unix_ms);

  /// RESULT_CODE_OK grants the trial, also for a fingerprint that is not a suspect any more;
  /// RUNNING while another attempt holds the trial; REFUSED when the suspect is proven.
  schema::CommandResult BeginTrial(const schema::BeginTrial& command, common::LogIndex index,
                                   std::uint64_t now_unix_ms);

  /// Ends a trial, and removes the suspect when it is cleared. CONFLICT when another attempt holds
  /// the trial, NOT_FOUND when there is none.
  schema::CommandResult EndTrial(const schema::EndTrial& command, common::LogIndex index);

  /// Removes expired suspects and crashes.
  void Expire(std::uint64_t now_unix_ms);

  /// \returns the fingerprints whose published row may have changed since the last call.
  [[nodiscard]] std::vector<common::Digest128> TakeChanged();
  /// \returns the suspect, or null.
  [[nodiscard]] const schema::SuspectState* Find(const common::Digest128& fingerprint) const;

  [[nodiscard]] schema::SuspectTableState Save() const;
  void Restore(const schema::SuspectTableState& state);

 private:
  using CrashKey = std::pair<std::string, std::uint64_t>;

  std::map<common::Digest128, schema::SuspectState> suspects_;
  std::map<CrashKey, schema::CrashRecord> crashes_;
  std::set<common::Digest128> changed_;
};

[[nodiscard]] common::Digest128 ToDigest(const schema::Fingerprint& fingerprint) noexcept;

/// \returns the row id of a fingerprint: 32 lower-case hex digits, high half first.
[[nodiscard]] std::string FingerprintId(const common::Digest128& fingerprint);

}  // namespace briarwood::control
