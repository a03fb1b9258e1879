#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "briarwood/common/ids.h"
#include "briarwood/common/random.h"
#include "briarwood/common/time.h"
#include "briarwood/routing/circuit_breaker.h"
#include "briarwood/routing/cold_start.h"
#include "briarwood/routing/engine_division.h"
#include "briarwood/routing/engine_memory.h"
#include "briarwood/routing/memory_cost.h"
#include "briarwood/routing/peer_comparison.h"
#include "briarwood/routing/prompt_backlog.h"
#include "briarwood/routing/request.h"
#include "briarwood/routing/request_sizes.h"
#include "briarwood/routing/running_set.h"
#include "briarwood/routing/server_backpressure.h"
#include "briarwood/routing/slowness_mean.h"

namespace briarwood::routing {

/// Configuration of a backend server.
struct BackendDescription {
  common::BackendServerId id;
  common::FailureDomainId failure_domain;
  /// Model of an engine; empty for a plain service.
  common::ModelId model;
  std::vector<std::string> adapters;
  std::string model_version;
  /// Name of a plain service; empty for an engine.
  std::string service;
  /// Version of the software; empty if the server states none.
  std::string software_version;
  /// False for an engine whose role is prefill or decode: it executes only that phase of a request.
  bool takes_requests = true;
  std::uint32_t max_concurrency = 1;
  /// Memory of an engine; 0 if it is unknown, which does not limit the requests.
  std::uint64_t memory_tokens = 0;
  /// Identifies the lifetime of a server that starts again with the same id; empty if unknown.
  std::string lifetime;
};

/// Load of a backend server, counted by its agent at `taken_at` on this entry's clock.
struct LoadSample {
  common::BackendServerId id;
  common::Time taken_at;
  std::uint32_t running = 0;
  /// Requests among `running` that wait for their first token.
  std::uint32_t waiting = 0;
  /// Requests of this entry among `running`, if the agent reports them; otherwise the entry's own
  /// count is used, which includes requests that have not reached the agent.
  std::optional<std::uint32_t> running_here;
  std::uint32_t capacity = 0;
  /// How long work takes at the server, relative to the usual time, if it shares its machine and
  /// reports this. The counts of such a server are used only for its memory: they change many times
  /// between two reports to an entry.
  std::optional<double> slowness;
  TierCounts preemptible{};
  /// The agent admits no new requests, because it drains its server or stops. Unlike
  /// Placement::SetDraining, this is the agent's own report.
  bool leaving = false;
  bool healthy = true;
};

/// Mechanisms of the policy. The policy simulation disables them to measure their effect.
struct PlacementFeatures {
  bool load_reports = true;
  bool discount_by_age = true;
  /// Prefers servers in the failure domain of the entry.
  bool near_domain = true;
  bool prefix_affinity = true;
  bool slow_detection = true;
  bool preemption = true;
  bool headroom = true;
  bool breakers = true;
  /// Uses capacity that other entries have freed only after a delay.
  bool slow_claims = true;
};

struct PlacementOptions {
  /// Failure domain of the entry.
  common::FailureDomainId near_domain;
  /// Must differ between the entries of a fleet, so that their subsets differ.
  std::uint64_t seed = 1;
  /// Backend servers of each model or service that an entry uses.
  std::size_t subset_size = 240;
  /// Servers sampled per pick.
  std::size_t choices = 2;
  /// A sample decays to the mean over the servers of its model or service with `half_life`, and the
  /// mean decays to zero with `mean_half_life`.
  common::Duration half_life = std::chrono::seconds(1);
  common::Duration mean_half_life = std::chrono::seconds(10);
  /// The server selected by the prefix hash is used up to this multiple of the mean load.
  double bounded_load = 1.25;
  /// Work added to a server for each request that waits for its first token there, see
  /// QueuedRequest::work.
  double waiting_work = 0;
  /// Share of each server's capacity that is reserved for the top tier.
  double headroom = 0.125;
  CircuitBreakerOptions breaker;
  /// Uses servers whose breaker is open if no other server of the pool is available, because a
  /// rejected request is worse than another failed attempt.
  bool ignore_breakers_if_all_open = false;
  PlacementFeatures features;
};

struct PlacementRequest {
  Capability capability;
  common::Tier tier;
  std::uint64_t prefix_hash = 0;
  /// See QueuedRequest::work.
  double work = 1;
  /// Memory that the request occupies; may be null.
  const MemoryCost* memory = nullptr;
  /// Runs only on an empty server. All such requests use the same server while it is usable.
  bool alone = false;
  /// Allows a server that has to preempt a request of a lower tier.
  bool may_preempt = true;
  /// The class is below its floor: the request may use the headroom of the top tier.
  bool class_below_floor = false;
  /// Target for the gap between the events of the response; 0 if there is none.
  std::chrono::milliseconds gap_target{0};
  /// Target for the first event. Servers of a divided service whose prompts wait too long for it
  /// are used only if there is no other; 0 uses them like the others.
  common::Duration first_event_target{};
  /// Server that must not be chosen, for example because an attempt on it failed.
  common::BackendServerId avoid;
  /// Failure domain whose servers must not be chosen.
  common::FailureDomainId avoid_domain;
};

struct PlacementChoice {
  common::BackendServerId id;
  /// The server is expected to be full and to preempt a request of a lower tier.
  bool expects_preemption = false;
};

/// Chooses the backend server of each request for one entry.
///
/// The load of a server is the work of this entry's requests in flight, plus 1 for each request of
/// another entry and PlacementOptions::waiting_work for each waiting request, relative to the
/// capacity and speed of the server. The last two are taken from the last sample and discounted by
/// its age. The cost of a pick does not depend on the number of servers. Call Refresh about every
/// 100 ms to update the discounts. Not thread-safe.
class Placement {
 public:
  explicit Placement(PlacementOptions options);

