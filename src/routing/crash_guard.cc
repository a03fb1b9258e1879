#include "briarwood/routing/crash_guard.h"

#include <algorithm>

namespace briarwood::routing {
namespace {

using std::chrono::milliseconds;

/// Without a response for this long, the control members count as unreachable. Own evidence that is
/// younger also decides while they are reachable, as their rows do not contain it yet.
constexpr milliseconds kControlTimeout{2000};
/// A property that was cleared here stays clear until the row has changed, but no longer than this.
constexpr milliseconds kClearPeriod{2000};
/// A property is reported as sound again after this time, if it still has a row.
constexpr milliseconds kSoundReportInterval{500};
constexpr milliseconds kGrantPeriod{5000};
constexpr milliseconds kMinRetryAfter{300};
constexpr milliseconds kMaxRetryAfter{3000};
/// A history is kept for one to two of these periods.
constexpr std::chrono::seconds kHistoryPeriod{60};
/// A sound start speaks for a property for this long before the next attempt is sent, as a property
/// may begin to crash servers that ran it soundly before.
constexpr milliseconds kSoundPeriod{2000};
constexpr std::size_t kMaxHistories = 2048;
constexpr std::size_t kMaxUnreportedCrashes = 256;
/// Evidence that could not be reported for this long is left to the table of this entry.
constexpr std::uint64_t kMaxReportAgeMs = 10'000;
/// The list of backend servers shows some seconds after a server has ended that it is gone.
constexpr std::chrono::seconds kSilencePeriod{20};
constexpr std::size_t kMaxSilences = 256;
constexpr std::size_t kMaxRespondingServers = 8192;

std::uint64_t BootMillis(common::Time at) {
  const auto since = std::chrono::duration_cast<milliseconds>(at.time_since_epoch()).count();
  return static_cast<std::uint64_t>(std::max<std::int64_t>(since, 0));
}

}  // namespace

bool CrashGuard::IsConnected(common::Time now) const {
  return control_contact_ && now - *control_contact_ <= kControlTimeout;
}

std::optional<std::uint64_t> CrashGuard::AgreedMillis(common::Time at) const {
  if (!agreed_) return std::nullopt;
  const auto since = std::chrono::duration_cast<common::UnixMillis>(at - agreed_->second);
  return static_cast<std::uint64_t>(std::max<std::int64_t>((agreed_->first + since).count(), 0));
}

void CrashGuard::SetRows(const std::vector<schema::CrashEvidence>& rows) {
  rows_.clear();
  for (const schema::CrashEvidence& row : rows) rows_[row.property()] = row;
}

bool CrashGuard::IsClearedHere(const std::string& property, common::Time now) const {
  const auto found = cleared_.find(property);
  if (found == cleared_.end()) return false;
  return now - found->second <= kClearPeriod || !IsConnected(now);
}

const schema::CrashEvidence* CrashGuard::FindHeld(const std::string& property,
                                                  common::Time now) const {
  const schema::CrashEvidence* own = own_.Find(property);
  if (own != nullptr && own->held()) {
    const std::uint64_t age =
        BootMillis(now) - std::min(BootMillis(now), own->last_crash_unix_ms());
    const bool recent = age <= static_cast<std::uint64_t>(kControlTimeout.count());
    if (recent || !IsConnected(now)) return own;
  }
  const auto row = rows_.find(property);
  if (row == rows_.end() || !row->second.held() || IsClearedHere(property, now)) return nullptr;
  const auto agreed = AgreedMillis(now);
  return agreed && row->second.expires_unix_ms() <= *agreed ? nullptr : &row->second;
}

milliseconds CrashGuard::RetryAfter(const schema::CrashEvidence& evidence, common::Time now) const {
  const bool own = own_.Find(evidence.property()) == &evidence;
  const std::uint64_t time = own ? BootMillis(now) : AgreedMillis(now).value_or(0);
  const std::uint64_t due = evidence.next_trial_unix_ms();
  const auto left = static_cast<std::int64_t>(due > time ? due - time : 0);
  return std::clamp(milliseconds(left), kMinRetryAfter, kMaxRetryAfter);
}

RequestVerdict CrashGuard::Check(const std::vector<std::string>& properties, common::Time now) {
  std::vector<const schema::CrashEvidence*> held;
  for (const std::string& property : properties) {
    const schema::CrashEvidence* evidence = FindHeld(property, now);
    if (evidence != nullptr) held.push_back(evidence);
  }
  if (held.empty()) return RequestAllowed{};
  if (grant_ && now >= grant_->ends_at) grant_.reset();
  const auto granted = [this](const schema::CrashEvidence* evidence) {
    return grant_ && grant_->properties.contains(evidence->property());
  };
  if (std::all_of(held.begin(), held.end(), granted)) {
    grant_.reset();
    RequestTrial trial;
    for (const schema::CrashEvidence* evidence : held) {
      trial.properties.push_back(evidence->property());
    }
    return trial;
  }
  const auto agreed = AgreedMillis(now);
  const auto due = [&](const schema::CrashEvidence* evidence) {
    const auto row = rows_.find(evidence->property());
    return agreed && row != rows_.end() && &row->second == evidence &&
           CrashEvidenceTable::IsTrialDue(rows_, *evidence, properties, *agreed);
  };
  if (IsConnected(now) && !grant_ && std::all_of(held.begin(), held.end(), due)) {
    wanted_trial_.clear();
    for (const schema::CrashEvidence* evidence : held) {
      wanted_trial_.push_back(evidence->property());
    }
  }
  const schema::CrashEvidence* strongest = *std::max_element(
      held.begin(), held.end(), [](const schema::CrashEvidence* a, const schema::CrashEvidence* b) {
        return a->next_trial_unix_ms() < b->next_trial_unix_ms();
      });
  return RequestHeld{.evidence = *strongest, .retry_after = RetryAfter(*strongest, now)};
}

CrashGuard::History& CrashGuard::HistoryOf(const std::string& property, common::Time now) {
  if (now - period_started_at_ >= kHistoryPeriod || histories_.size() >= kMaxHistories) {
    previous_histories_ = std::exchange(histories_, {});
    period_started_at_ = now;
  }
  const auto [found, created] = histories_.try_emplace(property);
  const auto previous = previous_histories_.find(property);
  if (created && previous != previous_histories_.end()) found->second = previous->second;
  return found->second;
}

bool CrashGuard::WasSound(const History& history, common::Time sent_at) {
  if (history.crash_at && sent_at <= *history.crash_at) return history.was_sound;
  if (!history.sound_at || sent_at - *history.sound_at > kSoundPeriod) return false;
  return !history.crash_at || *history.sound_at > *history.crash_at;
}

bool CrashGuard::HasEvidence(const std::vector<std::string>& properties) const {
  return std::any_of(properties.begin(), properties.end(), [this](const std::string& property) {
    return rows_.contains(property) || own_.Find(property) != nullptr;
  });
}

CrashConclusion CrashGuard::OnCrash(const std::vector<std::string>& properties,
                                    const std::string& server, std::uint32_t servers,
                                    common::Time sent_at, common::Time now) {
  schema::PropertyCrash crash;
  crash.set_backend_server(server);
  crash.set_backend_servers(servers);
  crash.set_sent_unix_ms(BootMillis(sent_at));
  crash.set_ended_unix_ms(BootMillis(now));
  for (const std::string& property : properties) {
    History& history = HistoryOf(property, now);
    const bool was_sound = WasSound(history, sent_at);
    if (!was_sound) crash.add_properties(property);
    if (history.crash_at && sent_at <= *history.crash_at) continue;
    history.was_sound = was_sound;
    history.crash_at = now;
  }
  schema::PropertyCrash agreed = crash;
  agreed.set_sent_unix_ms(AgreedMillis(sent_at).value_or(0));
  CrashConclusion conclusion;
  for (const std::string& property : crash.properties()) {
    const schema::CrashEvidence* own = own_.Find(property);
    const auto row = rows_.find(property);
    const bool own_earlier = own != nullptr && CrashEvidenceTable::IsIndependent(*own, crash);
    const bool row_earlier =
        row != rows_.end() && CrashEvidenceTable::IsIndependent(row->second, agreed);
    if (own_earlier || row_earlier) conclusion.may_retry = false;
    const std::uint32_t known = std::max(own == nullptr ? 0 : own->crashes(),
                                         row == rows_.end() ? 0 : row->second.crashes());
    conclusion.candidates.emplace_back(property, known);
  }
  if (crash.properties().empty()) return conclusion;
  own_.RecordCrash(crash);
  static_cast<void>(own_.TakeChanged());
  if (crashes_.size() < kMaxUnreportedCrashes) crashes_.push_back(std::move(crash));
  return conclusion;
}

bool CrashGuard::HasRespondedAfter(const std::string& server, common::Time at) const {
  const auto found = responded_at_.find(server);
  return found != responded_at_.end() && found->second >= at;
}

void CrashGuard::OnResponse(const std::string& server, common::Time now) {
  if (responded_at_.size() >= kMaxRespondingServers && !responded_at_.contains(server)) {
    responded_at_.clear();
  }
  responded_at_[server] = now;
}

void CrashGuard::OnSilence(const std::vector<std::string>& properties, const std::string& server,
                           std::uint32_t servers, common::Time sent_at, common::Time now) {
  if (!HasRespondedAfter(server, sent_at)) return;
  if (ended_at_.contains(server)) {
    OnCrash(properties, server, servers, sent_at, now);
  } else if (silences_.size() < kMaxSilences) {
    silences_.push_back({.properties = properties,
                         .server = server,
                         .servers = servers,
                         .sent_at = sent_at,
                         .ended_at = now});
  }
}

std::vector<std::pair<std::string, std::uint32_t>> CrashGuard::OnServerEnded(
    const std::string& server, common::Time now) {
  std::vector<std::pair<std::string, std::uint32_t>> candidates;
  for (const Silence& silence : silences_) {
    if (silence.server != server) continue;
    const auto conclusion =
        OnCrash(silence.properties, server, silence.servers, silence.sent_at, silence.ended_at);
    candidates.insert(candidates.end(), conclusion.candidates.begin(), conclusion.candidates.end());
  }
  std::erase_if(silences_, [&](const Silence& silence) { return silence.server == server; });
  ended_at_[server] = now;
  return candidates;
}

std::vector<std::string> CrashGuard::OnSoundStart(const std::vector<std::string>& properties,
                                                  common::Time now) {
  std::vector<std::string> cleared;
  for (const std::string& property : properties) {
    HistoryOf(property, now).sound_at = now;
    const bool own = own_.Clear(property);
    for (schema::PropertyCrash& crash : crashes_) {
      std::vector<std::string> left;
      for (const std::string& candidate : crash.properties()) {
        if (candidate != property) left.push_back(candidate);
      }
      crash.mutable_properties()->Assign(left.begin(), left.end());
    }
    if (!own && !rows_.contains(property)) continue;
    const auto [reported, first] = cleared_.emplace(property, now);
    if (!first && now - reported->second < kSoundReportInterval) continue;
    reported->second = now;
    sound_properties_.insert(property);
    cleared.push_back(property);
  }
  std::erase_if(crashes_, [](const auto& crash) { return crash.properties().empty(); });
  static_cast<void>(own_.TakeChanged());
  return cleared;
}

std::optional<schema::RecordCrashEvidence> CrashGuard::TakeReport(common::Time now) {
  const auto agreed = AgreedMillis(now);
  if (!agreed || (crashes_.empty() && sound_properties_.empty())) return std::nullopt;
  schema::RecordCrashEvidence report;
  const std::uint64_t boot = BootMillis(now);
  const auto convert = [&](std::uint64_t time) {
    return *agreed - std::min(*agreed, boot - std::min(boot, time));
  };
  for (schema::PropertyCrash& crash : crashes_) {
    crash.set_sent_unix_ms(convert(crash.sent_unix_ms()));
    crash.set_ended_unix_ms(convert(crash.ended_unix_ms()));
    *report.add_crashes() = std::move(crash);
  }
  for (const std::string& property : sound_properties_) report.add_sound_properties(property);
  crashes_.clear();
  sound_properties_.clear();
  return report;
}

void CrashGuard::PutBack(const schema::RecordCrashEvidence& report, common::Time now) {
  const auto agreed = AgreedMillis(now);
  if (!agreed) return;
  const std::uint64_t boot = BootMillis(now);
  for (schema::PropertyCrash crash : report.crashes()) {
    const std::uint64_t age = *agreed - std::min(*agreed, crash.ended_unix_ms());
    if (age > kMaxReportAgeMs || crashes_.size() >= kMaxUnreportedCrashes) continue;
    const std::uint64_t length = crash.ended_unix_ms() - crash.sent_unix_ms();
    crash.set_ended_unix_ms(boot - std::min(boot, age));
    crash.set_sent_unix_ms(crash.ended_unix_ms() - std::min(crash.ended_unix_ms(), length));
    crashes_.push_back(std::move(crash));
  }
  for (const std::string& property : report.sound_properties()) {
    if (rows_.contains(property)) sound_properties_.insert(property);
  }
}

std::vector<std::string> CrashGuard::TakeWantedTrial() { return std::exchange(wanted_trial_, {}); }

void CrashGuard::OnTrialGranted(const std::vector<std::string>& properties, common::Time now) {
  grant_ =
      Grant{.properties = {properties.begin(), properties.end()}, .ends_at = now + kGrantPeriod};
}

void CrashGuard::Expire(common::Time now) {
  own_.Expire(BootMillis(now));
  static_cast<void>(own_.TakeChanged());
  std::erase_if(silences_,
                [&](const Silence& silence) { return now - silence.ended_at > kSilencePeriod; });
  std::erase_if(ended_at_, [&](const auto& item) {
    if (now - item.second <= kSilencePeriod) return false;
    responded_at_.erase(item.first);
    return true;
  });
  std::erase_if(cleared_, [&](const auto& item) {
    return now - item.second > kClearPeriod && IsConnected(now);
  });
}

}  // namespace briarwood::routing
