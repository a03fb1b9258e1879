#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "briarwood/common/random.h"
#include "briarwood/http/event_loop.h"
#include "briarwood/http/outgoing.h"
#include "soak/promises.h"

namespace briarwood::soak {

/// End of one call, for the figures of a run.
struct CallOutcome {
  std::string id;
  CallKind kind = CallKind::kOnce;
  common::Time sent_at;
  common::Time ended_at;
  /// 0 when there was no response.
  std::uint16_t status = 0;
  bool complete = false;
  /// The caller left before the end.
  bool left = false;
};

struct CallerOptions {
  /// Part of the ids of its calls.
  std::string name;
  std::uint64_t seed = 1;
  std::string customer;
  std::string key;
  /// Addresses of the entries.
  std::vector<std::string> entries;
  std::function<void(const CallOutcome& outcome)> on_outcome;
};

/// Sends one call after the other, and keeps its connection as long as it works. Belongs to the
/// thread of the event loop.
class Caller : public std::enable_shared_from_this<Caller> {
 public:
  Caller(http::EventLoop& loop, CallerOptions options, RequestPromises& promises);

  void Start();
  /// Sends no further call.
  void Stop() noexcept { stopped_ = true; }

 private:
  void WaitAndSend();
  void Send();
  [[nodiscard]] http::RequestHead MakeHead(const std::string& path) const;
  void OnEnd(http::CallEnd end);
  void GiveUp(bool early);
  void Finish();

  http::EventLoop& loop_;
  CallerOptions options_;
  RequestPromises& promises_;
  common::Random random_;
  http::Timer timer_;
  std::shared_ptr<http::OutgoingConnection> connection_;
  std::uint64_t number_ = 0;
  CallOutcome outcome_;
  ReceivedAnswer answer_;
  bool in_call_ = false;
  bool stopped_ = false;
};

}  // namespace briarwood::soak
