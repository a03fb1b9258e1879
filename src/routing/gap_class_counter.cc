#include "briarwood/routing/gap_class_counter.h"

namespace briarwood::routing {

std::int64_t GapClassCounter::StepNumber(common::Time now) {
  constexpr common::Duration kStep = common::Duration(kWindow) / kSteps;
  return now.time_since_epoch() / kStep;
}

void GapClassCounter::OnOpened(std::chrono::milliseconds gap_target) {
  ++classes_[gap_target].open;
}

GapClassCounter::Step& GapClassCounter::StepAt(std::chrono::milliseconds gap_target,
                                               common::Time now) {
  const std::int64_t number = StepNumber(now);
  Step& step = classes_[gap_target].steps[static_cast<std::size_t>(number) % kSteps];
  if (step.number != number) step = {.number = number};
  return step;
}

void GapClassCounter::OnLateGap(std::chrono::milliseconds gap_target, common::Time now) {
  ++StepAt(gap_target, now).late;
}

void GapClassCounter::OnEnded(std::chrono::milliseconds gap_target, bool had_gaps,
                              common::Time now) {
  State& state = classes_[gap_target];
  if (state.open > 0) --state.open;
  if (had_gaps) ++StepAt(gap_target, now).ended;
}

std::vector<GapClass> GapClassCounter::Classes(common::Time now) {
  const std::int64_t oldest = StepNumber(now) - static_cast<std::int64_t>(kSteps) + 1;
  std::vector<GapClass> classes;
  std::erase_if(classes_, [&](const auto& item) {
    const auto& [gap_target, state] = item;
    GapClass entry{.gap_target = gap_target, .open = state.open};
    for (const Step& step : state.steps) {
      if (step.number < oldest) continue;
      entry.ended += step.ended;
      entry.late += step.late;
    }
    if (entry.open == 0 && entry.ended == 0 && entry.late == 0) return true;
    classes.push_back(entry);
    return false;
  });
  return classes;
}

}  // namespace briarwood::routing
