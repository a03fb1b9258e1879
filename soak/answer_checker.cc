#include "soak/answer_checker.h"

#include <cmath>

namespace briarwood::soak {
namespace {

constexpr std::uint16_t kUnavailable = 503;
constexpr std::uint16_t kFirstServerError = 500;
constexpr std::uint16_t kOk = 200;

/// \returns true if the answer did not arrive, though the request may have run.
bool IsLost(const CallOutcome& outcome) {
  if (outcome.status == 0) return true;
  if (outcome.status >= kFirstServerError) return outcome.status != kUnavailable;
  return outcome.status == kOk && !outcome.complete;
}

std::string Seconds(common::Duration duration) {
  constexpr double kMillis = 1000;
  std::string text = std::to_string(std::round(common::ToSeconds(duration) * kMillis) / kMillis);
  return text.substr(0, text.find('.') + 4) + " s";
}

}  // namespace

void AnswerChecker::OnRun(const std::string& id, const std::string& server, const std::string& link,
                          common::Time now) {
  Run& run = runs_[id];
  run = {.server = server, .link = link, .at = now, .number = run.number + 1};
}

void AnswerChecker::OnStopped(const std::string& entry, std::uint64_t lifetime, common::Time now) {
  stops_.emplace(std::pair(entry, lifetime), now);
}

std::optional<common::Time> AnswerChecker::StopOf(const CallOutcome& outcome) const {
  const auto found = stops_.find({outcome.entry, outcome.entry_lifetime});
  if (found == stops_.end() || found->second > outcome.ended_at) return std::nullopt;
  return found->second;
}

bool AnswerChecker::EntryAffected(const CallOutcome& outcome) const {
  // A connection that was silenced before the call stays silent.
  return disturbances_.Affected(outcome.entry, outcome.sent_at, outcome.ended_at) ||
         disturbances_.Affected(outcome.entry_address, outcome.connected_at, outcome.ended_at);
}

bool AnswerChecker::ServerAffected(const Run& run, const CallOutcome& outcome) const {
  return disturbances_.Affected(run.server, run.at, outcome.ended_at) ||
         disturbances_.Affected(run.link, outcome.sent_at, outcome.ended_at);
}

bool AnswerChecker::MayCut(const CallOutcome& outcome, common::Time stopped_at) const {
  const auto last =
      common::FromSeconds(common::ToSeconds(bounds_.grace_period) * (1 - bounds_.final_share));
  return outcome.sent_at < stopped_at && outcome.ended_at - stopped_at >= last;
}

void AnswerChecker::OnEnded(const CallOutcome& outcome, common::Duration time_limit) {
  const auto found = runs_.find(outcome.id);
  const std::optional<Run> run = found == runs_.end() ? std::nullopt : std::optional(found->second);
  if (found != runs_.end()) runs_.erase(found);
  const std::optional<common::Time> stopped_at = StopOf(outcome);
  if (stopped_at && outcome.connected_at < *stopped_at && outcome.sent_at > *stopped_at) ++kept_;
  if (outcome.disconnected || !IsLost(outcome) || EntryAffected(outcome)) return;
  if (!run) {
    CheckWithoutRun(outcome);
    return;
  }
  if (outcome.ended_at - outcome.sent_at >= time_limit || ServerAffected(*run, outcome)) return;
  if (stopped_at && outcome.status == kOk) {
    ++(outcome.sent_at < *stopped_at ? cut_before_stop_ : cut_after_stop_);
    if (MayCut(outcome, *stopped_at)) return;
  }
  std::string detail = "request " + outcome.id + " to " + outcome.entry + " ended with status " +
                       std::to_string(outcome.status) + " " +
                       Seconds(outcome.ended_at - outcome.sent_at) + " after it was sent, in run " +
                       std::to_string(run->number) + " on " + run->server + " since " +
                       Seconds(outcome.ended_at - run->at);
  if (stopped_at) {
    detail += ", " + Seconds(outcome.ended_at - *stopped_at) + " after SIGTERM, sent " +
              (outcome.sent_at < *stopped_at ? "before" : "after") + " it";
  }
  log_.Report(outcome.ended_at, "answer in progress", std::move(detail));
}

void AnswerChecker::CheckWithoutRun(const CallOutcome& outcome) {
  if (outcome.status != 0 || outcome.not_sent) return;
  const common::Duration duration = outcome.ended_at - outcome.sent_at;
  if (duration <= bounds_.loss_slack) return;
  log_.Report(outcome.ended_at, "no answer",
              "request " + outcome.id + " to " + outcome.entry +
                  " ended with neither an answer nor a rejection " + Seconds(duration) +
                  " after it was sent");
}

}  // namespace briarwood::soak
