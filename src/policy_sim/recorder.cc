#include "policy_sim/impl/recorder.h"

#include <algorithm>

namespace briarwood::policy_sim {

Recorder::Recorder(const Scenario& scenario, common::Time start)
    : scenario_(scenario), start_(start), classes_(scenario.classes.size()) {
  for (ClassTally& tally : classes_) tally.customers.resize(scenario.customers.size());
}

bool Recorder::InBurst(const SimRequest& request) const {
  const common::Duration since = request.arrived_at - start_;
  return since >= scenario_.burst_start && since < scenario_.burst_end;
}

bool Recorder::IsOnTime(const SimRequest& request) const {
  if (request.state != RequestState::kComplete) return false;
  const ClassTraffic& traffic = scenario_.classes[request.class_index];
  if (request.first_token_at - request.arrived_at > traffic.policy.first_token_target) return false;
  const auto gaps = static_cast<std::int64_t>(request.output_tokens) - 1;
  return gaps < 1 ||
         (request.last_token_at - request.first_token_at) / gaps <= traffic.token_gap_target;
}

void Recorder::OnArrival(const SimRequest& request) {
  if (!InBurst(request)) return;
  Tally& tally = classes_[request.class_index].customers[request.customer_index];
  tally.requests += 1;
  tally.demand += static_cast<double>(request.output_tokens);
}

void Recorder::OnClosed(const SimRequest& request, bool shed) {
  const double done =
      EngineModel::kInputWeight * request.prefilled + static_cast<double>(request.produced);
  const bool complete = request.state == RequestState::kComplete;
  const double useful = complete ? EngineModel::kInputWeight * request.first_prefill +
                                       static_cast<double>(request.output_tokens)
                                 : 0;
  work_ += done;
  wasted_ += done - useful;
  if (complete) complete_tokens_ += static_cast<double>(request.output_tokens);
  if (!InBurst(request)) return;
  attempts_ += request.attempts;
  if (request.attempts > 0) dispatched_ += 1;
  ClassTally& state = classes_[request.class_index];
  Tally& tally = state.customers[request.customer_index];
  if (shed) ++state.shed;
  state.preempted += request.preemptions;
  if (!complete) return;
  tally.served += static_cast<double>(request.output_tokens);
  if (!IsOnTime(request)) return;
  tally.on_time += 1;
  on_time_tokens_ += static_cast<double>(request.output_tokens);
}

void Recorder::OnUnfinished(const SimRequest& request) {
  if (!InBurst(request) || request.attempts == 0) return;
  attempts_ += request.attempts;
  dispatched_ += 1;
  classes_[request.class_index].customers[request.customer_index].served +=
      static_cast<double>(request.delivered);
}

Recorder::Window& Recorder::WindowAt(common::Time now) {
  Window& window = windows_[(now - start_) / routing::TokenWindow::kLength];
  if (window.served.empty()) {
    window.served.resize(classes_.size());
    window.standing.assign(classes_.size(), true);
  }
  return window;
}

void Recorder::OnServed(const SimRequest& request, common::Time now, double tokens) {
  WindowAt(now).served[request.class_index] += tokens;
}

void Recorder::OnBacklog(std::uint32_t class_index, bool standing, common::Time now) {
  if (!standing) WindowAt(now).standing[class_index] = false;
}

double Recorder::MinServiceRatio(const ClassTally& tally) const {
  // Weighted max-min fair shares of the tokens served to the class: customers whose demand is below
  // their share get their demand, and the others share the rest by weight.
  double left = 0;
  std::vector<std::uint32_t> open;
  for (std::uint32_t index = 0; index < tally.customers.size(); ++index) {
    left += tally.customers[index].served;
    if (tally.customers[index].demand > 0) open.push_back(index);
  }
  std::vector<double> entitled(tally.customers.size());
  while (!open.empty() && left > 0) {
    double weights = 0;
    for (const std::uint32_t index : open) weights += scenario_.customers[index].weight;
    const double level = left / weights;
    std::vector<std::uint32_t> above;
    for (const std::uint32_t index : open) {
      const double share = level * scenario_.customers[index].weight;
      entitled[index] = std::min(share, tally.customers[index].demand);
      if (tally.customers[index].demand > share) above.push_back(index);
    }
    if (above.size() == open.size()) break;
    left = 0;
    for (const Tally& customer : tally.customers) left += customer.served;
    for (std::uint32_t index = 0; index < entitled.size(); ++index) {
      if (std::find(above.begin(), above.end(), index) == above.end()) left -= entitled[index];
    }
    open = std::move(above);
  }
  double worst = 1;
  for (std::uint32_t index = 0; index < entitled.size(); ++index) {
    if (entitled[index] > 0) {
      worst = std::min(worst, tally.customers[index].served / entitled[index]);
    }
  }
  return worst;
}

double Recorder::MinFloorRatio(std::uint32_t class_index) const {
  const double floor = scenario_.classes[class_index].policy.floor_share;
  double minimum = -1;
  for (const auto& [number, window] : windows_) {
    if (!window.standing[class_index] || floor <= 0) continue;
    double all = 0;
    for (const double served : window.served) all += served;
    if (all <= 0) continue;
    const double share = window.served[class_index] / all / floor;
    minimum = minimum < 0 ? share : std::min(minimum, share);
  }
  return minimum;
}

ClassOutcome Recorder::SummariseClass(std::uint32_t class_index) const {
  const ClassTally& tally = classes_[class_index];
  const routing::ClassPolicy& policy = scenario_.classes[class_index].policy;
  ClassOutcome outcome{.class_id = policy.id.value(),
                       .tier = policy.tier.value(),
                       .worst_customer = MinServiceRatio(tally),
                       .least_floor = MinFloorRatio(class_index),
                       .shed = tally.shed,
                       .preempted = tally.preempted};
  double requests = 0;
  double on_time = 0;
  for (const Tally& customer : tally.customers) {
    requests += customer.requests;
    on_time += customer.on_time;
  }
  outcome.requests = static_cast<std::uint64_t>(requests);
  outcome.attainment = requests > 0 ? on_time / requests : 1;
  for (const Tally& customer : tally.customers) {
    if (customer.requests <= 0 || outcome.attainment <= 0) continue;
    outcome.worst_attainment = std::min(outcome.worst_attainment,
                                        customer.on_time / customer.requests / outcome.attainment);
  }
  return outcome;
}

Outcome Recorder::Summarise(const std::vector<std::unique_ptr<Engine>>& engines) const {
  Outcome outcome;
  for (std::uint32_t index = 0; index < classes_.size(); ++index) {
    outcome.classes.push_back(SummariseClass(index));
  }
  double prompt = 0;
  double cached = 0;
  for (const auto& engine : engines) {
    outcome.busy_engine_seconds += engine->busy_seconds();
    prompt += engine->prompt_tokens();
    cached += engine->cached_tokens();
  }
  outcome.goodput =
      on_time_tokens_ / common::ToSeconds(scenario_.burst_end - scenario_.burst_start);
  outcome.wasted = work_ > 0 ? wasted_ / work_ : 0;
  outcome.tokens_per_engine_second = complete_tokens_ / std::max(outcome.busy_engine_seconds, 1.0);
  outcome.attempts_per_request = attempts_ / std::max(dispatched_, 1.0);
  outcome.cache_hits = prompt > 0 ? cached / prompt : 0;
  outcome.engines_crashed = engines_crashed_;
  return outcome;
}

}  // namespace briarwood::policy_sim
