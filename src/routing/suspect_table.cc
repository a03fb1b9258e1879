#include "briarwood/routing/suspect_table.h"

namespace briarwood::routing {

void SuspectTable::RecordCrash(std::span<const common::Digest128> in_flight, common::Time now) {
  for (const common::Digest128& fingerprint : in_flight) {
    Suspect& suspect = suspects_[fingerprint];
    if (suspect.crashes > 0 && now >= suspect.expires_at) suspect = {};
    ++suspect.crashes;
    suspect.proven = suspect.proven || suspect.crashes >= 2;
    suspect.expires_at = now + (suspect.proven ? options_.reject_period : options_.suspect_period);
  }
}

void SuspectTable::ApplyRow(const common::Digest128& fingerprint, std::uint32_t crashes,
                            bool proven, common::Time expires_at) {
  suspects_[fingerprint] = {.crashes = crashes, .proven = proven, .expires_at = expires_at};
}

void SuspectTable::EraseRow(const common::Digest128& fingerprint) { suspects_.erase(fingerprint); }

SuspectVerdict SuspectTable::Check(const common::Digest128& fingerprint, common::Time now) {
  const auto found = suspects_.find(fingerprint);
  if (found == suspects_.end()) return SuspectVerdict::kClear;
  if (now >= found->second.expires_at) {
    suspects_.erase(found);
    return SuspectVerdict::kClear;
  }
  return found->second.proven ? SuspectVerdict::kReject : SuspectVerdict::kRunAlone;
}

bool SuspectTable::BeginTrial(const common::Digest128& fingerprint, common::Time now,
                              common::Time deadline) {
  if (trial_ && now < trial_->deadline) return false;
  if (Check(fingerprint, now) != SuspectVerdict::kRunAlone) return false;
  trial_ = Trial{.fingerprint = fingerprint, .deadline = deadline};
  return true;
}

void SuspectTable::EndTrial(const common::Digest128& fingerprint, bool cleared) {
  if (!trial_ || trial_->fingerprint != fingerprint) return;
  trial_.reset();
  if (cleared) suspects_.erase(fingerprint);
}

}  // namespace briarwood::routing
