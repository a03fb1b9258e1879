#pragma once

#include <deque>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

#include "briarwood/common/ids.h"
#include "briarwood/common/time.h"
#include "briarwood/routing/customer_limits.h"

namespace briarwood::routing {

/// Demand of a customer at one entry, as last reported.
struct EntryDemand {
  /// Requests per second.
  double requests = 0;
  /// Tokens per second.
  double tokens = 0;
  /// Requests in progress at the time of the report.
  double concurrent = 0;
};

/// Share of a customer's limits for one entry.
struct LimitGrant {
  common::CustomerId customer;
  Limits share;
  common::Duration lease{};
};

/// Splits the limits of customers over entries in proportion to demand. Runs on the control leader.
///
/// An entry is granted at most the part of the limit that the unexpired grants of the other entries
/// leave free. If demand moves, the share of one entry therefore shrinks at its next grant, but the
/// shares of the others grow only when the lease of its previous, larger grant has expired. The sum
/// over the entries, with the largest unexpired grant of each, never exceeds the limit. Concurrency
/// shares are integers.
class LimitSplitter {
 public:
  static constexpr common::Duration kLease = std::chrono::seconds(5);

  /// \param leader_since  start of this leadership; the grants of the previous leader are unknown,
  ///   so nothing is granted until they have expired
  explicit LimitSplitter(common::Time leader_since) : grants_allowed_from_(leader_since + kLease) {}

  void SetLimits(const common::CustomerId& customer, const Limits& limits);
  void RemoveCustomer(const common::CustomerId& customer) { customers_.erase(customer); }

  /// Sets the entries that share the limits. Grants of removed entries count until their lease
  /// expires.
  void SetEntries(const std::vector<common::NodeId>& entries);

  void ReportDemand(const common::NodeId& entry, const common::CustomerId& customer,
                    const EntryDemand& demand);

  /// \param customers  customers for which the entry has demand. Shares of the others would only
  ///   consume bandwidth: with 1,300 customers, each entry would receive 1,300 shares twice a
  ///   second.
  /// \returns the shares of one entry, valid for kLease from `now`. A customer is omitted if the
  ///   entry has no unexpired grant and the other entries hold all of a rate limit; the entry then
  ///   uses the limit divided by the number of configured entries, see CustomerLimits.
  [[nodiscard]] std::vector<LimitGrant> Grant(const common::NodeId& entry,
                                              const std::vector<common::CustomerId>& customers,
                                              common::Time now);

 private:
  struct ActiveGrant {
    Limits share;
    common::Time ends_at;
  };
  struct EntryShare {
    EntryDemand demand;
    Limits target;
    /// Unexpired grants, oldest first, and the maximum of each limit among them.
    std::deque<ActiveGrant> active;
    Limits granted;
    /// The entry is in the list of the last SetEntries.
    bool in_entry_list = false;
  };
  struct CustomerState {
    Limits limits;
    std::map<common::NodeId, EntryShare> entries;
    Limits total_granted;
  };

  void RefreshIfDue(common::Time now);
  static void Refresh(CustomerState& state, common::Time now);
  static void SetTargets(CustomerState& state);
  static std::optional<Limits> GrantOne(CustomerState& state, const common::NodeId& entry,
                                        common::Time now);
  static void AddGrant(CustomerState& state, EntryShare& entry, const Limits& share,
                       common::Time ends_at);

  common::Time grants_allowed_from_;
  std::optional<common::Time> refreshed_at_;
  std::vector<common::NodeId> entries_;
  std::map<common::CustomerId, CustomerState> customers_;
};

}  // namespace briarwood::routing
