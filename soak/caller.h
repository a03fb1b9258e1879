#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "briarwood/common/random.h"
#include "briarwood/http/event_loop.h"
#include "briarwood/http/outgoing.h"
#include "soak/call_outcome.h"
#include "soak/invariant_checkers.h"
#include "soak/listener.h"

namespace briarwood::soak {

struct CallerOptions {
  /// Prefix of the request ids of this caller.
  std::string name;
  std::uint64_t seed = 1;
  std::string customer;
  std::string key;
  std::vector<Listener> entries;
  /// Pauses for seconds between calls, so that its connection is idle most of the time.
  bool slow = false;
  /// Part of the prompts of all calls, which are then streams; empty for none.
  std::string extra_part;
  std::function<void(const CallOutcome& outcome)> on_outcome;
};

/// Sends calls sequentially. Reuses its connection until the entry closes it, also while the entry
/// stops. Not thread-safe: use it on the thread of the event loop.
class Caller : public std::enable_shared_from_this<Caller> {
 public:
  Caller(http::EventLoop& loop, CallerOptions options, RequestChecker& checker);

  void Start();
  /// Stops after the call in progress.
  void Stop() noexcept { stopped_ = true; }
  [[nodiscard]] bool in_call() const noexcept { return in_call_; }

 private:
  void ScheduleNext();
  void Send();
  void Connect(common::Time now);
  [[nodiscard]] std::string PromptParts() const;
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
  /// Entry of the connection.
  const Listener* entry_ = nullptr;
  std::uint64_t entry_lifetime_ = 0;
  common::Time connected_at_;
  std::uint64_t number_ = 0;
  CallOutcome outcome_;
  ReceivedResponse response_;
  bool in_call_ = false;
  bool stopped_ = false;
};

}  // namespace briarwood::soak
