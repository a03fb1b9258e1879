#pragma once

#include <string>

#include "briarwood/common/result.h"

namespace briarwood::rpc {

/// Failure of a call between processes.
class RpcError : public common::Error {
 public:
  RpcError(const std::string& message, bool sent) : Error(message), sent_(sent) {}

  /// False if it is certain that the other process did not receive the request.
  [[nodiscard]] bool sent() const noexcept { return sent_; }

 private:
  bool sent_;
};

}  // namespace briarwood::rpc
