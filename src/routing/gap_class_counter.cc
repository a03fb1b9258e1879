#include "briarwood/routing/gap_class_counter.h"

namespace briarwood::routing {

std::int64_t GapClassCounter::StepNumber(common::Time now) {
  constexpr common::Duration kStep = common::Duration(kWindow) / kSteps;
  return now.time_since_epoch() / kStep;
}

void GapClassCounter::OnOpened(std::chrono::milliseconds gap_target) {
  ++classes_[gap_target].open;
}

void GapClassCounter::OnEnded(std::chrono::milliseconds gap_target, bool completed, bool late,
                              common::Time now) {
  State& state = classes_[gap_target];
  if (state.open > 0) --state.open;
  if (!completed) return;
  const std::int64_t number = StepNumber(now);
  Step& step = state.steps[static_cast<std::size_t>(number) % kSteps];
  if (step.number != number) step = {.number = number};
  ++step.ended;
  if (late) ++step.late;
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
    if (entry.open == 0 && entry.ended == 0) return true;
    classes.push_back(entry);
    return false;
  });
  return classes;
}

}  // namespace briarwood::routing
