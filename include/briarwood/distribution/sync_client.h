#pragma once

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "briarwood/common/time.h"
#include "briarwood/distribution/replica.h"
#include "briarwood/rpc/client.h"
#include "briarwood/rpc/server.h"
#include "fleet.pb.h"

namespace briarwood::distribution {

struct SyncClientOptions {
  /// RPC addresses of possible parents, in order of preference.
  std::vector<std::string> parents;
  std::string credential;
  std::string ca_file;
  std::chrono::milliseconds period{500};
  /// Period until the first confirmed response. It is shorter, because a process that has just
  /// started serves no requests before.
  std::chrono::milliseconds startup_period{40};
  /// Timeout of one call.
  std::chrono::milliseconds timeout{600};
  /// A parent that has not answered within this time counts as silent: the next one is called
  /// beside it.
  std::chrono::milliseconds hedge_delay{150};
  /// A parent that was silent, unreachable or not current is called after the others for this time.
  std::chrono::milliseconds avoid_period{5000};
  /// A response whose confirmation is older makes the client switch to the next parent, because a
  /// control member that is isolated by a partition still responds. With one period, this bounds
  /// the age of a table while another parent is current.
  std::chrono::milliseconds max_confirmation_age{1000};
};

/// Result of one search for a parent with a current table.
struct SyncRound {
  /// Parent that gave the table; empty if none had a current one.
  std::string parent;
  std::size_t calls = 0;
  common::Duration duration{};
};

/// Functions that the client calls, one at a time, on threads of its own.
struct SyncClientCallbacks {
  /// Sets identity, readiness, heartbeats and demand of a request; the client sets index and
  /// filter.
  std::function<void(schema::SyncRequest& request)> fill;
  /// Optional: called after a response was applied.
  /// \param parent  address of the parent that responded
  std::function<void(const schema::SyncResponse& response, common::Time sent_at,
                     const std::string& parent)>
      on_response;
  /// Optional: called with the error message after a failed call.
  std::function<void(const std::string& parent, const std::string& problem)> on_failure;
  /// Optional: called after each round.
  std::function<void(const SyncRound& round)> on_round;
};

/// Child side of the relay tree: calls "Sync" on one of several parents once per period, and
/// immediately after a "Notify".
///
/// A round ends with the first current response. A silent parent holds it up for the hedge delay
/// only, and a notification during a round calls the parents again that have already responded to
/// it.
class SyncClient {
 public:
  /// \param replica  must outlive the client
  SyncClient(SyncClientOptions options, Replica& replica, SyncClientCallbacks callbacks);
  ~SyncClient();
  SyncClient(const SyncClient&) = delete;
  SyncClient& operator=(const SyncClient&) = delete;

  /// Registers the handler of "Notify"; call before the RPC server starts. The RPC server must stop
  /// before this object is destroyed.
  void Register(rpc::Server& server);

  void Start();
  /// Stops the threads after the calls in progress have ended.
  void Stop();

  /// Syncs immediately, or again after the round in progress.
  void SyncNow();

  /// Replaces the possible parents, for example with the entries that a parent listed, in order of
  /// preference. What is known of those that stay is kept.
  void SetParents(std::vector<std::string> parents);

  /// \returns the address of the parent that is called first; empty without parents.
  [[nodiscard]] std::string parent() const;

 private:
  /// What the last response of a parent, or its absence, has shown.
  enum class Health : std::uint8_t { kCurrent, kNotCurrent, kSilent };

  struct Parent {
    std::shared_ptr<rpc::Client> client;
    Health health = Health::kCurrent;
    /// Until then, parents with a better health are called first.
    common::Time avoid_until;
    common::Time called_at;
    bool in_call = false;
  };

  void Run();
  [[nodiscard]] SyncRound RunRound(std::unique_lock<std::mutex>& lock);
  /// \returns the health that decides when the parent is called.
  [[nodiscard]] Health HealthOf(const std::string& address, common::Time now) const;
  /// \param called  parents that were called in this round
  /// \returns the parent to call next, or an empty string if none is left or may be called.
  [[nodiscard]] std::string NextParent(const std::set<std::string>& called, common::Time now) const;
  [[nodiscard]] std::size_t CountSilentCalls(common::Time now) const;
  [[nodiscard]] std::size_t CountCalls() const;
  void StartCall(const std::string& address, common::Time now);
  void RunCalls();
  /// \returns what the call has shown of the parent.
  [[nodiscard]] Health Call(rpc::Client& parent);
  void OnCallEnded(const std::string& address, Health health);
  /// Closes the connections to all parents but the one that has just responded.
  void CloseOtherConnections(const std::string& address);

  SyncClientOptions options_;
  Replica& replica_;
  SyncClientCallbacks callbacks_;
  /// Held while a callback runs or a response is applied.
  std::mutex callback_mutex_;
  mutable std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, Parent> parents_;
  /// Set by a notification until the next round, or the next step of a round, begins.
  bool notified_ = false;
  /// Parent that gave a current table in this round.
  std::string current_parent_;
  /// Number of calls that have ended.
  std::uint64_t ended_calls_ = 0;
  bool sync_requested_ = true;
  bool stopping_ = false;
  std::thread thread_;
  /// Parents that wait for a thread that calls them.
  std::deque<std::string> call_queue_;
  std::size_t idle_call_threads_ = 0;
  std::vector<std::thread> call_threads_;
};

}  // namespace briarwood::distribution
