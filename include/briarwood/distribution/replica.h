#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <shared_mutex>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "briarwood/common/ids.h"
#include "briarwood/common/time.h"
#include "briarwood/distribution/row_filter.h"
#include "briarwood/distribution/row_table.h"
#include "fleet.pb.h"

namespace briarwood::distribution {

/// Thread-safe copy of the control tables at an entry or agent. Its index, freshness and fencing
/// token never decrease.
class Replica {
 public:
  /// Called after a response changed rows, on the thread that applied it and without the lock of
  /// the table.
  using Callback = std::function<void(const std::vector<RowTable::RowKey>& changed)>;

  /// Unsubscribes on destruction; must not outlive the replica.
  class Subscription {
   public:
    Subscription() = default;
    Subscription(Replica* replica, std::uint64_t id) : replica_(replica), id_(id) {}
    Subscription(Subscription&& other) noexcept;
    Subscription& operator=(Subscription&& other) noexcept;
    Subscription(const Subscription&) = delete;
    Subscription& operator=(const Subscription&) = delete;
    ~Subscription();

   private:
    void Reset() noexcept;

    Replica* replica_ = nullptr;
    std::uint64_t id_ = 0;
  };

  explicit Replica(RowFilter filter = {}) : filter_(std::move(filter)) {}

  /// Applies a parent's response to a request that this process sent at `sent_at`. Freshness is
  /// `sent_at` minus the reported age, so clocks of different processes are never compared.
  /// \returns false, and changes nothing, when the response is older than the replica.
  bool Apply(const schema::SyncResponse& response, common::Time sent_at);

  [[nodiscard]] common::LogIndex index() const;
  /// \returns a time up to which the replica holds everything that was committed; nothing before
  /// the first confirmed response.
  [[nodiscard]] std::optional<common::Time> freshness() const;
  /// \returns the highest fencing token that a majority confirmed; 0 before the first confirmed
  /// response.
  [[nodiscard]] common::Term fence() const;
  /// \returns the versions of the documents at index(), by name; empty before a parent states them.
  [[nodiscard]] std::map<std::string, std::uint64_t> document_versions() const;
  [[nodiscard]] const RowFilter& filter() const noexcept { return filter_; }

  /// \returns the rows that a child of this process lacks. Throws ParentBehind when `index` is
  /// above index().
  [[nodiscard]] Delta DeltaSince(common::LogIndex index, const RowFilter& filter) const;

  /// \param sha256_hex  lower-case hex SHA-256 of the caller's key
  [[nodiscard]] std::optional<schema::KeyRow> FindKey(std::string_view sha256_hex) const;
  [[nodiscard]] std::optional<schema::Customer> FindCustomer(const std::string& id) const;
  [[nodiscard]] std::vector<schema::FailureDomain> FailureDomains() const;
  [[nodiscard]] std::vector<schema::Customer> Customers() const;
  [[nodiscard]] std::vector<schema::RequestClass> Classes() const;
  [[nodiscard]] std::vector<schema::Model> Models() const;
  [[nodiscard]] std::vector<schema::Route> Routes() const;
  [[nodiscard]] std::vector<schema::BackendServer> BackendServers() const;
  [[nodiscard]] std::vector<schema::Vm> Vms() const;
  [[nodiscard]] std::vector<schema::ForwardRoute> ForwardRoutes() const;
  [[nodiscard]] std::vector<schema::Service> Services() const;
  /// \returns the limits, or nothing when the configuration has none.
  [[nodiscard]] std::optional<schema::CallerLimits> CallerLimits() const;
  /// \returns the ids of the backend servers that operators drain.
  [[nodiscard]] std::vector<common::BackendServerId> Draining() const;
  /// \returns the failure domains that operators drain.
  [[nodiscard]] std::set<common::FailureDomainId> DrainingDomains() const;
  /// \returns the suspects by fingerprint in hex, high half first.
  [[nodiscard]] std::map<std::string, schema::SuspectRow> Suspects() const;
  [[nodiscard]] std::vector<schema::CrashEvidence> CrashEvidence() const;
  [[nodiscard]] std::vector<common::Incarnation> DeadIncarnations() const;

  [[nodiscard]] Subscription Subscribe(Callback callback);

 private:
  template <typename Message>
  std::vector<Message> ReadAll(schema::RowKind kind) const;
  void Unsubscribe(std::uint64_t id) noexcept;
  void UpdateKeys(const std::vector<RowTable::RowKey>& changed);
  void NotifySubscribers(const std::vector<RowTable::RowKey>& changed);

  RowFilter filter_;
  mutable std::shared_mutex mutex_;
  RowTable table_;
  std::unordered_map<std::string, schema::KeyRow> keys_;
  std::optional<common::Time> freshness_;
  common::Term fence_;
  std::map<std::string, std::uint64_t> document_versions_;

  // Held while callbacks run, so that unsubscribing waits for a running callback. Recursive, so
  // that a callback may subscribe and unsubscribe.
  std::recursive_mutex callback_mutex_;
  std::map<std::uint64_t, std::shared_ptr<Callback>> callbacks_;
  std::uint64_t next_callback_id_ = 1;
};

}  // namespace briarwood::distribution
