#include "briarwood/load/arrivals.h"

#include <cmath>

namespace briarwood::load {

common::Duration Arrivals::Next() {
  seconds_ -= std::log1p(-random_.Uniform()) / rate_;
  return common::FromSeconds(seconds_);
}

}  // namespace briarwood::load