  /// Replaces the list of backend servers. Counts and samples of the remaining servers are kept;
  /// what a server stated in an earlier lifetime is not.
  void SetBackends(const std::vector<BackendDescription>& backends);
  /// A draining server receives no new requests. One that no longer drains has started again.
  void SetDraining(const common::BackendServerId& id, bool draining);
  /// Replaces the failure domains whose servers receive no new requests. Servers of a domain that
  /// is taken back may be cold.
  void SetDrainingDomains(const std::set<common::FailureDomainId>& domains, common::Time now);
  /// Replaces the limits of cold servers, by service; the servers of other services have none.
  void SetColdLimits(std::map<std::string, ColdLimit> limits);
  /// Applies what a list of servers shows; `warm_up` is 0 for a warm server.
  void SetWarmUp(const common::BackendServerId& id, common::Duration warm_up, common::Time read_at);
  /// A server whose agent is unreachable receives no new requests.
  void SetAlive(const common::BackendServerId& id, bool alive);
  /// Replaces the divisions of services. Services without one are not divided.
  void SetDivisions(const std::map<std::string, EngineDivision>& divisions);
  /// \returns the side that takes a request for `service` with this gap target.
  [[nodiscard]] EngineSide SideOf(const std::string& service,
                                  std::chrono::milliseconds gap_target) const;
  /// Sets the place of this entry among those that share the limits that servers state.
  void SetFleetPosition(const FleetPosition& position) { position_ = position; }
  /// Applies what a server states about itself in the response to a request that was sent at
  /// `sent_at`.
  /// \returns true if this changes when requests may be sent to the server.
  bool OnStatement(const common::BackendServerId& id, const ServerStatement& statement,
                   common::Time sent_at, common::Time now);
  /// Applies a load sample. A sample older than the last one is ignored.
  void Report(const LoadSample& sample, common::Time now);
  void ObserveTokenGap(const common::BackendServerId& id, common::Duration gap, common::Time now);
  /// Records that a prompt has waited for its first event for `delay`, or still waits after that
  /// time.
  void ObservePromptDelay(const common::BackendServerId& id, common::Duration delay,
                          common::Time now);
  /// Updates discounts and speeds. Does nothing within 50 ms of the previous update.
  void Refresh(common::Time now);

  /// \returns a server with room; otherwise, if preemption is allowed, a server that can preempt a
  ///   request of a lower tier; otherwise `std::nullopt`.
  [[nodiscard]] std::optional<PlacementChoice> Pick(const PlacementRequest& request,
                                                    common::Time now);
  /// \returns true if the last pick found no server and left out one for want of memory.
  [[nodiscard]] bool LastPickLackedMemory() const noexcept { return last_pick_lacked_memory_; }
  /// \returns true if the prompt is larger than the memory of every server for `capability`.
  [[nodiscard]] bool ExceedsMemory(const Capability& capability, const MemoryCost& cost);

