#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "briarwood/http/event_loop.h"
#include "briarwood/http/incoming.h"
#include "briarwood/routing/server_statement.h"
#include "soak/invariant_checkers.h"

namespace briarwood::soak {

struct BackendOptions {
  std::string service;
  /// "ip:port".
  std::string listen;
  /// Maximum number of concurrent requests; further ones are rejected as not run.
  std::uint32_t slots = 8;
  /// Called when the execution of a request starts.
  std::function<void(const RunCall& run)> on_run;
  /// Called when a request that is meant for this server arrives, whether or not it is executed.
  std::function<void(const std::string& request_id)> on_arrival;
  /// Called when the server states something about itself in a response.
  std::function<void(const std::string& request_id, const routing::ServerStatement& statement)>
      on_statement;
  /// Called when a request with the crashing part arrives.
  std::function<void(const std::string& request_id)> on_crashing_arrival;
  /// Called when the server begins to write a response to such a request; it has to crash.
  std::function<void()> on_crashing_run;
};

/// Fake backend server that implements the platform's protocol. The shape of each response follows
/// from PlanResponse. It can crash, which aborts its requests, and restart with a new id. Not
/// thread-safe: use it on the thread of the event loop.
class FakeBackend {
 public:
  FakeBackend(http::EventLoop& loop, BackendOptions options);
  ~FakeBackend();
  FakeBackend(const FakeBackend&) = delete;
  FakeBackend& operator=(const FakeBackend&) = delete;

  /// Starts listening under a new id.
  /// \returns an empty string, or an error that describes why the address cannot be used.
  std::string Start(const std::string& id);
  /// Closes the listener and all connections; connections with an unframed response are reset.
  /// \param inside_event  streams break off inside an event and their connections are closed in
  ///   order, also those of unframed streams
  void Crash(bool inside_event = false);
  /// While quiet, each stream falls silent once and then goes on.
  void SetQuiet(bool quiet) noexcept { quiet_ = quiet; }
  /// Sets what the server states about itself in all responses; `back_off` only in rejections, of
  /// which it then sends one for every third request. Ends with the lifetime.
  void SetStatement(const routing::ServerStatement& statement) { statement_ = statement; }
  [[nodiscard]] bool states_something() const noexcept {
    return statement_.leaving || statement_.requests_per_second || statement_.back_off;
  }
  /// Streams whose prompt contains this part, other than as the last one, crash the server; empty
  /// for none.
  void SetCrashingPart(std::string part) { crashing_part_ = std::move(part); }
  [[nodiscard]] bool running() const noexcept { return server_ != nullptr; }
  [[nodiscard]] const std::string& id() const noexcept { return id_; }
  [[nodiscard]] const BackendOptions& options() const noexcept { return options_; }

 private:
  class Run;

  void Handle(const std::shared_ptr<http::IncomingRequest>& request);
  [[nodiscard]] bool HasCrashingPart(const http::RequestHead& head) const;
  void Reject(http::IncomingRequest& request, std::uint16_t status);
  /// Adds what the server states about itself to the head of a response.
  void AddStatement(const std::string& request_id, http::ResponseHead& head);

  http::EventLoop& loop_;
  BackendOptions options_;
  std::string id_;
  std::unique_ptr<http::IncomingServer> server_;
  /// Server of the last lifetime until it has written what its streams break off with.
  std::unique_ptr<http::IncomingServer> crashed_server_;
  http::Timer crash_timer_;
  std::uint32_t running_requests_ = 0;
  bool quiet_ = false;
  routing::ServerStatement statement_;
  std::uint64_t arrivals_ = 0;
  std::string crashing_part_;
  std::vector<std::weak_ptr<Run>> runs_;
  /// Shared with the requests of the current lifetime; set to false when it ends.
  std::shared_ptr<bool> lifetime_;
};

}  // namespace briarwood::soak
