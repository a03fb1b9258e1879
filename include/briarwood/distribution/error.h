#pragma once

#include "briarwood/common/result.h"

namespace briarwood::distribution {

/// Failure in the relay tree. When a parent throws it, the child's call fails with its text.
class DistributionError : public common::Error {
 public:
  using Error::Error;
};

/// The parent's table is older than the child's. The child keeps its rows and switches to another
/// parent.
class ParentBehind : public DistributionError {
 public:
  using DistributionError::DistributionError;
};

}  // namespace briarwood::distribution
