#include <algorithm>

#include "briarwood/observability/log_line.h"
#include "forwarding/impl/forwarder.h"

namespace briarwood::forwarding::impl {

using observability::LogLine;

namespace {

/// Share of the retry budget that second attempts leave for retries.
constexpr double kMaxSpentShare = 0.75;

}  // namespace

void Forwarder::OnLoadSign(const std::string& service, routing::LoadSign sign, common::Time now) {
  if (!second_attempts_.OnLoadSign(service, now)) return;
  metrics_.CountEvent("second_attempts_off");
  log_.Info(LogLine("second_attempts")
                .Add("service", service)
                .Add("on", false)
                .Add("reason", routing::NameOf(sign))
                .text());
}

void Forwarder::CheckLoad(common::Time now) {
  if (!second_attempts_.enabled()) return;
  for (auto& [service, state] : services_) {
    if (state.scheduler.queued() > 0) {
      const bool held_back =
          std::any_of(state.prompts.begin(), state.prompts.end(),
                      [](const PromptState& prompts) { return prompts.limiter.held_back(); });
      OnLoadSign(service, held_back ? routing::LoadSign::kPromptLimit : routing::LoadSign::kQueue,
                 now);
    } else if (retry_budget_.SpentShare(service, now) > kMaxSpentShare) {
      OnLoadSign(service, routing::LoadSign::kRetryBudget, now);
    } else if (second_attempts_.Resume(service, now)) {
      metrics_.CountEvent("second_attempts_on");
      log_.Info(LogLine("second_attempts")
                    .Add("service", service)
                    .Add("on", true)
                    .Add("reason", "no_load_sign")
                    .text());
    }
  }
}

}  // namespace briarwood::forwarding::impl
