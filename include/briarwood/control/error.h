#pragma once

#include "briarwood/common/result.h"

namespace briarwood::control {

/// Misuse of the control state that no command can cause, such as a decreasing index.
class ControlError : public common::Error {
 public:
  using Error::Error;
};

}  // namespace briarwood::control
