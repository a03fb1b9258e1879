#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>

#include "briarwood/common/digest.h"
#include "briarwood/common/ids.h"
#include "control.pb.h"
#include "state.pb.h"

namespace briarwood::control {

/// Claims of calls that are not idempotent: at most one attempt per (customer, idempotency key) is
/// executed.
///
/// A claim is kept for 24 h. A later request with the same key is rejected and never executed: one
/// with a UUIDv7 key by the timestamp in the key, one with an opaque key by a digest that is kept
/// until 7 days after the claim.
class ClaimTable {
 public:
  static constexpr std::uint64_t kRetentionMs = std::uint64_t{24} * 3600 * 1000;
  static constexpr std::uint64_t kDigestRetentionMs = 7 * kRetentionMs;
  /// Tolerance for keys of callers whose clock is ahead.
  static constexpr std::uint64_t kClockSkewMs = std::uint64_t{5} * 60 * 1000;
  static constexpr std::size_t kMaxAnswerBytes = std::size_t{64} * 1024;

  /// RESULT_CODE_OK grants the attempt. A repeated claim of a running attempt is granted again with
  /// the same index. Other codes: RUNNING, ANSWERED (without an answer when it exceeded
  /// kMaxAnswerBytes), OUTCOME_UNKNOWN, CONFLICT (the key was used with another request), EXPIRED,
  /// INVALID, and NOT_FOUND for a repeated claim of an attempt that was released.
  schema::CommandResult Claim(const schema::ClaimRequest& request, common::LogIndex index,
                              std::uint64_t now_unix_ms);

  /// Records the outcome of an attempt. CONFLICT when another attempt holds the claim or another
  /// outcome is recorded, NOT_FOUND when there is no claim.
  schema::CommandResult Complete(const schema::CompleteClaim& command, common::LogIndex index);

  /// Removes expired claims and digests.
  void Expire(std::uint64_t now_unix_ms);

  [[nodiscard]] std::size_t size() const noexcept { return claims_.size(); }

  void Save(schema::ClaimTableState& state) const;
  void Restore(const schema::ClaimTableState& state);

 private:
  /// Customer and idempotency key.
  using Key = std::pair<std::string, std::string>;

  schema::CommandResult ResultForExisting(schema::ClaimRecord& claim,
                                          const schema::ClaimRequest& request,
                                          common::LogIndex index, std::uint64_t now_unix_ms);
  schema::CommandResult Grant(const schema::ClaimRequest& request, common::LogIndex index,
                              std::uint64_t now_unix_ms);
  void Insert(schema::ClaimRecord record);
  void InsertDigest(const common::Digest128& digest, std::uint64_t expires_unix_ms);

  std::map<Key, schema::ClaimRecord> claims_;
  std::set<std::pair<std::uint64_t, Key>> expiries_;
  std::map<common::Digest128, std::uint64_t> digests_;
  std::set<std::pair<std::uint64_t, common::Digest128>> digest_expiries_;
};

/// \returns the timestamp of a UUIDv7 in canonical text form, in Unix milliseconds; nothing for any
/// other text.
[[nodiscard]] std::optional<std::uint64_t> UuidV7Millis(std::string_view text);

}  // namespace briarwood::control
