#pragma once

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
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
  /// Timeout of one call. With 7 control members, a round of calls of 600 ms each ends before the
  /// freshness limit of 5 s.
  std::chrono::milliseconds timeout{600};
  /// A response whose confirmation is older makes the client switch to the next parent, because a
  /// control member that is isolated by a partition still responds.
  std::chrono::milliseconds max_confirmation_age{1500};
};

/// Result of one search for a parent with a current table.
struct SyncRound {
  /// Parent that gave the table; empty if none had a current one.
  std::string parent;
  std::size_t calls = 0;
  common::Duration duration{};
};

struct SyncClientCallbacks {
  /// Sets identity, readiness, heartbeats and demand of a request; the client sets index and
  /// filter.
  std::function<void(schema::SyncRequest& request)> fill;
  /// Optional: called after a response was applied.
  std::function<void(const schema::SyncResponse& response, common::Time sent_at)> on_response;
  /// Optional: called with the error message after a failed call.
  std::function<void(const std::string& parent, const std::string& problem)> on_failure;
  /// Optional: called after each round.
  std::function<void(const SyncRound& round)> on_round;
};

/// Child side of the relay tree: a thread that calls "Sync" on one of several parents once per
/// period, and immediately after a "Notify".
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
  /// Stops the thread after the call in progress has ended.
  void Stop();

  /// Syncs as soon as the call in progress has ended.
  void SyncNow();

  /// Replaces the possible parents, for example with the entries that a parent listed. The next
  /// call goes to the first of them if the list differs from the previous one.
  void SetParents(std::vector<std::string> parents);

  /// \returns the address of the parent that is called next; empty without parents.
  [[nodiscard]] std::string parent() const;

 private:
  void Run();
  /// Calls the parents in turn, each at most once, until one response is fresh.
  [[nodiscard]] SyncRound RunRound();
  /// \returns true when the response was applied and its confirmation is fresh.
  bool SyncWith(rpc::Client& parent);
  std::shared_ptr<rpc::Client> CurrentParent();
  void SwitchToNextParent(const std::string& from);

  SyncClientOptions options_;
  Replica& replica_;
  SyncClientCallbacks callbacks_;
  mutable std::mutex mutex_;
  std::condition_variable changed_;
  std::size_t parent_index_ = 0;
  std::shared_ptr<rpc::Client> client_;
  bool sync_requested_ = true;
  bool stopping_ = false;
  std::thread thread_;
};

}  // namespace briarwood::distribution
