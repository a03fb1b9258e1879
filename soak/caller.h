#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "briarwood/common/random.h"
#include "briarwood/http/event_loop.h"
#include "briarwood/http/outgoing.h"
#include "soak/invariant_checkers.h"

namespace briarwood::soak {

/// Result of one call, for the statistics of a soak run.
struct CallOutcome {
  std::string id;
  CallKind kind = CallKind::kOnce;
  common::Time sent_at;
  common::Time ended_at;
  /// HTTP status; 0 if there was no response.
  std::uint16_t status = 0;
  bool complete = false;
  /// The caller closed the connection before the response was complete.
  bool disconnected = false;
};

struct CallerOptions {
  /// Prefix of the request ids of this caller.
  std::string name;
  std::uint64_t seed = 1;
  std::string customer;
  std::string key;
  /// Addresses of the entries.
  std::vector<std::string> entries;
  std::function<void(const CallOutcome& outcome)> on_outcome;
};

/// Sends calls sequentially and reuses its connection while it is usable. Not thread-safe: use it
/// on the thread of the event loop.
class Caller : public std::enable_shared_from_this<Caller> {
 public:
  Caller(http::EventLoop& loop, CallerOptions options, RequestChecker& checker);

  void Start();
  /// Stops after the call in progress.
  void Stop() noexcept { stopped_ = true; }

 private:
  void ScheduleNext();
  void Send();
  [[nodiscard]] http::RequestHead MakeHead(const std::string& path) const;
  void OnEnd(http::CallEnd end);
  void Abandon(bool early);
  void Finish();

  http::EventLoop& loop_;
  CallerOptions options_;
  RequestChecker& checker_;
  common::Random random_;
  http::Timer timer_;
  std::shared_ptr<http::OutgoingConnection> connection_;
  std::uint64_t number_ = 0;
  CallOutcome outcome_;
  ReceivedResponse response_;
  bool in_call_ = false;
  bool stopped_ = false;
};

}  // namespace briarwood::soak
