#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "briarwood/common/ids.h"
#include "briarwood/common/random.h"
#include "briarwood/common/time.h"
#include "briarwood/routing/circuit_breaker.h"
#include "briarwood/routing/peer_comparison.h"
#include "briarwood/routing/request.h"
#include "briarwood/routing/running_set.h"

namespace briarwood::routing {

/// Backend server as the configuration describes it.
struct BackendDescription {
  common::BackendServerId id;
  common::FailureDomainId failure_domain;
  /// Model of an engine; empty for a plain service.
  common::ModelId model;
  std::vector<std::string> adapters;
  std::string model_version;
  /// Name of a plain service; empty for an engine.
  std::string service;
  /// False for an engine whose role does not take whole requests.
  bool takes_requests = true;
  std::uint32_t max_concurrency = 1;
};

/// Load of a backend server as its agent counted it at `taken_at` on this entry's clock.
struct LoadSample {
  common::BackendServerId id;
  common::Time taken_at;
  std::uint32_t running = 0;
  /// Requests among `running` that wait for their first token.
  std::uint32_t waiting = 0;
  /// Requests of this entry among `running`, when the agent says so; otherwise the entry's own
  /// count stands in, which also counts requests that have not reached the agent.
  std::optional<std::uint32_t> running_here;
  std::uint32_t capacity = 0;
  TierCounts preemptible{};
  bool leaving = false;
  bool healthy = true;
};

/// Parts of the policy that a comparison can switch off.
struct PlacementFeatures {
  bool load_reports = true;
  bool discount_by_age = true;
  bool near_domain = true;
  bool prefix_affinity = true;
  bool slow_detection = true;
  bool preemption = true;
  bool headroom = true;
  bool breakers = true;
  bool slow_claims = true;
};

struct PlacementOptions {
  common::FailureDomainId near_domain;
  /// Entries of one fleet use different seeds so that their routing subsets differ.
  std::uint64_t seed = 1;
  /// Backend servers that an entry uses of each model or service.
  std::size_t subset_size = 240;
  /// Servers sampled per pick.
  std::size_t choices = 2;
  /// A sample fades to the mean over the servers of its model or service with the first half-life,
  /// and the mean to zero with the second.
  common::Duration half_life = std::chrono::seconds(1);
  common::Duration mean_half_life = std::chrono::seconds(10);
  /// The server that the prefix hash chooses is used below this multiple of the mean load.
  double bounded_load = 1.25;
  /// Load of a request that waits for its first token at a server, besides its count.
  double waiting_work = 0;
  /// Share of each server's capacity that only the top tier fills.
  double headroom = 0.125;
  CircuitBreakerOptions breaker;
  /// Uses servers whose breaker is open when no other server of the pool is left; a refusal would
  /// be worse than another failure.
  bool ignore_breakers_if_all_open = false;
  PlacementFeatures features;
};

struct PlacementRequest {
  Capability capability;
  common::Tier tier;
  std::uint64_t prefix_hash = 0;
  /// Load that the request adds, see QueuedRequest::work.
  double work = 1;
  /// Runs only on an empty server; such requests all go to the same server while it is usable.
  bool alone = false;
  /// A server may be chosen that must preempt a lower tier to take the request.
  bool may_preempt = true;
  /// The class is owed its floor: the request may use the headroom of the top tier.
  bool floor_owed = false;
  /// Server that the request must avoid, for example the one that failed it.
  common::BackendServerId avoid;
};

struct PlacementChoice {
  common::BackendServerId id;
  /// The server is expected to be full and to preempt a lower tier.
  bool expects_preemption = false;
};

/// Chooses the backend server of each request for one entry.
///
/// Load is the entry's own in-flight count plus what others had in flight at the last sample,
/// discounted by its age. The cost of a pick does not depend on the number of servers. Call
/// Refresh every 100 ms or so, so that discounts take effect. Not thread-safe.
class Placement {
 public:
  explicit Placement(PlacementOptions options);

  /// Replaces the list of backend servers. Counts and samples of those that remain are kept.
  void SetBackends(const std::vector<BackendDescription>& backends);
  /// A draining server gets no new work.
  void SetDraining(const common::BackendServerId& id, bool draining);
  /// A server whose agent is not heard gets no new work.
  void SetAlive(const common::BackendServerId& id, bool alive);
  /// Applies a load sample; one that is older than the last is ignored.
  void Report(const LoadSample& sample, common::Time now);
  void ObserveTokenGap(const common::BackendServerId& id, common::Duration gap, common::Time now);
  /// Renews discounts and speeds; calls within 50 ms of the last one do nothing.
  void Refresh(common::Time now);

  /// \returns a server with room, or for a tier above the lowest one that can preempt, or nothing.
  [[nodiscard]] std::optional<PlacementChoice> Pick(const PlacementRequest& request,
                                                    common::Time now);

