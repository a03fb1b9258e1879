#pragma once

#include <string>

#include "briarwood/cli/briarwoodctl.h"
#include "briarwood/common/result.h"

namespace briarwood::cli::impl {

/// Failure of a command: its exit code and the message for standard error.
class CtlError : public common::Error {
 public:
  CtlError(ExitCode code, const std::string& message) : Error(message), code_(code) {}

  [[nodiscard]] ExitCode code() const noexcept { return code_; }

 private:
  ExitCode code_;
};

}  // namespace briarwood::cli::impl
