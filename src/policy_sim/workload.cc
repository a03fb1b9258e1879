#include "policy_sim/impl/workload.h"

#include <algorithm>
#include <cmath>
#include <numbers>

#include "briarwood/common/digest.h"
#include "policy_sim/impl/engine.h"

namespace briarwood::policy_sim {
namespace {

constexpr double kInputSigma = 0.5;
/// Share of a prompt that is common to all requests of a template.
constexpr double kPrefixShare = 0.6;
/// Number of prompt templates per customer and class.
constexpr std::uint64_t kPromptTemplates = 4;
constexpr double kMaxOutputTokens = 4000;
constexpr double kParetoShape = 1.3;

double MeanLogNormal(double median, double sigma) { return median * std::exp(sigma * sigma / 2); }

}  // namespace

Workload::Workload(const Scenario& scenario, std::uint64_t seed)
    : scenario_(scenario), random_(seed) {
  for (const CustomerTraffic& customer : scenario_.customers) {
    total_weight_ += customer.weight * customer.surge;
  }
}

double Workload::BaseRate(std::uint32_t class_index) const {
  const ClassTraffic& traffic = scenario_.classes[class_index];
  const double input = MeanLogNormal(traffic.input_median, kInputSigma);
  const double output = MeanLogNormal(traffic.output_median, traffic.output_sigma);
  // Assumes that every prefix is cached, so that an overload remains one even with optimal
  // placement of prefixes.
  const double seconds =
      EngineModel::Seconds(input * (1 - kPrefixShare), input + output / 2, output);
  return traffic.demand_share * scenario_.engines / seconds;
}

common::Duration Workload::NextArrival(std::uint32_t class_index, common::Duration since_start) {
  const bool burst = since_start >= scenario_.burst_start && since_start < scenario_.burst_end;
  double load = burst ? scenario_.burst_load : scenario_.base_load;
  const ClassTraffic& traffic = scenario_.classes[class_index];
  if (burst && traffic.bursts_alone) load = scenario_.burst_load;
  if (burst && !traffic.bursts_alone && scenario_.one_class_bursts) load = scenario_.base_load;
  double surge = 0;
  double contracted = 0;
  for (const CustomerTraffic& customer : scenario_.customers) {
    surge += customer.weight * (burst ? customer.surge : 1);
    contracted += customer.weight;
  }
  const double rate = BaseRate(class_index) * load * surge / contracted;
  return common::FromSeconds(-std::log(1 - random_.Uniform()) / rate);
}

double Workload::LogNormal(double median, double sigma) {
  const double radius = std::sqrt(-2 * std::log(1 - random_.Uniform()));
  const double normal = radius * std::cos(2 * std::numbers::pi * random_.Uniform());
  return median * std::exp(sigma * normal);
}

std::uint64_t Workload::OutputLength(const ClassTraffic& traffic) {
  double length = 0;
  if (scenario_.heavy_tail) {
    const double mean = MeanLogNormal(traffic.output_median, traffic.output_sigma);
    const double minimum = mean * (kParetoShape - 1) / kParetoShape;
    length = minimum * std::pow(1 - random_.Uniform(), -1 / kParetoShape);
  } else {
    length = LogNormal(traffic.output_median, traffic.output_sigma);
  }
  return static_cast<std::uint64_t>(std::clamp(length, 2.0, kMaxOutputTokens));
}

std::uint32_t Workload::DrawCustomer() {
  double point = random_.Uniform() * total_weight_;
  for (std::uint32_t index = 0; index < scenario_.customers.size(); ++index) {
    const CustomerTraffic& customer = scenario_.customers[index];
    point -= customer.weight * customer.surge;
    if (point < 0) return index;
  }
  return static_cast<std::uint32_t>(scenario_.customers.size() - 1);
}

SimRequest Workload::Draw(std::uint32_t class_index, std::uint64_t number) {
  const ClassTraffic& traffic = scenario_.classes[class_index];
  SimRequest request;
  request.class_index = class_index;
  request.tier = traffic.policy.tier.value();
  request.customer_index = DrawCustomer();
  request.entry = static_cast<std::uint32_t>(random_.Below(scenario_.entries));
  request.input_tokens = static_cast<std::uint64_t>(
      std::clamp(LogNormal(traffic.input_median, kInputSigma), 10.0, 8000.0));
  request.prefix_tokens =
      static_cast<std::uint64_t>(kPrefixShare * static_cast<double>(request.input_tokens));
  request.output_tokens = OutputLength(traffic);
  const std::string& customer = scenario_.customers[request.customer_index].id;
  routing::QueuedRequest& queued = request.queued;
  queued.id = common::RequestId("r" + std::to_string(number));
  queued.class_id = traffic.policy.id;
  queued.customer = common::CustomerId(customer);
  queued.capability.model = common::ModelId("model");
  queued.input_tokens = request.input_tokens;
  queued.prefix_hash = common::Hash64(customer + '/' + traffic.policy.id.value(),
                                      random_.Below(kPromptTemplates) + 1);
  queued.fingerprint = common::Hash128(queued.id.value());
  return request;
}

}  // namespace briarwood::policy_sim