  /// Counts a request as in flight on `id`; each OnSent needs one OnEnded.
  /// \param work  load that the request adds until OnWorkDone or OnEnded takes it back
  void OnSent(const common::BackendServerId& id, common::Tier tier, bool alone, common::Time now,
              double work = 1);
  /// The request goes on with less load, for example after its prompt was read.
  void OnWorkDone(const common::BackendServerId& id, double work);
  void OnEnded(const common::BackendServerId& id, common::Tier tier, bool alone, double work = 1);
  /// Outcomes for the circuit breaker of the server.
  void OnSuccess(const common::BackendServerId& id);
  void OnFailure(const common::BackendServerId& id, common::Time now);
  /// The request ended without telling whether the server works, for example because its caller
  /// left.
  void OnNoVerdict(const common::BackendServerId& id);
  /// The agent answered full: what the entry believed is out of date.
  void OnFull(const common::BackendServerId& id, bool alone, common::Time now);

  [[nodiscard]] std::uint32_t InFlight(const common::BackendServerId& id) const;
  [[nodiscard]] bool IsSlow(const common::BackendServerId& id, common::Time now);
  /// Number of servers that this entry uses for `capability`.
  [[nodiscard]] std::size_t SubsetSize(const Capability& capability);

 private:
  struct Server {
    BackendDescription description;
    std::uint64_t hash = 0;
    /// Position of its model and service in `groups_`.
    std::size_t group = 0;
    std::uint32_t capacity = 1;
    std::uint32_t own = 0;
    std::uint32_t own_alone = 0;
    /// Sum of the work of the own requests.
    double own_work = 0;
    /// Requests that waited for their first token at the last sample.
    double waiting = 0;
    double waiting_now = 0;
    TierCounts own_by_tier{};
    /// Requests of other entries at the last sample.
    double others = 0;
    TierCounts preemptible{};
    std::optional<common::Time> sampled_at;
    /// The agent answered full; no room is expected before this time.
    common::Time full_until;
    /// A request that runs alone was refused; the next one waits until then.
    common::Time trial_pause_until;
    double speed = 1;
    bool draining = false;
    bool alive = true;
    bool leaving = false;
    bool healthy = true;
    /// Discounted value of `others`, renewed by Refresh and Report.
    double others_now = 0;
    /// As `others_now`, but falls slowly: room that other entries free is left to them at first.
    double others_claimed = 0;
    common::Time claimed_at;
    CircuitBreaker breaker;
  };

  /// Servers that a prefix is kept on when its first choice has no room.
  static constexpr std::size_t kPrefixRanks = 3;

  /// Servers that can run requests of one capability.
  struct Pool {
    std::vector<std::uint32_t> members;
    std::vector<std::uint32_t> near;
    /// Members that each slot of the prefix hash prefers, best first.
    std::vector<std::array<std::uint32_t, kPrefixRanks>> slots;
    double total_load = 0;
  };

  /// Servers of one model or service.
  struct Group {
    std::string name;
    /// Mean of `others` over the servers; old samples fade to it.
    double mean_others = 0;
  };

  enum class Fit : std::uint8_t { kNone, kRoom, kPreempt };

  [[nodiscard]] Pool& PoolOf(const Capability& capability);
  [[nodiscard]] Pool BuildPool(const Capability& capability) const;
  [[nodiscard]] std::vector<std::uint32_t> ChooseSubset(std::vector<std::uint32_t> members) const;
  void FillSlots(Pool& pool) const;
  void RefreshMeans(common::Time now);
  void RefreshLoads(Pool& pool);
  [[nodiscard]] double Load(const Server& server) const noexcept;
  static void UpdateClaim(Server& server, common::Time now);
  [[nodiscard]] double OthersAt(const Server& server, common::Time now) const;
  [[nodiscard]] std::size_t GroupOf(const BackendDescription& description);
  [[nodiscard]] bool IsUsable(const Server& server, const PlacementRequest& request,
                              common::Time now) const;
  /// True when every usable server of the pool has an open breaker.
  [[nodiscard]] bool AllBreakersOpen(const Pool& pool, common::Time now) const;
  [[nodiscard]] std::optional<PlacementChoice> PickFrom(Pool& pool, const PlacementRequest& request,
                                                        common::Time now);
  [[nodiscard]] Fit FitOf(const Server& server, const PlacementRequest& request,
                          common::Time now) const;
  [[nodiscard]] std::optional<PlacementChoice> PickForTrial(const Pool& pool,
                                                            const PlacementRequest& request,
                                                            common::Time now) const;
  [[nodiscard]] std::optional<std::uint32_t> PickByPrefix(const Pool& pool,
                                                          const PlacementRequest& request,
                                                          common::Time now) const;
  [[nodiscard]] std::optional<std::uint32_t> PickBySample(const std::vector<std::uint32_t>& from,
                                                          const PlacementRequest& request, Fit fit,
                                                          common::Time now);
  [[nodiscard]] PeerComparison& PeersOf(const Server& server);
  [[nodiscard]] Server* Find(const common::BackendServerId& id);

  PlacementOptions options_;
  common::Random random_;
  std::vector<Server> servers_;
  std::unordered_map<common::BackendServerId, std::uint32_t> index_;
  std::map<Capability, Pool> pools_;
  std::unordered_map<std::string, PeerComparison> peers_;
  std::optional<common::Time> refreshed_at_;
  /// Set during a pick from a pool whose breakers are all open.
  bool ignoring_breakers_ = false;
  std::vector<Group> groups_;
};

}  // namespace briarwood::routing
