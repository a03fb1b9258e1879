#include "briarwood/capacity_sim/capacity_sim.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <map>

#include "briarwood/capacity/demand_forecast.h"
#include "briarwood/capacity/planner.h"
#include "briarwood/common/random.h"

namespace briarwood::capacity_sim {
namespace {

using capacity::EngineState;
using capacity::EngineView;

constexpr std::int64_t kSecondsPerDay = 86'400;
constexpr double kSecondsPerHour = 3'600;
constexpr std::int64_t kDecisionIntervalSeconds = 10;
// Tokens that wait longer miss their target.
constexpr std::size_t kMaxWaitSeconds = 5;
// Time from an order to the first served token beyond the model load.
constexpr std::int64_t kDrainSeconds = 30;

double Demand(const Workload& workload, std::int64_t second, common::Random& random) {
  const double day = std::floor(static_cast<double>(second) / kSecondsPerDay);
  const double hour = static_cast<double>(second % kSecondsPerDay) / kSecondsPerHour;
  const double peak_hour = workload.peak_hour + day * workload.shift_minutes_per_day / 60;
  const double distance = (hour - peak_hour) / workload.width_hours;
  double demand =
      workload.base + (workload.peak - workload.base) * std::exp(-distance * distance / 2);
  if (workload.burst_hour > 0 && hour >= workload.burst_hour) {
    constexpr double kRiseHours = 1.0 / 12;
    const double since = hour - workload.burst_hour;
    demand += workload.burst * std::min(since / kRiseHours, 1.0) *
              std::exp(-std::max(since - 1, 0.0) * 2);
  }
  return demand * (1 + workload.noise * (2 * random.Uniform() - 1));
}

/// Waiting demand, by second of arrival.
class Backlog {
 public:
  void Add(double tokens) {
    waiting_.push_back(tokens);
    offered_ += tokens;
  }

  /// \returns the remaining capacity.
  double Serve(double tokens) {
    for (double& waiting : waiting_) {
      const double part = std::min(waiting, tokens);
      waiting -= part;
      tokens -= part;
      served_ += part;
    }
    if (waiting_.size() > kMaxWaitSeconds) waiting_.pop_front();
    return tokens;
  }

  [[nodiscard]] double offered() const noexcept { return offered_; }
  [[nodiscard]] double served() const noexcept { return served_; }

 private:
  std::deque<double> waiting_;
  double offered_ = 0;
  double served_ = 0;
};

class Simulation {
 public:
  Simulation(const Workload& workload, const Strategy& strategy, const SimOptions& options)
      : workload_(workload),
        strategy_(strategy),
        options_(options),
        planner_(options.limits),
        random_(options.seed) {
    for (std::uint32_t domain = 0; domain < options.domains; ++domain) {
      for (std::uint32_t i = 0; i < options.engines_per_domain; ++i) {
        EngineView engine;
        engine.id =
            common::BackendServerId("engine-" + std::to_string(domain) + "-" + std::to_string(i));
        engine.failure_domain = common::FailureDomainId("domain-" + std::to_string(domain));
        engines_.push_back({.view = std::move(engine)});
      }
    }
    StartInitial();
  }

  SimResult Run() {
    const std::int64_t end = options_.days * kSecondsPerDay;
    for (second_ = 0; second_ < end; ++second_) {
      if (second_ == end - kSecondsPerDay) result_ = {};
      Step(second_ >= end - kSecondsPerDay);
    }
    result_.top_tier_attainment = top_.served() / top_.offered();
    result_.served_share = (top_.served() + rest_.served()) / (top_.offered() + rest_.offered());
    return result_;
  }

 private:
  struct Engine {
    EngineView view;
    std::int64_t changes_at = 0;
  };

  [[nodiscard]] double rate() const {
    return static_cast<double>(options_.limits.tokens_per_second_per_engine());
  }

  [[nodiscard]] double PeakDemand() const {
    return std::max(workload_.peak, workload_.base + workload_.burst) * (1 + workload_.noise);
  }

  void StartInitial() {
    const bool fixed = std::holds_alternative<FixedFleet>(strategy_);
    const double demand = fixed ? PeakDemand() : workload_.base;
    const double wanted = std::ceil(demand / (rate() * options_.limits.target_utilisation()));
    for (std::uint32_t i = 0; i < static_cast<std::uint32_t>(wanted); ++i) {
      const std::size_t domain = i % options_.domains;
      const std::size_t index = domain * options_.engines_per_domain + i / options_.domains;
      if (index < engines_.size()) engines_[index].view.state = EngineState::kRunning;
    }
  }

  void Step(bool measured) {
    Advance();
    const double demand = Demand(workload_, second_, random_);
    if (measured) {
      top_.Add(demand * workload_.top_tier_share);
      rest_.Add(demand * (1 - workload_.top_tier_share));
      rest_.Serve(top_.Serve(ServingEngines() * rate()));
      result_.engine_seconds += PaidEngines();
      if (ServingEnginesWithoutLargestDomain() * rate() < demand * workload_.top_tier_share) {
        ++result_.exposed_seconds;
      }
    }
    const common::UnixMillis now = std::chrono::seconds(second_);
    forecast_.Record(now, demand);
    top_forecast_.Record(now, demand * workload_.top_tier_share);
    if (second_ % kDecisionIntervalSeconds == 0) {
      std::visit([&](const auto& strategy) { Decide(strategy, demand, now); }, strategy_);
    }
  }

