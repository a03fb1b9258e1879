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
  /// Period until the first confirmed answer: a process that has just started serves nothing
  /// before.
  std::chrono::milliseconds first_period{40};
  /// Bound of one call. With 7 control members a round of 600 ms calls ends before the freshness
  /// bound of 5 s.
  std::chrono::milliseconds timeout{600};
  /// An answer whose confirmation is older makes the client move to the next parent, because a
  /// control member that a partition isolates still answers.
  std::chrono::milliseconds stale_parent{1500};
};

struct SyncClientCallbacks {
  /// Fills identity, readiness, heartbeats and demand of a request; the client adds index and
  /// filter.
  std::function<void(schema::SyncRequest& request)> fill;
  /// Optional: called after an answer was applied.
  std::function<void(const schema::SyncResponse& response, common::Time sent_at)> on_response;
  /// Optional: called with a short sentence after a failed call.
  std::function<void(const std::string& parent, const std::string& problem)> on_failure;
};

/// Child side of the relay tree: a thread that calls "Sync" on one of several parents every
/// period, and at once after a "Notify".
class SyncClient {
 public:
  /// \param replica  must outlive the client
  SyncClient(SyncClientOptions options, Replica& replica, SyncClientCallbacks callbacks);
  ~SyncClient();
  SyncClient(const SyncClient&) = delete;
  SyncClient& operator=(const SyncClient&) = delete;

  /// Registers "Notify"; call before the RPC server starts. The RPC server must stop before this
  /// object is destroyed.
  void Register(rpc::Server& server);

  void Start();
  /// Waits for the call in progress.
  void Stop();

  /// Syncs as soon as the call in progress has ended.
  void SyncNow();

  /// Replaces the possible parents, for example by the entries that a parent named.
  void SetParents(std::vector<std::string> parents);

  /// \returns the parent that the next call goes to; empty without parents.
  [[nodiscard]] std::string parent() const;

 private:
  void Run();
  /// Tries every parent at most once; \returns false when all failed.
  bool SyncRound();
  bool SyncWith(rpc::Client& parent);
  std::shared_ptr<rpc::Client> CurrentParent();
  void MoveToNextParent(const std::string& from);

  SyncClientOptions options_;
  Replica& replica_;
  SyncClientCallbacks callbacks_;
  mutable std::mutex mutex_;
  std::condition_variable changed_;
  std::size_t parent_index_ = 0;
  std::shared_ptr<rpc::Client> client_;
  bool wanted_ = true;
  bool stopping_ = false;
  std::thread thread_;
};

}  // namespace briarwood::distribution
