#include "briarwood/routing/prompt_part_guard.h"

#include <algorithm>

namespace briarwood::routing {
namespace {

using std::chrono::milliseconds;

/// Without a response for this long, the control members count as unreachable. Own evidence that is
/// younger also decides while they are reachable, as their rows do not contain it yet.
constexpr milliseconds kControlTimeout{2000};
/// A part that was cleared here stays clear until the row has changed, but no longer than this.
constexpr milliseconds kClearPeriod{2000};
/// A part is reported as sound again after this time, if it still has a row.
constexpr milliseconds kSoundReportInterval{500};
constexpr milliseconds kGrantPeriod{5000};
constexpr milliseconds kMinRetryAfter{300};
constexpr milliseconds kMaxRetryAfter{3000};
/// A history is kept for one to two of these periods.
constexpr std::chrono::seconds kHistoryPeriod{60};
/// A sound start speaks for a part for this long before the next attempt is sent, as a part may
/// begin to crash servers that ran it soundly before.
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

bool PromptPartGuard::IsConnected(common::Time now) const {
  return control_contact_ && now - *control_contact_ <= kControlTimeout;
}

std::optional<std::uint64_t> PromptPartGuard::AgreedMillis(common::Time at) const {
  if (!agreed_) return std::nullopt;
  const auto since = std::chrono::duration_cast<common::UnixMillis>(at - agreed_->second);
  return static_cast<std::uint64_t>(std::max<std::int64_t>((agreed_->first + since).count(), 0));
}

void PromptPartGuard::SetRows(const std::vector<schema::PromptPart>& rows) {
  rows_.clear();
  for (const schema::PromptPart& row : rows) rows_[row.part()] = row;
}

bool PromptPartGuard::IsClearedHere(const std::string& part, common::Time now) const {
  const auto found = cleared_.find(part);
  if (found == cleared_.end()) return false;
  return now - found->second <= kClearPeriod || !IsConnected(now);
}

const schema::PromptPart* PromptPartGuard::FindHeld(const std::string& part,
                                                    common::Time now) const {
  const schema::PromptPart* own = own_.Find(part);
  if (own != nullptr && own->held()) {
    const std::uint64_t age =
        BootMillis(now) - std::min(BootMillis(now), own->last_crash_unix_ms());
    const bool recent = age <= static_cast<std::uint64_t>(kControlTimeout.count());
    if (recent || !IsConnected(now)) return own;
  }
  const auto row = rows_.find(part);
  if (row == rows_.end() || !row->second.held() || IsClearedHere(part, now)) return nullptr;
  const auto agreed = AgreedMillis(now);
  return agreed && row->second.expires_unix_ms() <= *agreed ? nullptr : &row->second;
}

milliseconds PromptPartGuard::RetryAfter(const schema::PromptPart& evidence,
                                         common::Time now) const {
  const bool own = own_.Find(evidence.part()) == &evidence;
  const std::uint64_t time = own ? BootMillis(now) : AgreedMillis(now).value_or(0);
  const std::uint64_t due = evidence.next_trial_unix_ms();
  const auto left = static_cast<std::int64_t>(due > time ? due - time : 0);
  return std::clamp(milliseconds(left), kMinRetryAfter, kMaxRetryAfter);
}

PromptVerdict PromptPartGuard::Check(const std::vector<std::string>& parts, common::Time now) {
  std::vector<const schema::PromptPart*> held;
  for (const std::string& part : parts) {
    const schema::PromptPart* evidence = FindHeld(part, now);
    if (evidence != nullptr) held.push_back(evidence);
  }
  if (held.empty()) return PromptAllowed{};
  if (grant_ && now >= grant_->ends_at) grant_.reset();
  const auto granted = [this](const schema::PromptPart* evidence) {
    return grant_ && grant_->parts.contains(evidence->part());
  };
  if (std::all_of(held.begin(), held.end(), granted)) {
    grant_.reset();
    PromptTrial trial;
    for (const schema::PromptPart* evidence : held) trial.parts.push_back(evidence->part());
    return trial;
  }
  const auto agreed = AgreedMillis(now);
  const auto due = [&](const schema::PromptPart* evidence) {
    const auto row = rows_.find(evidence->part());
    return agreed && row != rows_.end() && &row->second == evidence &&
           PromptPartTable::IsTrialDue(rows_, *evidence, parts, *agreed);
  };
  if (IsConnected(now) && !grant_ && std::all_of(held.begin(), held.end(), due)) {
    wanted_trial_.clear();
    for (const schema::PromptPart* evidence : held) wanted_trial_.push_back(evidence->part());
  }
  const schema::PromptPart* strongest = *std::max_element(
      held.begin(), held.end(), [](const schema::PromptPart* a, const schema::PromptPart* b) {
        return a->next_trial_unix_ms() < b->next_trial_unix_ms();
      });
  return PromptHeld{.evidence = *strongest, .retry_after = RetryAfter(*strongest, now)};
}

PromptPartGuard::History& PromptPartGuard::HistoryOf(const std::string& part, common::Time now) {
  if (now - period_started_at_ >= kHistoryPeriod || histories_.size() >= kMaxHistories) {
    previous_histories_ = std::exchange(histories_, {});
    period_started_at_ = now;
  }
  const auto [found, created] = histories_.try_emplace(part);
  const auto previous = previous_histories_.find(part);
  if (created && previous != previous_histories_.end()) found->second = previous->second;
  return found->second;
}

bool PromptPartGuard::WasSound(const History& history, common::Time sent_at) {
  if (history.crash_at && sent_at <= *history.crash_at) return history.was_sound;
  if (!history.sound_at || sent_at - *history.sound_at > kSoundPeriod) return false;
  return !history.crash_at || *history.sound_at > *history.crash_at;
}

bool PromptPartGuard::HasEvidence(const std::vector<std::string>& parts) const {
  return std::any_of(parts.begin(), parts.end(), [this](const std::string& part) {
    return rows_.contains(part) || own_.Find(part) != nullptr;
  });
}

CrashConclusion PromptPartGuard::OnCrash(const std::vector<std::string>& parts,
                                         const std::string& server, std::uint32_t servers,
                                         common::Time sent_at, common::Time now) {
  schema::PromptPartCrash crash;
  crash.set_backend_server(server);
  crash.set_backend_servers(servers);
  crash.set_sent_unix_ms(BootMillis(sent_at));
  crash.set_ended_unix_ms(BootMillis(now));
  for (const std::string& part : parts) {
    History& history = HistoryOf(part, now);
    const bool was_sound = WasSound(history, sent_at);
    if (!was_sound) crash.add_parts(part);
    if (history.crash_at && sent_at <= *history.crash_at) continue;
    history.was_sound = was_sound;
    history.crash_at = now;
  }
  schema::PromptPartCrash agreed = crash;
  agreed.set_sent_unix_ms(AgreedMillis(sent_at).value_or(0));
  CrashConclusion conclusion;
  for (const std::string& part : crash.parts()) {
    const schema::PromptPart* own = own_.Find(part);
    const auto row = rows_.find(part);
    const bool own_earlier = own != nullptr && PromptPartTable::IsIndependent(*own, crash);
    const bool row_earlier =
        row != rows_.end() && PromptPartTable::IsIndependent(row->second, agreed);
    if (own_earlier || row_earlier) conclusion.may_retry = false;
    const std::uint32_t known = std::max(own == nullptr ? 0 : own->crashes(),
                                         row == rows_.end() ? 0 : row->second.crashes());
    conclusion.candidates.emplace_back(part, known);
  }
  if (crash.parts().empty()) return conclusion;
  own_.RecordCrash(crash);
  static_cast<void>(own_.TakeChanged());
  if (crashes_.size() < kMaxUnreportedCrashes) crashes_.push_back(std::move(crash));
  return conclusion;
}

bool PromptPartGuard::HasRespondedAfter(const std::string& server, common::Time at) const {
  const auto found = responded_at_.find(server);
  return found != responded_at_.end() && found->second >= at;
}

void PromptPartGuard::OnResponse(const std::string& server, common::Time now) {
  if (responded_at_.size() >= kMaxRespondingServers && !responded_at_.contains(server)) {
    responded_at_.clear();
  }
  responded_at_[server] = now;
}

void PromptPartGuard::OnSilence(const std::vector<std::string>& parts, const std::string& server,
                                std::uint32_t servers, common::Time sent_at, common::Time now) {
  if (!HasRespondedAfter(server, sent_at)) return;
  if (ended_at_.contains(server)) {
    OnCrash(parts, server, servers, sent_at, now);
  } else if (silences_.size() < kMaxSilences) {
    silences_.push_back({.parts = parts,
                         .server = server,
                         .servers = servers,
                         .sent_at = sent_at,
                         .ended_at = now});
  }
}

std::vector<std::pair<std::string, std::uint32_t>> PromptPartGuard::OnServerEnded(
    const std::string& server, common::Time now) {
  std::vector<std::pair<std::string, std::uint32_t>> candidates;
  for (const Silence& silence : silences_) {
    if (silence.server != server) continue;
    const auto conclusion =
        OnCrash(silence.parts, server, silence.servers, silence.sent_at, silence.ended_at);
    candidates.insert(candidates.end(), conclusion.candidates.begin(), conclusion.candidates.end());
  }
  std::erase_if(silences_, [&](const Silence& silence) { return silence.server == server; });
  ended_at_[server] = now;
  return candidates;
}

std::vector<std::string> PromptPartGuard::OnSoundStart(const std::vector<std::string>& parts,
                                                       common::Time now) {
  std::vector<std::string> cleared;
  for (const std::string& part : parts) {
    HistoryOf(part, now).sound_at = now;
    const bool own = own_.Clear(part);
    for (schema::PromptPartCrash& crash : crashes_) {
      std::vector<std::string> left;
      for (const std::string& candidate : crash.parts()) {
        if (candidate != part) left.push_back(candidate);
      }
      crash.mutable_parts()->Assign(left.begin(), left.end());
    }
    if (!own && !rows_.contains(part)) continue;
    const auto [reported, first] = cleared_.emplace(part, now);
    if (!first && now - reported->second < kSoundReportInterval) continue;
    reported->second = now;
    sound_parts_.insert(part);
    cleared.push_back(part);
  }
  std::erase_if(crashes_, [](const auto& crash) { return crash.parts().empty(); });
  static_cast<void>(own_.TakeChanged());
  return cleared;
}

std::optional<schema::RecordPartEvidence> PromptPartGuard::TakeReport(common::Time now) {
  const auto agreed = AgreedMillis(now);
  if (!agreed || (crashes_.empty() && sound_parts_.empty())) return std::nullopt;
  schema::RecordPartEvidence report;
  const std::uint64_t boot = BootMillis(now);
  const auto convert = [&](std::uint64_t time) {
    return *agreed - std::min(*agreed, boot - std::min(boot, time));
  };
  for (schema::PromptPartCrash& crash : crashes_) {
    crash.set_sent_unix_ms(convert(crash.sent_unix_ms()));
    crash.set_ended_unix_ms(convert(crash.ended_unix_ms()));
    *report.add_crashes() = std::move(crash);
  }
  for (const std::string& part : sound_parts_) report.add_sound_parts(part);
  crashes_.clear();
  sound_parts_.clear();
  return report;
}

void PromptPartGuard::PutBack(const schema::RecordPartEvidence& report, common::Time now) {
  const auto agreed = AgreedMillis(now);
  if (!agreed) return;
  const std::uint64_t boot = BootMillis(now);
  for (schema::PromptPartCrash crash : report.crashes()) {
    const std::uint64_t age = *agreed - std::min(*agreed, crash.ended_unix_ms());
    if (age > kMaxReportAgeMs || crashes_.size() >= kMaxUnreportedCrashes) continue;
    const std::uint64_t length = crash.ended_unix_ms() - crash.sent_unix_ms();
    crash.set_ended_unix_ms(boot - std::min(boot, age));
    crash.set_sent_unix_ms(crash.ended_unix_ms() - std::min(crash.ended_unix_ms(), length));
    crashes_.push_back(std::move(crash));
  }
  for (const std::string& part : report.sound_parts()) {
    if (rows_.contains(part)) sound_parts_.insert(part);
  }
}

std::vector<std::string> PromptPartGuard::TakeWantedTrial() {
  return std::exchange(wanted_trial_, {});
}

void PromptPartGuard::OnTrialGranted(const std::vector<std::string>& parts, common::Time now) {
  grant_ = Grant{.parts = {parts.begin(), parts.end()}, .ends_at = now + kGrantPeriod};
}

void PromptPartGuard::Expire(common::Time now) {
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
