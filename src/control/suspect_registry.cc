#include "briarwood/control/suspect_registry.h"

#include <utility>

#include "control/impl/results.h"

namespace briarwood::control {

using impl::MakeResult;

common::Digest128 ToDigest(const schema::Fingerprint& fingerprint) noexcept {
  return {.high = fingerprint.high(), .low = fingerprint.low()};
}

std::string FingerprintId(const common::Digest128& fingerprint) {
  constexpr int kBits = 64;
  constexpr int kBitsPerByte = 8;
  std::string bytes;
  for (const std::uint64_t half : {fingerprint.high, fingerprint.low}) {
    for (int shift = kBits - kBitsPerByte; shift >= 0; shift -= kBitsPerByte) {
      bytes.push_back(static_cast<char>(half >> shift));
    }
  }
  return common::ToHex(bytes);
}

schema::CommandResult SuspectRegistry::RecordCrash(const schema::RecordCrash& command,
                                                   common::LogIndex index,
                                                   std::uint64_t now_unix_ms) {
  const CrashKey key{command.backend_server(), command.backend_incarnation()};
  const auto known = crashes_.find(key);
  if (known != crashes_.end()) return impl::Ok(common::LogIndex(known->second.index()));
  schema::CrashRecord& crash = crashes_[key];
  crash.set_backend_server(key.first);
  crash.set_backend_incarnation(key.second);
  crash.set_index(index.value());
  crash.set_expires_unix_ms(now_unix_ms + kExpiryMs);
  std::set<common::Digest128> in_flight;
  for (const schema::Fingerprint& fingerprint : command.in_flight()) {
    in_flight.insert(ToDigest(fingerprint));
  }
  for (const common::Digest128& fingerprint : in_flight) {
    schema::SuspectState& suspect = suspects_[fingerprint];
    suspect.mutable_fingerprint()->set_high(fingerprint.high);
    suspect.mutable_fingerprint()->set_low(fingerprint.low);
    suspect.set_crashes(suspect.crashes() + 1);
    suspect.set_proven(suspect.crashes() >= kMinProvingCrashes);
    suspect.set_expires_unix_ms(now_unix_ms + kExpiryMs);
    suspect.clear_trial();
    changed_.insert(fingerprint);
  }
  return impl::Ok(index);
}

schema::CommandResult SuspectRegistry::BeginTrial(const schema::BeginTrial& command,
                                                  common::LogIndex index,
                                                  std::uint64_t now_unix_ms) {
  Expire(now_unix_ms);
  const auto found = suspects_.find(ToDigest(command.fingerprint()));
  if (found == suspects_.end()) return impl::Ok(index);
  schema::SuspectState& suspect = found->second;
  if (suspect.proven()) {
    return MakeResult(schema::RESULT_CODE_REFUSED, index, "the request crashes engines");
  }
  if (suspect.has_trial() && now_unix_ms < suspect.trial().deadline_unix_ms()) {
    const bool same_attempt = suspect.trial().entry_incarnation() == command.entry_incarnation() &&
                              suspect.trial().attempt_sequence() == command.attempt_sequence();
    return MakeResult(same_attempt ? schema::RESULT_CODE_OK : schema::RESULT_CODE_RUNNING,
                      common::LogIndex(suspect.trial().index()));
  }
  schema::TrialState& trial = *suspect.mutable_trial();
  trial.set_entry_incarnation(command.entry_incarnation());
  trial.set_attempt_sequence(command.attempt_sequence());
  trial.set_deadline_unix_ms(command.deadline_unix_ms());
  trial.set_index(index.value());
  return impl::Ok(index);
}

schema::CommandResult SuspectRegistry::EndTrial(const schema::EndTrial& command,
                                                common::LogIndex index) {
  const auto found = suspects_.find(ToDigest(command.fingerprint()));
  if (found == suspects_.end() || found->second.proven() || !found->second.has_trial()) {
    return MakeResult(schema::RESULT_CODE_NOT_FOUND, index, "no trial");
  }
  const schema::TrialState& trial = found->second.trial();
  if (trial.entry_incarnation() != command.entry_incarnation() ||
      trial.attempt_sequence() != command.attempt_sequence()) {
    return MakeResult(schema::RESULT_CODE_CONFLICT, index, "another attempt holds the trial");
  }
  if (command.cleared()) {
    changed_.insert(found->first);
    suspects_.erase(found);
  } else {
    found->second.clear_trial();
  }
  return impl::Ok(index);
}

void SuspectRegistry::Expire(std::uint64_t now_unix_ms) {
  std::erase_if(suspects_, [&](const auto& item) {
    const bool expired = item.second.expires_unix_ms() <= now_unix_ms;
    if (expired) changed_.insert(item.first);
    return expired;
  });
  std::erase_if(crashes_,
                [&](const auto& item) { return item.second.expires_unix_ms() <= now_unix_ms; });
}

std::vector<common::Digest128> SuspectRegistry::TakeChanged() {
  std::vector<common::Digest128> changed(changed_.begin(), changed_.end());
  changed_.clear();
  return changed;
}

const schema::SuspectState* SuspectRegistry::Find(const common::Digest128& fingerprint) const {
  const auto found = suspects_.find(fingerprint);
  return found == suspects_.end() ? nullptr : &found->second;
}

schema::SuspectTableState SuspectRegistry::Save() const {
  schema::SuspectTableState state;
  for (const auto& [fingerprint, suspect] : suspects_) *state.add_suspects() = suspect;
  for (const auto& [key, crash] : crashes_) *state.add_crashes() = crash;
  return state;
}

void SuspectRegistry::Restore(const schema::SuspectTableState& state) {
  *this = SuspectRegistry();
  for (const schema::SuspectState& suspect : state.suspects()) {
    suspects_[ToDigest(suspect.fingerprint())] = suspect;
  }
  for (const schema::CrashRecord& crash : state.crashes()) {
    crashes_[{crash.backend_server(), crash.backend_incarnation()}] = crash;
  }
}

}  // namespace briarwood::control