  /// Counts a request as in flight on `id`. Each call must be followed by one call of OnEnded.
  /// \param work  see QueuedRequest::work; counted until OnWorkDone or OnEnded subtracts it
  /// \param memory  counted until OnEnded, which must get the same value
  void OnSent(const common::BackendServerId& id, common::Tier tier, bool alone, common::Time now,
              double work = 1, const MemoryCost& memory = {});
  /// Subtracts part of the work of a request that is still in flight, for example after its
  /// prefill.
  void OnWorkDone(const common::BackendServerId& id, double work);
  void OnEnded(const common::BackendServerId& id, common::Tier tier, bool alone, double work = 1,
               const MemoryCost& memory = {});
  /// Must follow OnEnded if the request did not reach the server, so that it does not count towards
  /// a limit of the server.
  void OnNotSent(const common::BackendServerId& id);
  /// Report the outcome of an attempt to the circuit breaker of the server.
  void OnSuccess(const common::BackendServerId& id, common::Time now);
  void OnFailure(const common::BackendServerId& id, common::Time now);
  /// The end of the attempt does not show whether the server works, for example because the caller
  /// disconnected.
  void OnNoVerdict(const common::BackendServerId& id);
  /// The agent rejected a request because the server is full: the load known to this entry is out
  /// of date.
  void OnFull(const common::BackendServerId& id, bool alone, common::Time now);

  /// \returns the earliest time at which a server for `capability` admits a request, as far as its
  ///   statements are concerned, or nothing if there is no server or all are leaving.
  [[nodiscard]] std::optional<common::Time> NextAdmission(const Capability& capability,
                                                          common::Time now);
  /// \returns the requests per second that this entry may send to the servers for `capability`, or
  ///   nothing if one of them has no limit or if there is none.
  [[nodiscard]] std::optional<double> AdmittedRate(const Capability& capability);

  [[nodiscard]] std::uint32_t InFlight(const common::BackendServerId& id) const;
  [[nodiscard]] bool IsSlow(const common::BackendServerId& id, common::Time now);
  /// \returns true if a server for `capability` takes new requests, apart from those in `except`.
  [[nodiscard]] bool HasServer(const Capability& capability,
                               const std::set<common::BackendServerId>& except);
  /// \returns true if there are servers for `capability`, all of them in draining domains.
  [[nodiscard]] bool IsDrained(const Capability& capability) const;
  /// \returns the version of the model of a server; empty if it is unknown or states none.
  [[nodiscard]] std::string ModelVersionOf(const common::BackendServerId& id) const;
  /// Number of servers that this entry uses for `capability`.
  [[nodiscard]] std::size_t SubsetSize(const Capability& capability);

 private:
  struct Server {
    BackendDescription description;
    std::uint64_t hash = 0;
    /// Index of its model or service in `groups_`.
    std::size_t group = 0;
    /// Part of its service's engines that it belongs to.
    EngineSide side = EngineSide::kAny;
    std::uint32_t capacity = 1;
    /// Requests of this entry in flight on the server.
    std::uint32_t own_in_flight = 0;
    std::uint32_t own_alone = 0;
    /// Total work of these requests.
    double own_work = 0;
    /// Requests that waited for their first token at the last sample.
    double waiting = 0;
    double waiting_now = 0;
    TierCounts own_by_tier{};
    /// Requests of other entries at the last sample.
    double others = 0;
    TierCounts preemptible{};
    std::optional<common::Time> sampled_at;
    /// The agent reported the server full; no room is expected before this time.
    common::Time full_until;
    /// The agent rejected a request that runs alone; the next attempt starts no earlier than this.
    common::Time trial_retry_at;
    double speed = 1;
    bool draining = false;
    /// Its failure domain is drained.
    bool domain_draining = false;
    bool alive = true;
    bool leaving = false;
    bool healthy = true;
    /// Discounted value of `others`, updated by Refresh and Report.
    double others_now = 0;
    /// Follows a rise of `others_now` at once and a fall with a delay. Otherwise all entries would
    /// send requests to a server as soon as the samples show that it has room.
    double others_smoothed = 0;
    /// Time of the last update of `others_smoothed`.
    common::Time smoothed_at;
    PromptBacklog backlog;
    CircuitBreaker breaker;
    ServerBackpressure backpressure;
    EngineMemory memory;
    SlownessMean slowness;
    /// Value of `slowness` at the last update.
    double slowness_now = 1;
    ColdStart cold_start;
    /// An attempt failed, and none has succeeded since.
    bool failing = false;
  };

  /// Number of servers considered for each prefix, in order of preference.
  static constexpr std::size_t kPrefixRanks = 3;

  /// Servers that can run requests of one capability.
  struct Pool {
    std::vector<std::uint32_t> members;
    /// Members in the failure domain of the entry.
    std::vector<std::uint32_t> near;
    /// Members preferred for each bucket of prefix hashes, best first.
    std::vector<std::array<std::uint32_t, kPrefixRanks>> prefix_buckets;
    double total_load = 0;
  };

  /// Servers of one model or service.
  struct Group {
    std::string name;
    /// Mean of `others` over the servers; the value to which old samples decay.
    double mean_others = 0;
    RequestSizes sizes;
  };

  enum class Fit : std::uint8_t { kNone, kRoom, kPreempt };

