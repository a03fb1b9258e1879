#include "briarwood/routing/crash_evidence_table.h"

#include <algorithm>
#include <tuple>

namespace briarwood::routing {
namespace {

/// Servers that fail together are not noticed at the same moment by all entries, and the agreed
/// time of two entries differs by some milliseconds.
constexpr std::uint64_t kSimultaneousMs = 100;
constexpr int kMaxServers = 16;
/// Bounds on what one request can add to the table.
constexpr std::size_t kMaxPropertyBytes = 64;
constexpr std::size_t kMaxPropertiesOfCrash = 32;
/// A held property that crashes a server in its trial will hardly be sound soon, and each trial
/// ends the requests that run beside it.
constexpr std::uint64_t kTrialDelayGrowth = 4;

/// \returns true if all servers that crashed under `narrow` also crashed under `wide`.
bool HasServersOf(const schema::CrashEvidence& wide, const schema::CrashEvidence& narrow) {
  const auto& servers = wide.backend_servers();
  return std::all_of(narrow.backend_servers().begin(), narrow.backend_servers().end(),
                     [&](const std::string& server) {
                       return std::find(servers.begin(), servers.end(), server) != servers.end();
                     });
}

}  // namespace

bool CrashEvidenceTable::IsIndependent(const schema::CrashEvidence& evidence,
                                       const schema::PropertyCrash& crash) {
  if (crash.sent_unix_ms() <= evidence.last_crash_unix_ms() + kSimultaneousMs) return false;
  const auto& servers = evidence.backend_servers();
  return std::find(servers.begin(), servers.end(), crash.backend_server()) == servers.end();
}

bool CrashEvidenceTable::IsTrialDue(const std::map<std::string, schema::CrashEvidence>& all,
                                    const schema::CrashEvidence& evidence,
                                    const std::vector<std::string>& properties,
                                    std::uint64_t now_ms) {
  if (evidence.next_trial_unix_ms() <= now_ms) return true;
  if (evidence.trial_sequence() != 0) return false;
  return std::any_of(all.begin(), all.end(), [&](const auto& item) {
    const auto& [other, other_evidence] = item;
    return other_evidence.held() &&
           std::find(properties.begin(), properties.end(), other) == properties.end() &&
           HasServersOf(other_evidence, evidence);
  });
}

std::vector<std::string> CrashEvidenceTable::RecordCrash(const schema::PropertyCrash& crash) {
  // The last ones are the most specific ones, see CrashProperties.
  std::set<std::string> properties;
  for (int i = crash.properties_size() - 1; i >= 0 && properties.size() < kMaxPropertiesOfCrash;
       --i) {
    const std::string& property = crash.properties(i);
    if (!property.empty() && property.size() <= kMaxPropertyBytes) properties.insert(property);
  }
  std::vector<std::string> counted;
  for (const std::string& property : properties) {
    const auto found = properties_.find(property);
    if (found != properties_.end() && !IsIndependent(found->second, crash)) continue;
    if (found == properties_.end() && !MakeRoom()) continue;
    schema::CrashEvidence& evidence = properties_[property];
    evidence.set_property(property);
    Count(evidence, crash);
    changed_.insert(property);
    counted.push_back(property);
  }
  return counted;
}

void CrashEvidenceTable::Count(schema::CrashEvidence& evidence,
                               const schema::PropertyCrash& crash) const {
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

bool CrashEvidenceTable::MakeRoom() {
  if (properties_.size() < options_.max_properties) return true;
  const auto rank = [](const auto& item) {
    return std::tuple(item.second.held(), item.second.crashes(), item.second.last_crash_unix_ms());
  };
  const auto weakest =
      std::min_element(properties_.begin(), properties_.end(),
                       [&](const auto& a, const auto& b) { return rank(a) < rank(b); });
  if (weakest->second.held()) return false;
  changed_.insert(weakest->first);
  properties_.erase(weakest);
  return true;
}

bool CrashEvidenceTable::Clear(const std::string& property) {
  if (properties_.erase(property) == 0) return false;
  changed_.insert(property);
  return true;
}

PropertyTrial CrashEvidenceTable::BeginTrial(const schema::BeginPropertyTrial& trial,
                                             std::uint64_t now_ms) {
  const std::vector<std::string> properties(trial.properties().begin(), trial.properties().end());
  std::vector<schema::CrashEvidence*> held;
  bool repeated = false;
  bool due = true;
  for (const std::string& property : properties) {
    const auto found = properties_.find(property);
    if (found == properties_.end() || !found->second.held()) continue;
    held.push_back(&found->second);
    due = due && IsTrialDue(properties_, found->second, properties, now_ms);
    repeated = repeated || (trial.sequence() != 0 &&
                            found->second.trial_entry_incarnation() == trial.entry_incarnation() &&
                            found->second.trial_sequence() == trial.sequence());
  }
  if (held.empty() || repeated) return PropertyTrial::kGranted;
  if (!due) return PropertyTrial::kNotDue;
  for (schema::CrashEvidence* evidence : held) {
    evidence->set_next_trial_unix_ms(now_ms + evidence->trial_delay_ms());
    evidence->set_trial_entry_incarnation(trial.entry_incarnation());
    evidence->set_trial_sequence(trial.sequence());
    changed_.insert(evidence->property());
  }
  return PropertyTrial::kGranted;
}

void CrashEvidenceTable::Expire(std::uint64_t now_ms) {
  std::erase_if(properties_, [&](const auto& item) {
    const bool expired = item.second.expires_unix_ms() <= now_ms;
    if (expired) changed_.insert(item.first);
    return expired;
  });
}

const schema::CrashEvidence* CrashEvidenceTable::Find(const std::string& property) const {
  const auto found = properties_.find(property);
  return found == properties_.end() ? nullptr : &found->second;
}

std::vector<std::string> CrashEvidenceTable::TakeChanged() {
  std::vector<std::string> changed(changed_.begin(), changed_.end());
  changed_.clear();
  return changed;
}

schema::CrashEvidenceTableState CrashEvidenceTable::Save() const {
  schema::CrashEvidenceTableState state;
  for (const auto& [property, evidence] : properties_) *state.add_properties() = evidence;
  return state;
}

void CrashEvidenceTable::Restore(const schema::CrashEvidenceTableState& state) {
  properties_.clear();
  changed_.clear();
  for (const schema::CrashEvidence& evidence : state.properties()) {
    properties_[evidence.property()] = evidence;
  }
}

}  // namespace briarwood::routing
