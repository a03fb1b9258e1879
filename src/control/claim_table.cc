#include "briarwood/control/claim_table.h"

#include <algorithm>
#include <utility>

#include "control/impl/results.h"

namespace briarwood::control {

using impl::MakeResult;

namespace {

constexpr std::size_t kUuidLength = 36;
constexpr std::size_t kVersionPosition = 14;
constexpr std::size_t kVariantPosition = 19;
constexpr std::size_t kSha256Bytes = 32;

int HexValue(char c) {
  if (c >= '0' && c <= '9') return c - '0';
  if (c >= 'a' && c <= 'f') return c - 'a' + 10;
  if (c >= 'A' && c <= 'F') return c - 'A' + 10;
  return -1;
}

common::Digest128 ClaimDigest(const std::string& customer, const std::string& key) {
  return common::Hash128(customer + '\0' + key);
}

bool SameAttempt(const schema::ClaimRecord& claim, std::uint64_t incarnation,
                 std::uint64_t sequence) {
  return claim.entry_incarnation() == incarnation && claim.attempt_sequence() == sequence;
}

schema::CommandResult AnsweredResult(const schema::ClaimRecord& claim) {
  schema::CommandResult result =
      MakeResult(schema::RESULT_CODE_ANSWERED, common::LogIndex(claim.index()));
  if (claim.has_answer()) {
    *result.mutable_answer() = claim.answer();
  } else {
    result.set_message("the answer exceeded the size that is kept");
  }
  return result;
}

}  // namespace

std::optional<std::uint64_t> UuidV7Millis(std::string_view text) {
  if (text.size() != kUuidLength || text[kVersionPosition] != '7') return std::nullopt;
  const int variant = HexValue(text[kVariantPosition]);
  if (variant < 8 || variant > 11) return std::nullopt;
  std::uint64_t millis = 0;
  int digits = 0;
  for (std::size_t i = 0; i < text.size(); ++i) {
    const bool dash = i == 8 || i == 13 || i == 18 || i == 23;
    const int value = HexValue(text[i]);
    if (dash ? text[i] != '-' : value < 0) return std::nullopt;
    if (!dash && digits < 12) {
      millis = millis * 16 + static_cast<std::uint64_t>(value);
      ++digits;
    }
  }
  return millis;
}

void ClaimTable::Insert(schema::ClaimRecord record) {
  Key key{record.customer(), record.idempotency_key()};
  const auto previous = claims_.find(key);
  if (previous != claims_.end()) expiries_.erase({previous->second.expires_unix_ms(), key});
  expiries_.emplace(record.expires_unix_ms(), key);
  claims_[std::move(key)] = std::move(record);
}

void ClaimTable::InsertDigest(const common::Digest128& digest, std::uint64_t expires_unix_ms) {
  digests_[digest] = expires_unix_ms;
  digest_expiries_.emplace(expires_unix_ms, digest);
}

schema::CommandResult ClaimTable::Grant(const schema::ClaimRequest& request, common::LogIndex index,
                                        std::uint64_t now_unix_ms) {
  schema::ClaimRecord record;
  record.set_customer(request.customer());
  record.set_idempotency_key(request.idempotency_key());
  record.set_request_sha256(request.request_sha256());
  record.set_entry_incarnation(request.entry_incarnation());
  record.set_attempt_sequence(request.attempt_sequence());
  record.set_state(schema::CLAIM_STATE_RUNNING);
  record.set_index(index.value());
  record.set_deadline_unix_ms(request.deadline_unix_ms());
  // A key with a timestamp in the future is rejected as expired only 24 h after that timestamp, so
  // its claim must be kept until then.
  const std::uint64_t start =
      std::max(now_unix_ms, UuidV7Millis(request.idempotency_key()).value_or(0));
  record.set_expires_unix_ms(start + kRetentionMs);
  Insert(std::move(record));
  return impl::Ok(index);
}

schema::CommandResult ClaimTable::ResultForExisting(schema::ClaimRecord& claim,
                                                    const schema::ClaimRequest& request,
                                                    common::LogIndex index,
                                                    std::uint64_t now_unix_ms) {
  const bool same_attempt =
      SameAttempt(claim, request.entry_incarnation(), request.attempt_sequence());
  if (claim.state() == schema::CLAIM_STATE_RELEASED) {
    // A delayed copy of the claim must not take the claim again: a released attempt is never
    // executed, so nothing would complete it.
    if (same_attempt) {
      return MakeResult(schema::RESULT_CODE_NOT_FOUND, index, "the attempt was released");
    }
    return Grant(request, index, now_unix_ms);
  }
  if (claim.request_sha256() != request.request_sha256()) {
    return MakeResult(schema::RESULT_CODE_CONFLICT, index,
                      "the idempotency key was used with another request");
  }
  const common::LogIndex first(claim.index());
  if (claim.state() == schema::CLAIM_STATE_ANSWERED) return AnsweredResult(claim);
  if (claim.state() == schema::CLAIM_STATE_RUNNING) {
    if (same_attempt) return impl::Ok(first);
    if (now_unix_ms < claim.deadline_unix_ms()) {
      return MakeResult(schema::RESULT_CODE_RUNNING, first);
    }
    claim.set_state(schema::CLAIM_STATE_UNKNOWN);
  }
  return MakeResult(schema::RESULT_CODE_OUTCOME_UNKNOWN, first);
}

schema::CommandResult ClaimTable::Claim(const schema::ClaimRequest& request, common::LogIndex index,
                                        std::uint64_t now_unix_ms) {
  if (request.customer().empty() || request.idempotency_key().empty() ||
      request.request_sha256().size() != kSha256Bytes) {
    return MakeResult(schema::RESULT_CODE_INVALID, index,
                      "customer, idempotency key or request digest is missing");
  }
  Expire(now_unix_ms);
  const auto existing = claims_.find({request.customer(), request.idempotency_key()});
  if (existing != claims_.end()) {
    return ResultForExisting(existing->second, request, index, now_unix_ms);
  }
  const std::optional<std::uint64_t> key_time = UuidV7Millis(request.idempotency_key());
  if (key_time && *key_time + kRetentionMs <= now_unix_ms) {
    return MakeResult(schema::RESULT_CODE_EXPIRED, index, "the idempotency key is older than 24 h");
  }
  if (key_time && *key_time > now_unix_ms + kClockSkewMs) {
    return MakeResult(schema::RESULT_CODE_INVALID, index,
                      "the time in the idempotency key is in the future");
  }
  if (digests_.contains(ClaimDigest(request.customer(), request.idempotency_key()))) {
    return MakeResult(schema::RESULT_CODE_EXPIRED, index,
                      "the idempotency key was used more than 24 h ago");
  }
  return Grant(request, index, now_unix_ms);
}

schema::CommandResult ClaimTable::Complete(const schema::CompleteClaim& command,
                                           common::LogIndex index) {
  const auto found = claims_.find({command.customer(), command.idempotency_key()});
  if (found == claims_.end()) return MakeResult(schema::RESULT_CODE_NOT_FOUND, index, "no claim");
  schema::ClaimRecord& claim = found->second;
  if (!SameAttempt(claim, command.entry_incarnation(), command.attempt_sequence())) {
    return MakeResult(schema::RESULT_CODE_CONFLICT, index, "another attempt holds the claim");
  }
  schema::ClaimState state = schema::CLAIM_STATE_UNSPECIFIED;
  if (command.outcome() == schema::CompleteClaim::OUTCOME_NOT_RUN) {
    state = schema::CLAIM_STATE_RELEASED;
  } else if (command.outcome() == schema::CompleteClaim::OUTCOME_ANSWERED) {
    state = schema::CLAIM_STATE_ANSWERED;
  } else if (command.outcome() == schema::CompleteClaim::OUTCOME_UNKNOWN) {
    state = schema::CLAIM_STATE_UNKNOWN;
  } else {
    return MakeResult(schema::RESULT_CODE_INVALID, index, "the outcome is missing");
  }
  if (claim.state() == state) return impl::Ok(index);
  const bool ended = claim.state() == schema::CLAIM_STATE_ANSWERED ||
                     claim.state() == schema::CLAIM_STATE_RELEASED;
  if (ended) {
    return MakeResult(schema::RESULT_CODE_CONFLICT, index, "the claim has ended otherwise");
  }
  claim.set_state(state);
  if (state == schema::CLAIM_STATE_ANSWERED && command.answer().body().size() <= kMaxAnswerBytes) {
    *claim.mutable_answer() = command.answer();
  }
  return impl::Ok(index);
}

void ClaimTable::Expire(std::uint64_t now_unix_ms) {
  while (!expiries_.empty() && expiries_.begin()->first <= now_unix_ms) {
    const auto [expires, key] = *expiries_.begin();
    const bool ran = claims_.at(key).state() != schema::CLAIM_STATE_RELEASED;
    if (ran && !UuidV7Millis(key.second)) {
      InsertDigest(ClaimDigest(key.first, key.second), expires - kRetentionMs + kDigestRetentionMs);
    }
    claims_.erase(key);
    expiries_.erase(expiries_.begin());
  }
  while (!digest_expiries_.empty() && digest_expiries_.begin()->first <= now_unix_ms) {
    digests_.erase(digest_expiries_.begin()->second);
    digest_expiries_.erase(digest_expiries_.begin());
  }
}

void ClaimTable::Save(schema::ClaimTableState& state) const {
  for (const auto& [key, claim] : claims_) *state.add_claims() = claim;
  for (const auto& [digest, expires] : digests_) {
    schema::ExpiredClaim& expired = *state.add_expired();
    expired.mutable_digest()->set_high(digest.high);
    expired.mutable_digest()->set_low(digest.low);
    expired.set_expires_unix_ms(expires);
  }
}

void ClaimTable::Restore(const schema::ClaimTableState& state) {
  *this = ClaimTable();
  for (const schema::ClaimRecord& claim : state.claims()) Insert(claim);
  for (const schema::ExpiredClaim& expired : state.expired()) {
    InsertDigest({.high = expired.digest().high(), .low = expired.digest().low()},
                 expired.expires_unix_ms());
  }
}

}  // namespace briarwood::control
