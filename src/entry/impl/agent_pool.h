#pragma once

#include <map>
#include <memory>
#include <mutex>
#include <string>

#include "briarwood/http/client.h"
#include "fleet.pb.h"

namespace briarwood::entry::impl {

/// HTTP clients of an entry for its agents, one with pooled connections per address. Thread-safe
/// and non-blocking.
class AgentPool {
 public:
  /// \param ca_file  CA of the agents' certificates; empty selects plain HTTP
  AgentPool(std::string credential, std::string ca_file)
      : credential_(std::move(credential)), ca_file_(std::move(ca_file)) {}

  /// Dispatches one attempt. A non-idempotent request uses a new connection, because its outcome
  /// would be unknown if a pooled connection turned out to be closed.
  [[nodiscard]] std::shared_ptr<http::Call> Dispatch(const std::string& address,
                                                     const schema::RunRequest& request,
                                                     http::CallHandlers handlers);

  void Cancel(const std::string& address, const schema::CancelRequest& request);

 private:
  [[nodiscard]] std::shared_ptr<http::Client> ClientOf(const std::string& address);
  [[nodiscard]] http::Headers MakeHeaders() const;

  std::string credential_;
  std::string ca_file_;
  std::mutex mutex_;
  std::map<std::string, std::shared_ptr<http::Client>> clients_;
};

}  // namespace briarwood::entry::impl
