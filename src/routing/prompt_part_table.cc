#include "briarwood/routing/prompt_part_table.h"

#include <algorithm>
#include <tuple>

namespace briarwood::routing {
namespace {

/// Servers that fail together are not noticed at the same moment by all entries, and the agreed
/// time of two entries differs by some milliseconds.
constexpr std::uint64_t kSimultaneousMs = 100;
constexpr int kMaxServers = 16;
/// Bounds on what one request can add to the table.
constexpr std::size_t kMaxPartBytes = 64;
constexpr std::size_t kMaxPartsOfCrash = 32;
/// A held part that crashes a server in its trial will hardly be sound soon, and each trial ends
/// the requests that run beside it.
constexpr std::uint64_t kTrialDelayGrowth = 4;

/// \returns true if all servers that crashed under `narrow` also crashed under `wide`.
bool HasServersOf(const schema::PromptPart& wide, const schema::PromptPart& narrow) {
  const auto& servers = wide.backend_servers();
  return std::all_of(narrow.backend_servers().begin(), narrow.backend_servers().end(),
                     [&](const std::string& server) {
                       return std::find(servers.begin(), servers.end(), server) != servers.end();
                     });
}

}  // namespace

bool PromptPartTable::IsIndependent(const schema::PromptPart& evidence,
                                    const schema::PromptPartCrash& crash) {
  if (crash.sent_unix_ms() <= evidence.last_crash_unix_ms() + kSimultaneousMs) return false;
  const auto& servers = evidence.backend_servers();
  return std::find(servers.begin(), servers.end(), crash.backend_server()) == servers.end();
}

bool PromptPartTable::IsTrialDue(const std::map<std::string, schema::PromptPart>& all,
                                 const schema::PromptPart& evidence,
                                 const std::vector<std::string>& parts, std::uint64_t now_ms) {
  if (evidence.next_trial_unix_ms() <= now_ms) return true;
  if (evidence.trial_sequence() != 0) return false;
  return std::any_of(all.begin(), all.end(), [&](const auto& item) {
    const auto& [other, other_evidence] = item;
    return other_evidence.held() && std::find(parts.begin(), parts.end(), other) == parts.end() &&
           HasServersOf(other_evidence, evidence);
  });
}

std::vector<std::string> PromptPartTable::RecordCrash(const schema::PromptPartCrash& crash) {
  // The last ones are the most specific ones, see CrashProperties.
  std::set<std::string> parts;
  for (int i = crash.parts_size() - 1; i >= 0 && parts.size() < kMaxPartsOfCrash; --i) {
    const std::string& part = crash.parts(i);
    if (!part.empty() && part.size() <= kMaxPartBytes) parts.insert(part);
  }
  std::vector<std::string> counted;
  for (const std::string& part : parts) {
    const auto found = parts_.find(part);
    if (found != parts_.end() && !IsIndependent(found->second, crash)) continue;
    if (found == parts_.end() && !MakeRoom()) continue;
    schema::PromptPart& evidence = parts_[part];
    evidence.set_part(part);
    Count(evidence, crash);
    changed_.insert(part);
    counted.push_back(part);
  }
  return counted;
}

void PromptPartTable::Count(schema::PromptPart& evidence,
                            const schema::PromptPartCrash& crash) const {
  evidence.set_crashes(evidence.crashes() + 1);
  if (evidence.backend_servers_size() >= kMaxServers) {
    evidence.mutable_backend_servers()->DeleteSubrange(0, 1);
  }
  evidence.add_backend_servers(crash.backend_server());
  evidence.set_last_crash_unix_ms(std::max(evidence.last_crash_unix_ms(), crash.ended_unix_ms()));
  const std::uint32_t threshold =
      std::clamp(crash.backend_servers(), options_.min_held_crashes, options_.held_crashes);
  if (evidence.held()) {
    evidence.set_trial_delay_ms(
        std::min(kTrialDelayGrowth * evidence.trial_delay_ms(), options_.max_trial_delay_ms));
  } else if (evidence.crashes() >= threshold) {
    evidence.set_held(true);
    evidence.set_trial_delay_ms(options_.first_trial_delay_ms);
  }
  if (evidence.held()) {
    evidence.set_next_trial_unix_ms(evidence.last_crash_unix_ms() + evidence.trial_delay_ms());
  }
  evidence.set_expires_unix_ms(
      evidence.last_crash_unix_ms() +
      (evidence.held() ? options_.held_expiry_ms : options_.candidate_expiry_ms));
}

bool PromptPartTable::MakeRoom() {
  if (parts_.size() < options_.max_parts) return true;
  const auto rank = [](const auto& item) {
    return std::tuple(item.second.held(), item.second.crashes(), item.second.last_crash_unix_ms());
  };
  const auto weakest =
      std::min_element(parts_.begin(), parts_.end(),
                       [&](const auto& a, const auto& b) { return rank(a) < rank(b); });
  if (weakest->second.held()) return false;
  changed_.insert(weakest->first);
  parts_.erase(weakest);
  return true;
}

bool PromptPartTable::Clear(const std::string& part) {
  if (parts_.erase(part) == 0) return false;
  changed_.insert(part);
  return true;
}

PromptPartTrial PromptPartTable::BeginTrial(const schema::BeginPartTrial& trial,
                                            std::uint64_t now_ms) {
  const std::vector<std::string> parts(trial.parts().begin(), trial.parts().end());
  std::vector<schema::PromptPart*> held;
  bool repeated = false;
  bool due = true;
  for (const std::string& part : parts) {
    const auto found = parts_.find(part);
    if (found == parts_.end() || !found->second.held()) continue;
    held.push_back(&found->second);
    due = due && IsTrialDue(parts_, found->second, parts, now_ms);
    repeated = repeated || (trial.sequence() != 0 &&
                            found->second.trial_entry_incarnation() == trial.entry_incarnation() &&
                            found->second.trial_sequence() == trial.sequence());
  }
  if (held.empty() || repeated) return PromptPartTrial::kGranted;
  if (!due) return PromptPartTrial::kNotDue;
  for (schema::PromptPart* evidence : held) {
    evidence->set_next_trial_unix_ms(now_ms + evidence->trial_delay_ms());
    evidence->set_trial_entry_incarnation(trial.entry_incarnation());
    evidence->set_trial_sequence(trial.sequence());
    changed_.insert(evidence->part());
  }
  return PromptPartTrial::kGranted;
}

void PromptPartTable::Expire(std::uint64_t now_ms) {
  std::erase_if(parts_, [&](const auto& item) {
    const bool expired = item.second.expires_unix_ms() <= now_ms;
    if (expired) changed_.insert(item.first);
    return expired;
  });
}

const schema::PromptPart* PromptPartTable::Find(const std::string& part) const {
  const auto found = parts_.find(part);
  return found == parts_.end() ? nullptr : &found->second;
}

std::vector<std::string> PromptPartTable::TakeChanged() {
  std::vector<std::string> changed(changed_.begin(), changed_.end());
  changed_.clear();
  return changed;
}

schema::PromptPartTableState PromptPartTable::Save() const {
  schema::PromptPartTableState state;
  for (const auto& [part, evidence] : parts_) *state.add_parts() = evidence;
  return state;
}

void PromptPartTable::Restore(const schema::PromptPartTableState& state) {
  parts_.clear();
  changed_.clear();
  for (const schema::PromptPart& evidence : state.parts()) parts_[evidence.part()] = evidence;
}

}  // namespace briarwood::routing
