#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
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

/// Thread-safe copy of the control tables at an entry or agent. Its index, freshness and fence
/// never fall.
class Replica {
 public:
  /// Called after a response changed rows, on the thread that applied it and without locks held.
  using Callback = std::function<void(const std::vector<RowTable::RowKey>& changed)>;

  /// Ends the subscription on destruction; must not outlive the replica.
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

  /// Applies the answer of a parent to a request that this process sent at `sent_at`. Freshness
  /// is `sent_at` minus the reported age, so it needs no comparison of clocks.
  /// \returns false, and changes nothing, when the answer is older than the replica.
  bool Apply(const schema::SyncResponse& response, common::Time sent_at);

  [[nodiscard]] common::LogIndex index() const;
  /// Everything that was committed at this time is in the replica; nothing before the first
  /// confirmed answer.
  [[nodiscard]] std::optional<common::Time> freshness() const;
  /// Highest fence that a majority confirmed; 0 before the first confirmed answer.
  [[nodiscard]] common::Term fence() const;
  [[nodiscard]] const RowFilter& filter() const noexcept { return filter_; }

  /// Rows for a child of this process; throws ParentBehind.
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
  /// \returns nothing while the configuration has none.
  [[nodiscard]] std::optional<schema::CallerLimits> CallerLimits() const;
  /// Ids of backend servers that operators drain.
  [[nodiscard]] std::vector<common::BackendServerId> Draining() const;
  /// Suspects by fingerprint in hex (high, then low).
  [[nodiscard]] std::map<std::string, schema::SuspectRow> Suspects() const;
  [[nodiscard]] std::vector<common::Incarnation> DeadIncarnations() const;

  [[nodiscard]] Subscription Subscribe(Callback callback);

 private:
  template <typename Message>
  std::vector<Message> ReadAll(schema::RowKind kind) const;
  void Unsubscribe(std::uint64_t id) noexcept;
  void UpdateKeys(const std::vector<RowTable::RowKey>& changed);
  void Announce(const std::vector<RowTable::RowKey>& changed);

  RowFilter filter_;
  mutable std::shared_mutex mutex_;
  RowTable table_;
  std::unordered_map<std::string, schema::KeyRow> keys_;
  std::optional<common::Time> freshness_;
  common::Term fence_;

  // Held while callbacks run, so that a subscription's end waits for its callback.
  std::recursive_mutex callback_mutex_;
  std::map<std::uint64_t, std::shared_ptr<Callback>> callbacks_;
  std::uint64_t next_callback_id_ = 1;
};

}  // namespace briarwood::distribution
