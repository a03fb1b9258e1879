#include <cmath>
#include <cstdint>
#include <iomanip>
#include <ostream>
#include <string>

#include "briarwood/policy_sim/simulation.h"

namespace briarwood::policy_sim {
namespace {

constexpr double kPercent = 100;

std::string JoinClasses(const Outcome& outcome, double ClassOutcome::*field) {
  std::string text;
  for (const ClassOutcome& part : outcome.classes) {
    if (!text.empty()) text += " / ";
    if (part.*field < 0) {
      text += "-";
      continue;
    }
    const std::int64_t tenths = std::llround(part.*field * kPercent * 10);
    text += std::to_string(tenths / 10) + '.' + std::to_string(tenths % 10);
  }
  return text;
}

}  // namespace

void WriteTable(std::ostream& out, const std::vector<Outcome>& outcomes) {
  std::string scenario;
  out << std::fixed;
  for (const Outcome& outcome : outcomes) {
    if (outcome.scenario != scenario) {
      scenario = outcome.scenario;
      out << "\n### " << scenario << " (classes:";
      for (const ClassOutcome& part : outcome.classes) {
        out << ' ' << part.class_id << " tier " << part.tier << ';';
      }
      out << " figures in %)\n\n"
          << "| variant | attainment | worst service | worst attainment | least floor | goodput "
             "tok/s | wasted | attempts | busy engine-s | tok/engine-s | cache | crashes |\n"
          << "|---|---|---|---|---|---|---|---|---|---|---|---|\n";
    }
    out << "| " << outcome.variant << " | " << JoinClasses(outcome, &ClassOutcome::attainment)
        << " | " << JoinClasses(outcome, &ClassOutcome::worst_customer) << " | "
        << JoinClasses(outcome, &ClassOutcome::worst_attainment) << " | "
        << JoinClasses(outcome, &ClassOutcome::least_floor) << " | " << std::setprecision(0)
        << outcome.goodput << " | " << std::setprecision(2) << outcome.wasted * kPercent << " | "
        << std::setprecision(3) << outcome.attempts_per_request << " | " << std::setprecision(0)
        << outcome.busy_engine_seconds << " | " << outcome.tokens_per_engine_second << " | "
        << std::setprecision(1) << outcome.cache_hits * kPercent << " | " << outcome.engines_crashed
        << " |\n";
  }
}

void WriteCsv(std::ostream& out, const std::vector<Outcome>& outcomes) {
  out << "scenario,variant,seed,class,tier,requests,attainment,worst_customer,worst_attainment,"
         "least_floor,shed,preempted,goodput,wasted,attempts,busy_engine_s,tokens_per_engine_s,"
         "cache_hits,crashes\n";
  for (const Outcome& outcome : outcomes) {
    for (const ClassOutcome& part : outcome.classes) {
      out << '"' << outcome.scenario << "\",\"" << outcome.variant << "\"," << outcome.seed << ','
          << part.class_id << ',' << part.tier << ',' << part.requests << ','
          << std::setprecision(5) << std::defaultfloat << part.attainment << ','
          << part.worst_customer << ',' << part.worst_attainment << ',' << part.least_floor << ','
          << part.shed << ',' << part.preempted << ',' << outcome.goodput << ',' << outcome.wasted
          << ',' << outcome.attempts_per_request << ',' << outcome.busy_engine_seconds << ','
          << outcome.tokens_per_engine_second << ',' << outcome.cache_hits << ','
          << outcome.engines_crashed << '\n';
    }
  }
}

}  // namespace briarwood::policy_sim