  /// Servers of one side that can run requests of a capability.
  struct PoolKey {
    Capability capability;
    /// kAny for the servers of all sides.
    EngineSide side = EngineSide::kAny;

    // NOLINTNEXTLINE(modernize-use-nullptr): see Capability.
    friend auto operator<=>(const PoolKey&, const PoolKey&) = default;
  };

  /// \returns the servers of all sides.
  [[nodiscard]] Pool& PoolOf(const Capability& capability);
  [[nodiscard]] Pool& PoolOf(const PoolKey& key);
  [[nodiscard]] Pool BuildPool(const PoolKey& key) const;
  /// Assigns the servers of divided services to their sides.
  void AssignSides();
  [[nodiscard]] std::vector<std::uint32_t> ChooseSubset(std::vector<std::uint32_t> members) const;
  void FillPrefixBuckets(Pool& pool) const;
  void RefreshMeans(common::Time now);
  void RefreshLoads(Pool& pool);
  void RefreshRequestSizes(common::Time now);
  [[nodiscard]] double Load(const Server& server) const noexcept;
  static void UpdateSmoothedOthers(Server& server, common::Time now);
  [[nodiscard]] double OthersAt(const Server& server, common::Time now) const;
  /// Limits the requests to a server while it is cold.
  void UpdateColdLimit(Server& server, common::Time now);
  [[nodiscard]] std::size_t GroupOf(const BackendDescription& description);
  /// \returns true if neither its agent, the list nor a drain keeps requests from the server.
  [[nodiscard]] static bool IsInService(const Server& server);
  /// \returns true if in addition the statements of the server allow a request now.
  [[nodiscard]] bool TakesRequests(const Server& server, common::Time now) const;
  [[nodiscard]] bool IsUsable(const Server& server, const PlacementRequest& request,
                              common::Time now) const;
  /// True if the breaker of every otherwise usable server blocks requests and there is at least one
  /// such server.
  [[nodiscard]] bool AllBreakersOpen(const Pool& pool, common::Time now) const;
  /// True if a server of the pool takes requests, apart from its load.
  [[nodiscard]] bool IsInService(const Pool& pool) const;
  /// Picks a server without a backlog of prompts, or else any.
  [[nodiscard]] std::optional<PlacementChoice> PickFrom(Pool& pool, const PlacementRequest& request,
                                                        common::Time now);
  [[nodiscard]] std::optional<PlacementChoice> PickByFit(Pool& pool,
                                                         const PlacementRequest& request,
                                                         common::Time now);
  /// Picks a server of one side of a divided service. Streams may use the other side if their own
  /// is full; prompts only if none of their own servers is in service.
  [[nodiscard]] std::optional<PlacementChoice> PickFromSide(EngineSide side,
                                                            const PlacementRequest& request,
                                                            common::Time now);
  [[nodiscard]] std::optional<PlacementChoice> PickFromAny(const PlacementRequest& request,
                                                           common::Time now);
  /// True if the server has memory for the request.
  [[nodiscard]] bool HasMemory(const Server& server, const PlacementRequest& request,
                               common::Time now);
  [[nodiscard]] Fit FitOf(const Server& server, const PlacementRequest& request, common::Time now);
  [[nodiscard]] std::optional<PlacementChoice> PickForTrial(const Pool& pool,
                                                            const PlacementRequest& request,
                                                            common::Time now) const;
  [[nodiscard]] std::optional<std::uint32_t> PickByPrefix(const Pool& pool,
                                                          const PlacementRequest& request,
                                                          common::Time now);
  [[nodiscard]] std::optional<std::uint32_t> PickBySample(const std::vector<std::uint32_t>& from,
                                                          const PlacementRequest& request, Fit fit,
                                                          common::Time now);
  [[nodiscard]] PeerComparison& PeersOf(const Server& server);
  [[nodiscard]] Server* Find(const common::BackendServerId& id);

  PlacementOptions options_;
  common::Random random_;
  std::vector<Server> servers_;
  std::unordered_map<common::BackendServerId, std::uint32_t> index_;
  std::map<PoolKey, Pool> pools_;
  std::map<std::string, EngineDivision> divisions_;
  std::set<common::FailureDomainId> draining_domains_;
  std::map<std::string, ColdLimit> cold_limits_;
  std::unordered_map<std::string, PeerComparison> peers_;
  std::optional<common::Time> refreshed_at_;
  /// The current pick uses servers with a backlog of prompts like the others.
  bool ignoring_backlogs_ = false;
  /// Set during a pick from a pool whose breakers are all open.
  bool ignoring_breakers_ = false;
  /// Kept when the list of servers changes.
  std::vector<Group> groups_;
  bool last_pick_lacked_memory_ = false;
  FleetPosition position_;
};

}  // namespace briarwood::routing
