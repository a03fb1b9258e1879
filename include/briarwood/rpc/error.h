#pragma once

#include <string>

#include "briarwood/common/result.h"

namespace briarwood::rpc {

/// Failure of a call between processes.
class RpcError : public common::Error {
 public:
  RpcError(const std::string& message, bool sent, bool refused = false)
      : Error(message), sent_(sent), refused_(refused) {}

  /// False if it is certain that the other process did not receive the request.
  [[nodiscard]] bool sent() const noexcept { return sent_; }

  /// True if the connection was refused, so that no process listens at the address.
  [[nodiscard]] bool refused() const noexcept { return refused_; }

 private:
  bool sent_;
  bool refused_;
};

}  // namespace briarwood::rpc
