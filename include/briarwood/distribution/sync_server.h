#pragma once

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "briarwood/common/ids.h"
#include "briarwood/common/time.h"
#include "briarwood/distribution/replica.h"
#include "briarwood/distribution/row_table.h"
#include "briarwood/rpc/client.h"
#include "briarwood/rpc/server.h"
#include "fleet.pb.h"

namespace briarwood::distribution {

/// Confirmation by the leader that the table at `index` held everything that was committed at
/// `confirmed_at` on the clock of this process.
struct Confirmation {
  std::optional<common::Time> confirmed_at;
  common::Term fence;
  common::LogIndex index;
};

/// Table that a parent serves. The functions are called concurrently on several threads.
struct SyncSource {
  /// \returns the rows that changed after `since`. Throws ParentBehind when the table is older.
  std::function<Delta(common::LogIndex since, const RowFilter& filter)> delta;
  std::function<Confirmation()> confirmation;
  /// Optional: receives heartbeats, demand and loads of a child.
  std::function<void(const schema::SyncRequest& request)> on_request;
  /// Optional: adds loads, limit shares and entries to the response.
  std::function<void(const schema::SyncRequest& request, schema::SyncResponse& response)> complete;
};

/// \returns a source that serves a replica, for entries. The replica must outlive it.
[[nodiscard]] SyncSource SourceOf(const Replica& replica);

struct SyncServerOptions {
  std::string credential;
  std::string ca_file;
  /// Number of threads that notify children.
  unsigned threads = 4;
  std::chrono::milliseconds notify_timeout{500};
  /// A child that has not synced for this long is not notified any more.
  std::chrono::milliseconds child_timeout{5000};
};

/// Parent side of the relay tree.
class SyncServer {
 public:
  SyncServer(SyncServerOptions options, SyncSource source);
  ~SyncServer();
  SyncServer(const SyncServer&) = delete;
  SyncServer& operator=(const SyncServer&) = delete;

  /// Registers the handler of "Sync"; call before the RPC server starts. The RPC server must stop
  /// before this object is destroyed.
  void Register(rpc::Server& server);

  /// Notifies every child with a lower index that the table has changed. Returns immediately;
  /// changes that follow each other faster than a child is notified share one notification.
  void Notify(common::LogIndex index);

  /// Handles one request. Throws ParentBehind when the child's index is above that of the table.
  /// \param now  time on the clock of this process
  [[nodiscard]] schema::SyncResponse MakeResponse(const schema::SyncRequest& request,
                                                  common::Time now);

  [[nodiscard]] std::size_t children() const;

 private:
  struct Child {
    std::uint64_t incarnation = 0;
    common::Time last_seen;
    common::LogIndex index;
    bool notifying = false;
    bool unreachable = false;
    std::shared_ptr<rpc::Client> client;
  };

  void RecordChild(const schema::SyncRequest& request, common::Time now);
  void SetChildIndex(const std::string& address, common::LogIndex index);
  void RunNotifier();
  std::map<std::string, Child>::iterator NextChildToNotify(common::Time now);
  bool SendNotification(rpc::Client& client, common::LogIndex index) const;

  SyncServerOptions options_;
  SyncSource source_;
  mutable std::mutex mutex_;
  std::condition_variable changed_;
  // By RPC address.
  std::map<std::string, Child> children_;
  common::LogIndex notified_index_;
  bool stopping_ = false;
  std::vector<std::thread> threads_;
};

}  // namespace briarwood::distribution
