#include "briarwood/policy_sim/scenario.h"

#include <utility>

namespace briarwood::policy_sim {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

ClassTraffic MakeClass(const char* id, std::uint32_t tier, common::Duration first_token,
                       common::Duration deadline, double floor) {
  ClassTraffic traffic;
  traffic.policy = {.id = common::ClassId(id),
                    .tier = common::Tier(tier),
                    .first_token_target = first_token,
                    .deadline = deadline,
                    .floor_share = floor,
                    .queue_limit = 1000};
  traffic.token_gap_target = milliseconds(50);
  return traffic;
}

std::vector<CustomerTraffic> MakeCustomers(const char* prefix) {
  std::vector<CustomerTraffic> customers;
  for (const double weight : {6.0, 5.0, 4.0, 1.0, 1.0, 1.0, 1.0, 1.0, 1.0, 1.0}) {
    customers.push_back({.id = prefix + std::to_string(customers.size()), .weight = weight});
  }
  return customers;
}

Scenario Trentvale(const std::string& name) {
  Scenario scenario{.name = "trentvale " + name, .engines = 12};
  ClassTraffic booking = MakeClass("booking", 0, milliseconds(450), seconds(30), 0.10);
  booking.demand_share = 0.25;
  booking.input_median = 250;
  booking.output_median = 60;
  ClassTraffic plan = MakeClass("plan", 1, seconds(2), seconds(60), 0.10);
  plan.demand_share = 0.45;
  plan.input_median = 700;
  plan.output_median = 200;
  ClassTraffic summary = MakeClass("summary", 2, seconds(15), seconds(120), 0.05);
  summary.demand_share = 0.30;
  summary.input_median = 1500;
  summary.output_median = 250;
  scenario.classes = {booking, plan, summary};
  scenario.customers = MakeCustomers("haulier-");
  return scenario;
}

Scenario Pattam(const std::string& name) {
  Scenario scenario{.name = "pattam " + name, .engines = 9};
  ClassTraffic draft = MakeClass("draft", 0, seconds(1), seconds(120), 0.10);
  draft.demand_share = 0.20;
  draft.input_median = 400;
  draft.output_median = 450;
  draft.output_sigma = 0.6;
  ClassTraffic registration = MakeClass("registration", 1, milliseconds(800), seconds(30), 0.10);
  registration.demand_share = 0.20;
  registration.input_median = 200;
  registration.output_median = 40;
  ClassTraffic entry = MakeClass("entry", 1, milliseconds(1500), seconds(60), 0.10);
  entry.demand_share = 0.35;
  entry.input_median = 300;
  entry.output_median = 180;
  ClassTraffic digest = MakeClass("digest", 2, seconds(20), seconds(120), 0.05);
  digest.demand_share = 0.25;
  digest.input_median = 900;
  digest.output_median = 150;
  scenario.classes = {draft, registration, entry, digest};
  scenario.customers = MakeCustomers("club-");
  return scenario;
}

Scenario WithFault(Scenario scenario, Fault fault) {
  scenario.faults.push_back(fault);
  return scenario;
}

Scenario WithLoad(Scenario scenario, double load) {
  scenario.burst_load = load;
  return scenario;
}

Scenario TopTierBurst() {
  Scenario scenario = Trentvale("booking burst");
  scenario.one_class_bursts = true;
  scenario.classes[0].bursts_alone = true;
  scenario.burst_load = 3.0;
  return scenario;
}

/// Lower tiers occupy their slots for a minute, so that few slots become free while the top tier
/// bursts.
Scenario TopTierBurstLongAnswers() {
  Scenario scenario = TopTierBurst();
  scenario.name += ", long answers";
  scenario.base_load = 1.0;
  constexpr double kLongAnswer = 1500;
  for (ClassTraffic& traffic : scenario.classes) {
    if (traffic.bursts_alone) continue;
    traffic.output_median = kLongAnswer;
    traffic.output_sigma = 0.4;
    traffic.policy.deadline = seconds(300);
  }
  return scenario;
}

Scenario GreedyCustomer() {
  Scenario scenario = Trentvale("2x, customer at 10x");
  constexpr double kSurge = 10;
  scenario.customers[3].surge = kSurge;
  return scenario;
}

Scenario HeavyTail() {
  Scenario scenario = Trentvale("2x, heavy tails");
  scenario.heavy_tail = true;
  return scenario;
}

Variant With(std::string name) {
  Variant variant;
  variant.name = std::move(name);
  return variant;
}

Variant Baseline() {
  Variant variant = With("baseline");
  variant.scheduler = {
      .floors = false, .tiers = false, .slack = false, .fair_sharing = false, .drop_late = false};
  variant.placement = {.load_reports = false,
                       .discount_by_age = false,
                       .near_domain = false,
                       .prefix_affinity = false,
                       .slow_detection = false,
                       .preemption = false,
                       .headroom = false,
                       .breakers = false,
                       .slow_claims = false};
  variant.event_samples = false;
  variant.length_estimates = false;
  variant.retry_budget = false;
  variant.suspects = false;
  variant.agents_queue = true;
  return variant;
}

template <typename Features>
Variant Without(std::string name, Features Variant::*part, bool Features::*feature) {
  Variant variant = With("no " + std::move(name));
  variant.*part.*feature = false;
  return variant;
}

Variant Without(std::string name, bool Variant::*feature) {
  Variant variant = With("no " + std::move(name));
  variant.*feature = false;
  return variant;
}

Variant Combine(std::string name, bool event_samples, bool discount_by_age) {
  Variant variant = With(std::move(name));
  variant.event_samples = event_samples;
  variant.placement.discount_by_age = discount_by_age;
  return variant;
}

Variant WithoutRoomForTopTier() {
  Variant variant = With("no headroom, no preemption");
  variant.placement.headroom = false;
  variant.placement.preemption = false;
  return variant;
}

}  // namespace

