#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "briarwood/http/event_loop.h"
#include "briarwood/http/incoming.h"
#include "soak/promises.h"

namespace briarwood::soak {

struct BackendOptions {
  std::string service;
  /// "ip:port".
  std::string listen;
  /// Requests that run at once; further ones are refused as not run.
  std::uint32_t slots = 8;
  /// Time until a plain answer, or the first event of a stream.
  std::chrono::milliseconds work{20};
  std::chrono::milliseconds event_gap{25};
  /// Called when a request begins to run.
  std::function<void(const RunCall& run)> on_run;
};

/// Backend server that speaks the platform's protocol. It can crash, which ends its requests, and
/// come back under another id. Belongs to the thread of the event loop.
class BackendStandIn {
 public:
  BackendStandIn(http::EventLoop& loop, BackendOptions options);
  ~BackendStandIn();
  BackendStandIn(const BackendStandIn&) = delete;
  BackendStandIn& operator=(const BackendStandIn&) = delete;

  /// Begins a new lifetime. \returns an empty string, or why the address cannot be used.
  std::string Start(const std::string& id);
  /// Ends all connections at once.
  void Crash();

  [[nodiscard]] bool running() const noexcept { return server_ != nullptr; }
  [[nodiscard]] const std::string& id() const noexcept { return id_; }
  [[nodiscard]] const BackendOptions& options() const noexcept { return options_; }

 private:
  class Run;

  void Handle(const std::shared_ptr<http::IncomingRequest>& request);
  void Refuse(http::IncomingRequest& request, std::uint16_t status);

  http::EventLoop& loop_;
  BackendOptions options_;
  std::string id_;
  std::unique_ptr<http::IncomingServer> server_;
  std::uint32_t running_ = 0;
  /// False once the lifetime has ended; the requests of a lifetime share it.
  std::shared_ptr<bool> lifetime_;
};

}  // namespace briarwood::soak
