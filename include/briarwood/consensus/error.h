#pragma once

#include "briarwood/common/result.h"

namespace briarwood::consensus {

/// A message or the durable state conflicts with committed entries; the member must stop.
class ConsensusError : public common::Error {
 public:
  using Error::Error;
};

}  // namespace briarwood::consensus
