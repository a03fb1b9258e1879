#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "briarwood/http/event_loop.h"
#include "briarwood/http/incoming.h"
#include "soak/invariant_checkers.h"

namespace briarwood::soak {

struct BackendOptions {
  std::string service;
  /// "ip:port".
  std::string listen;
  /// Maximum number of concurrent requests; further ones are rejected as not run.
  std::uint32_t slots = 8;
  /// Delay before a plain response or before the first event of a stream.
  std::chrono::milliseconds processing_delay{20};
  std::chrono::milliseconds event_interval{25};
  /// Called when the execution of a request starts.
  std::function<void(const RunCall& run)> on_run;
};

/// Fake backend server that implements the platform's protocol. It can crash, which aborts its
/// requests, and restart with a new id. Not thread-safe: use it on the thread of the event loop.
class FakeBackend {
 public:
  FakeBackend(http::EventLoop& loop, BackendOptions options);
  ~FakeBackend();
  FakeBackend(const FakeBackend&) = delete;
  FakeBackend& operator=(const FakeBackend&) = delete;

  /// Starts listening under a new id.
  /// \returns an empty string, or an error that describes why the address cannot be used.
  std::string Start(const std::string& id);
  /// Closes the listener and all connections immediately.
  void Crash();

  [[nodiscard]] bool running() const noexcept { return server_ != nullptr; }
  [[nodiscard]] const std::string& id() const noexcept { return id_; }
  [[nodiscard]] const BackendOptions& options() const noexcept { return options_; }

 private:
  class Run;

  void Handle(const std::shared_ptr<http::IncomingRequest>& request);
  void Reject(http::IncomingRequest& request, std::uint16_t status);

  http::EventLoop& loop_;
  BackendOptions options_;
  std::string id_;
  std::unique_ptr<http::IncomingServer> server_;
  std::uint32_t running_requests_ = 0;
  /// Shared with the requests of the current lifetime; set to false when it ends.
  std::shared_ptr<bool> lifetime_;
};

}  // namespace briarwood::soak