std::vector<Scenario> AllScenarios() {
  constexpr std::uint32_t kEngine = 4;
  constexpr std::uint32_t kDomain = 1;
  constexpr double kOrdinaryLoad = 0.85;
  return {
      WithLoad(Trentvale("0.85x"), kOrdinaryLoad),
      Trentvale("2x"),
      Pattam("2x"),
      WithLoad(Pattam("4x"), 4.0),
      TopTierBurst(),
      TopTierBurstLongAnswers(),
      GreedyCustomer(),
      HeavyTail(),
      WithFault(Trentvale("2x, slow engine"),
                {.kind = FaultKind::kSlowEngine, .at = seconds(20), .target = kEngine}),
      WithFault(Trentvale("2x, engine crash"),
                {.kind = FaultKind::kCrash, .at = seconds(30), .target = kEngine}),
      WithFault(Trentvale("2x, domain lost"),
                {.kind = FaultKind::kDomainLoss, .at = seconds(30), .target = kDomain}),
      WithFault(WithLoad(Trentvale("0.85x, crashing request"), kOrdinaryLoad),
                {.kind = FaultKind::kPoison, .at = seconds(30)}),
  };
}

std::vector<Variant> AllVariants() {
  using S = routing::SchedulerFeatures;
  using P = routing::PlacementFeatures;
  return {With("full"),
          Baseline(),
          Without("floors", &Variant::scheduler, &S::floors),
          Without("tiers", &Variant::scheduler, &S::tiers),
          Without("slack", &Variant::scheduler, &S::slack),
          Without("fair sharing", &Variant::scheduler, &S::fair_sharing),
          Without("late drop", &Variant::scheduler, &S::drop_late),
          Without("load reports", &Variant::placement, &P::load_reports),
          Without("age discount", &Variant::placement, &P::discount_by_age),
          Combine("reports 2 s late only", false, true),
          Combine("reports 2 s late only, no age discount", false, false),
          Without("near domain", &Variant::placement, &P::near_domain),
          Without("prefix affinity", &Variant::placement, &P::prefix_affinity),
          Without("slow detection", &Variant::placement, &P::slow_detection),
          Without("preemption", &Variant::placement, &P::preemption),
          Without("headroom", &Variant::placement, &P::headroom),
          WithoutRoomForTopTier(),
          Without("breakers", &Variant::placement, &P::breakers),
          Without("slow claims", &Variant::placement, &P::slow_claims),
          Without("length estimates", &Variant::length_estimates),
          Without("retry budget", &Variant::retry_budget),
          Without("suspects", &Variant::suspects)};
}

}  // namespace briarwood::policy_sim