  void Advance() {
    for (Engine& engine : engines_) {
      if (second_ < engine.changes_at) continue;
      if (engine.view.state == EngineState::kStarting) engine.view.state = EngineState::kRunning;
      if (engine.view.state == EngineState::kDraining) engine.view.running_requests = 0;
    }
  }

  [[nodiscard]] double ServingEngines() const { return Count(EngineState::kRunning); }

  [[nodiscard]] double Count(EngineState state) const {
    return static_cast<double>(
        std::count_if(engines_.begin(), engines_.end(),
                      [&](const Engine& engine) { return engine.view.state == state; }));
  }

  [[nodiscard]] double ServingEnginesWithoutLargestDomain() const {
    std::map<common::FailureDomainId, double> serving;
    for (const Engine& engine : engines_) {
      if (engine.view.state == EngineState::kRunning) ++serving[engine.view.failure_domain];
    }
    double largest = 0;
    for (const auto& [domain, count] : serving) largest = std::max(largest, count);
    return ServingEngines() - largest;
  }

  [[nodiscard]] double PaidEngines() const {
    return static_cast<double>(engines_.size()) - Count(EngineState::kStopped);
  }

  void Decide(const FixedFleet& /*strategy*/, double /*demand*/, common::UnixMillis /*now*/) {}

  void Decide(const ThresholdRule& rule, double demand, common::UnixMillis /*now*/) {
    const double serving = ServingEngines();
    const double utilisation = serving == 0 ? 1 : demand / (serving * rate());
    const double present = serving + Count(EngineState::kStarting);
    if (utilisation > rule.add_above && Count(EngineState::kStarting) == 0) {
      StartFirstStopped();
    } else if (utilisation < rule.remove_below && present > 1) {
      StopFirstRunning();
    }
  }

  void StartFirstStopped() {
    for (Engine& engine : engines_) {
      if (engine.view.state == EngineState::kStopped) return Start(engine);
    }
  }

  void StopFirstRunning() {
    for (Engine& engine : engines_) {
      if (engine.view.state == EngineState::kRunning) return Stop(engine);
    }
  }

  void Decide(const ForecastPlanner& /*strategy*/, double /*demand*/, common::UnixMillis now) {
    const std::chrono::seconds horizon(options_.limits.engine_start_seconds());
    capacity::PlanInput input{.now = now,
                              .demand = forecast_.PeakWithin(now, 2 * horizon),
                              .top_tier_demand = top_forecast_.PeakWithin(now, 2 * horizon),
                              .engines = {}};
    for (const Engine& engine : engines_) input.engines.push_back(engine.view);
    for (const capacity::PlannedStep& step : planner_.MakePlan(input).steps) Execute(step);
  }

  void Execute(const capacity::PlannedStep& step) {
    const auto engine = std::find_if(engines_.begin(), engines_.end(), [&](const Engine& item) {
      return item.view.id == step.engine;
    });
    switch (step.step) {
      case capacity::PlanStep::kStart:
        return Start(*engine);
      case capacity::PlanStep::kUndrain:
        engine->view.state = EngineState::kRunning;
        return;
      case capacity::PlanStep::kDrain:
        engine->view.state = EngineState::kDraining;
        engine->view.running_requests = 1;
        engine->changes_at = second_ + kDrainSeconds;
        return;
      case capacity::PlanStep::kStop:
        return Stop(*engine);
    }
  }

  void Start(Engine& engine) {
    engine.view.state = EngineState::kStarting;
    engine.changes_at = second_ + static_cast<std::int64_t>(options_.limits.engine_start_seconds());
    ++result_.starts;
  }

  void Stop(Engine& engine) {
    engine.view.state = EngineState::kStopped;
    ++result_.stops;
  }

  Workload workload_;
  Strategy strategy_;
  SimOptions options_;
  capacity::Planner planner_;
  capacity::DemandForecast forecast_;
  capacity::DemandForecast top_forecast_;
  common::Random random_;
  std::vector<Engine> engines_;
  std::int64_t second_ = 0;
  Backlog top_;
  Backlog rest_;
  SimResult result_;
};

}  // namespace

SimResult Simulate(const Workload& workload, const Strategy& strategy, const SimOptions& options) {
  return Simulation(workload, strategy, options).Run();
}

Workload PattamDay() {
  return {.name = "pattam day",
          .base = 900,
          .peak = 4'000,
          .peak_hour = 18.2,
          .shift_minutes_per_day = 2,
          .width_hours = 1.2,
          .top_tier_share = 0.25,
          .noise = 0.08,
          .burst_hour = 8,
          .burst = 3'000};
}

Workload TrentvaleEvening() {
  return {.name = "trentvale evening",
          .base = 2'500,
          .peak = 8'000,
          .peak_hour = 19.5,
          .shift_minutes_per_day = 3,
          .width_hours = 1.5,
          .top_tier_share = 0.35,
          .noise = 0.05};
}

}  // namespace briarwood::capacity_sim
