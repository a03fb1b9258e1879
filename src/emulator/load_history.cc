#include "emulator/impl/load_history.h"

namespace briarwood::emulator::impl {

void LoadHistory::Add(const LoadSample& sample) {
  samples_.push_back(sample);
  while (samples_.size() > 1 && samples_[1].at + lag_ <= sample.at) samples_.pop_front();
}

LoadSample LoadHistory::DelayedSample(common::Time now) const {
  LoadSample found{.at = now};
  for (const LoadSample& sample : samples_) {
    if (sample.at + lag_ > now) break;
    found = sample;
  }
  return found;
}

}  // namespace briarwood::emulator::impl
