#include "briarwood/routing/placement.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <limits>
#include <utility>

#include "briarwood/common/digest.h"

namespace briarwood::routing {
namespace {

/// Buckets of the table that maps prefix hashes to servers; a power of two.
constexpr std::size_t kPrefixBucketCount = 1024;
/// Servers examined if no sampled server has room.
constexpr std::size_t kMaxScanned = 32;
/// A slow server is used up to its capacity times its relative speed times this factor. It still
/// receives some requests, so that its token gaps are observed.
constexpr double kSlowShare = 0.5;
/// Time for which a server counts as full after its agent reported it full, unless a new sample
/// arrives earlier.
constexpr common::Duration kFullBackoff = std::chrono::milliseconds(50);
/// Time constant with which an entry starts to use capacity that other entries have freed. All
/// entries see free capacity at the same time; without the delay all of them would send a request
/// to it.
constexpr common::Duration kFreedCapacityDelay = std::chrono::milliseconds(250);
constexpr common::Duration kRefreshInterval = std::chrono::milliseconds(50);
/// Delay before another request that runs alone is sent to a server that was not empty.
constexpr common::Duration kAloneRetryDelay = std::chrono::milliseconds(500);

/// \returns the rendezvous hash of a pair, using the finaliser of splitmix64.
std::uint64_t Mix(std::uint64_t left, std::uint64_t right) noexcept {
  std::uint64_t mixed = left ^ (right * 0x9E3779B97F4A7C15ULL);
  mixed = (mixed ^ (mixed >> 30U)) * 0xBF58476D1CE4E5B9ULL;
  mixed = (mixed ^ (mixed >> 27U)) * 0x94D049BB133111EBULL;
  return mixed ^ (mixed >> 31U);
}

std::string GroupName(const BackendDescription& server) {
  return server.model.value() + '/' + server.service;
}

bool Matches(const BackendDescription& server, const Capability& wanted) {
  if (!server.takes_requests || server.model != wanted.model || server.service != wanted.service) {
    return false;
  }
  if (wanted.software_version && server.software_version != *wanted.software_version) return false;
  if (!wanted.model_version.empty() && server.model_version != wanted.model_version) return false;
  return wanted.adapter.empty() || std::find(server.adapters.begin(), server.adapters.end(),
                                             wanted.adapter) != server.adapters.end();
}

}  // namespace

Placement::Placement(PlacementOptions options)
    : options_(std::move(options)), random_(options_.seed) {}

void Placement::SetBackends(const std::vector<BackendDescription>& backends) {
  std::vector<Server> servers;
  servers.reserve(backends.size());
  for (Group& group : groups_) group.mean_others = 0;
  refreshed_at_.reset();
  for (const BackendDescription& description : backends) {
    Server* known = Find(description.id);
    Server& server = servers.emplace_back(known != nullptr ? std::move(*known) : Server{});
    if (known == nullptr) server.breaker = CircuitBreaker(options_.breaker);
    if (known == nullptr || server.description.max_concurrency != description.max_concurrency) {
      server.capacity = std::max(description.max_concurrency, 1U);
    }
    const bool is_new_lifetime =
        known == nullptr || server.description.lifetime != description.lifetime;
    server.description = description;
    server.hash = common::Hash64(description.id.value());
    if (is_new_lifetime) {
      server.backpressure = ServerBackpressure(server.hash);
      server.memory.ForgetReport();
      server.slowness = {};
    }
    server.memory.SetCapacity(description.memory_tokens);
    server.group = GroupOf(description);
    server.domain_draining = draining_domains_.contains(description.failure_domain);
  }
  servers_ = std::move(servers);
  index_.clear();
  for (std::uint32_t index = 0; index < servers_.size(); ++index) {
    index_[servers_[index].description.id] = index;
  }
  AssignSides();
}

void Placement::SetDivisions(const std::map<std::string, EngineDivision>& divisions) {
  if (divisions == divisions_) return;
  divisions_ = divisions;
  AssignSides();
}

void Placement::AssignSides() {
  pools_.clear();
  for (Server& server : servers_) server.side = EngineSide::kAny;
  for (const auto& [service, division] : divisions_) {
    std::vector<std::uint32_t> members;
    std::vector<EnginePlace> places;
    for (std::uint32_t index = 0; index < servers_.size(); ++index) {
      const Server& server = servers_[index];
      if (server.description.service != service) continue;
      if (server.draining || server.domain_draining) continue;
      members.push_back(index);
      places.push_back({.hash = server.hash, .failure_domain = server.description.failure_domain});
    }
    const std::vector<std::uint32_t> positions = OrderEngines(places);
    for (std::size_t i = 0; i < members.size(); ++i) {
      servers_[members[i]].side = division.SideOfEngine(positions[i]);
    }
  }
}

EngineSide Placement::SideOf(const std::string& service,
                             std::chrono::milliseconds gap_target) const {
  const auto found = divisions_.find(service);
  return found == divisions_.end() ? EngineSide::kAny : found->second.SideOfRequest(gap_target);
}

std::size_t Placement::GroupOf(const BackendDescription& description) {
  const std::string name = GroupName(description);
  const auto found = std::find_if(groups_.begin(), groups_.end(),
                                  [&](const Group& group) { return group.name == name; });
  if (found != groups_.end()) return static_cast<std::size_t>(found - groups_.begin());
  groups_.push_back({.name = name});
  return groups_.size() - 1;
}

Placement::Server* Placement::Find(const common::BackendServerId& id) {
  const auto found = index_.find(id);
  return found == index_.end() ? nullptr : &servers_[found->second];
}

void Placement::SetDraining(const common::BackendServerId& id, bool draining) {
  Server* server = Find(id);
  if (server == nullptr) return;
  if (server->draining && !draining) server->backpressure = ServerBackpressure(server->hash);
  if (std::exchange(server->draining, draining) == draining) return;
  refreshed_at_.reset();
  if (divisions_.contains(server->description.service)) AssignSides();
}

void Placement::SetDrainingDomains(const std::set<common::FailureDomainId>& domains,
                                   common::Time now) {
  if (domains == draining_domains_) return;
  draining_domains_ = domains;
  for (Server& server : servers_) {
    const bool draining = domains.contains(server.description.failure_domain);
    if (std::exchange(server.domain_draining, draining) && !draining) {
      server.cold_start.OnMayBeCold(now);
      UpdateColdLimit(server, now);
    }
  }
  AssignSides();
}

void Placement::SetColdLimits(std::map<std::string, ColdLimit> limits) {
  cold_limits_ = std::move(limits);
  refreshed_at_.reset();
}

void Placement::SetWarmUp(const common::BackendServerId& id, common::Duration warm_up,
                          common::Time read_at) {
  if (Server* server = Find(id)) server->cold_start.OnListed(warm_up, read_at);
}

void Placement::UpdateColdLimit(Server& server, common::Time now) {
  const auto found = cold_limits_.find(server.description.service);
  const bool limited = found != cold_limits_.end() && server.cold_start.IsCold(now);
  server.backpressure.SetColdLimit(limited ? std::optional(found->second) : std::nullopt, position_,
                                   now, random_);
}

bool Placement::OnStatement(const common::BackendServerId& id, const ServerStatement& statement,
                            common::Time sent_at, common::Time now) {
  Server* server = Find(id);
  return server != nullptr &&
         server->backpressure.OnStatement(statement, sent_at, position_, now, random_);
}

void Placement::SetAlive(const common::BackendServerId& id, bool alive) {
  if (Server* server = Find(id)) server->alive = alive;
}

void Placement::Report(const LoadSample& sample, common::Time now) {
  Server* server = Find(sample.id);
  if (server == nullptr) return;
  if (server->sampled_at && sample.taken_at < *server->sampled_at) return;
  server->sampled_at = sample.taken_at;
  server->leaving = sample.leaving;
  server->healthy = sample.healthy;
  if (sample.capacity > 0) server->capacity = sample.capacity;
  server->preemptible = sample.preemptible;
  if (!options_.features.load_reports) return;
  server->full_until = {};
  const std::uint32_t here = sample.running_here.value_or(server->own_in_flight);
  const std::uint32_t others = sample.running > here ? sample.running - here : 0;
  server->memory.OnReport(others, now);
  groups_[server->group].sizes.OnReport(others, now);
  if (sample.slowness) {
    server->slowness.Observe(*sample.slowness, now);
    return;
  }
  server->others = others;
  server->others_now = OthersAt(*server, now);
  server->waiting = sample.waiting;
  server->waiting_now = sample.waiting;
  UpdateSmoothedOthers(*server, now);
}

void Placement::UpdateSmoothedOthers(Server& server, common::Time now) {
  const double elapsed_s = common::ToSeconds(now - server.smoothed_at);
  const double weight = std::exp(-elapsed_s / common::ToSeconds(kFreedCapacityDelay));
  const double excess = std::max(0.0, server.others_smoothed - server.others_now);
  server.others_smoothed = server.others_now + excess * weight;
  server.smoothed_at = now;
}

double Placement::OthersAt(const Server& server, common::Time now) const {
  const double prior = groups_[server.group].mean_others;
  if (!server.sampled_at) return prior;
  if (!options_.features.discount_by_age) return server.others;
  const double age_s = std::max(0.0, common::ToSeconds(now - *server.sampled_at));
  const double weight = std::exp2(-age_s / common::ToSeconds(options_.half_life));
  return prior + (server.others - prior) * weight;
}

PeerComparison& Placement::PeersOf(const Server& server) {
  return peers_[GroupName(server.description)];
}

void Placement::ObserveTokenGap(const common::BackendServerId& id, common::Duration gap,
                                common::Time now) {
  if (Server* server = Find(id)) PeersOf(*server).Observe(id, gap, now);
}

bool Placement::IsSlow(const common::BackendServerId& id, common::Time now) {
  Server* server = Find(id);
  return server != nullptr && PeersOf(*server).IsSlow(id, now);
}

void Placement::ObservePromptDelay(const common::BackendServerId& id, common::Duration delay,
                                   common::Time now) {
  if (Server* server = Find(id)) server->backlog.Observe(delay, now);
}

void Placement::Refresh(common::Time now) {
  if (refreshed_at_ && now - *refreshed_at_ < kRefreshInterval) return;
  refreshed_at_ = now;
  RefreshMeans(now);
  for (Server& server : servers_) {
    UpdateColdLimit(server, now);
    server.others_now = OthersAt(server, now);
    if (server.sampled_at) {
      const double age_s = std::max(0.0, common::ToSeconds(now - *server.sampled_at));
      server.waiting_now =
          server.waiting * std::exp2(-age_s / common::ToSeconds(options_.half_life));
    }
    UpdateSmoothedOthers(server, now);
    server.slowness_now = server.slowness.At(now);
    server.speed =
        options_.features.slow_detection ? PeersOf(server).Speed(server.description.id, now) : 1;
  }
  RefreshRequestSizes(now);
  for (auto& [key, pool] : pools_) RefreshLoads(pool);
}

void Placement::RefreshRequestSizes(common::Time now) {
  std::vector<MemoryUse> in_flight(groups_.size());
  std::vector<std::size_t> engines(groups_.size());
  for (const Server& server : servers_) {
    in_flight[server.group] += server.memory.own();
    if (IsInService(server)) ++engines[server.group];
  }
  for (std::size_t group = 0; group < groups_.size(); ++group) {
    groups_[group].sizes.Refresh(in_flight[group],
                                 {.engines = engines[group], .entries = position_.entries}, now);
  }
}

void Placement::RefreshMeans(common::Time now) {
  std::vector<double> sampled(groups_.size());
  for (Group& group : groups_) group.mean_others = 0;
  for (const Server& server : servers_) {
    if (!server.sampled_at || !server.alive) continue;
    const double age_s = std::max(0.0, common::ToSeconds(now - *server.sampled_at));
    groups_[server.group].mean_others +=
        server.others * std::exp2(-age_s / common::ToSeconds(options_.mean_half_life));
    sampled[server.group] += 1;
  }
  for (std::size_t group = 0; group < groups_.size(); ++group) {
    if (sampled[group] > 0) groups_[group].mean_others /= sampled[group];
  }
}

void Placement::RefreshLoads(Pool& pool) {
  pool.total_load = 0;
  for (const std::uint32_t member : pool.members) pool.total_load += Load(servers_[member]);
}

double Placement::Load(const Server& server) const noexcept {
  return (server.own_work + server.others_now + options_.waiting_work * server.waiting_now) /
         (static_cast<double>(server.capacity) * server.speed) * server.slowness_now;
}

Placement::Pool& Placement::PoolOf(const Capability& capability) {
  return PoolOf(PoolKey{.capability = capability});
}

Placement::Pool& Placement::PoolOf(const PoolKey& key) {
  const auto found = pools_.find(key);
  if (found != pools_.end()) return found->second;
  Pool& pool = pools_[key];
  pool = BuildPool(key);
  RefreshLoads(pool);
  return pool;
}

Placement::Pool Placement::BuildPool(const PoolKey& key) const {
  Pool pool;
  for (std::uint32_t index = 0; index < servers_.size(); ++index) {
    if (key.side != EngineSide::kAny && servers_[index].side != key.side) continue;
    // Means and preferred servers of prefixes are those of the domains that remain.
    if (servers_[index].domain_draining) continue;
    if (Matches(servers_[index].description, key.capability)) pool.members.push_back(index);
  }
  pool.members = ChooseSubset(std::move(pool.members));
  for (const std::uint32_t member : pool.members) {
    if (servers_[member].description.failure_domain == options_.near_domain) {
      pool.near.push_back(member);
    }
  }
  FillPrefixBuckets(pool);
  return pool;
}

std::vector<std::uint32_t> Placement::ChooseSubset(std::vector<std::uint32_t> members) const {
  if (members.size() <= options_.subset_size) return members;
  std::map<common::FailureDomainId, std::vector<std::uint32_t>> domains;
  for (const std::uint32_t member : members) {
    domains[servers_[member].description.failure_domain].push_back(member);
  }
  std::vector<std::uint32_t> subset;
  for (auto& [domain, servers] : domains) {
    const std::size_t share = options_.subset_size * servers.size() / members.size();
    const std::size_t wanted = std::clamp<std::size_t>(share, 1, servers.size());
    const auto heavier = [this](std::uint32_t left, std::uint32_t right) {
      return Mix(options_.seed, servers_[left].hash) > Mix(options_.seed, servers_[right].hash);
    };
    const auto end = servers.begin() + static_cast<std::ptrdiff_t>(wanted);
    std::partial_sort(servers.begin(), end, servers.end(), heavier);
    subset.insert(subset.end(), servers.begin(), end);
  }
  return subset;
}

void Placement::FillPrefixBuckets(Pool& pool) const {
  if (pool.members.empty()) return;
  pool.prefix_buckets.resize(kPrefixBucketCount);
  std::vector<std::pair<std::uint64_t, std::uint32_t>> ranked(pool.members.size());
  const std::size_t ranks = std::min(kPrefixRanks, ranked.size());
  for (std::size_t bucket = 0; bucket < kPrefixBucketCount; ++bucket) {
    // The seed is not used here, so that all entries map a prefix to the same servers.
    std::transform(pool.members.begin(), pool.members.end(), ranked.begin(),
                   [&](std::uint32_t member) {
                     return std::pair(Mix(bucket, servers_[member].hash), member);
                   });
    std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(ranks),
                      ranked.end(), std::greater<>());
    for (std::size_t rank = 0; rank < kPrefixRanks; ++rank) {
      pool.prefix_buckets[bucket][rank] = ranked[std::min(rank, ranks - 1)].second;
    }
  }
}

bool Placement::IsInService(const Server& server) {
  return !server.draining && !server.domain_draining && !server.leaving && server.alive &&
         server.healthy;
}

bool Placement::TakesRequests(const Server& server, common::Time now) const {
  return IsInService(server) && server.backpressure.Admits(position_, now);
}

bool Placement::IsUsable(const Server& server, const PlacementRequest& request,
                         common::Time now) const {
  if (!TakesRequests(server, now)) return false;
  if (options_.features.breakers && !ignoring_breakers_ && !server.breaker.Allows(now)) {
    return false;
  }
  if (!request.avoid_domain.value().empty() &&
      server.description.failure_domain == request.avoid_domain) {
    return false;
  }
  return request.avoid.value().empty() || server.description.id != request.avoid;
}

bool Placement::HasMemory(const Server& server, const PlacementRequest& request, common::Time now) {
  if (request.memory == nullptr) return true;
  // Requests of the top tier may use what the others leave free.
  const bool is_top = request.tier.value() == 0;
  const bool uses_headroom = is_top || request.class_below_floor || !options_.features.headroom;
  const double headroom = uses_headroom ? 0 : options_.headroom;
  const RequestSizes& sizes = groups_[server.group].sizes;
  if (server.memory.Fits(*request.memory, sizes, headroom, /*with_reserve=*/!is_top, now)) {
    return true;
  }
  last_pick_lacked_memory_ = true;
  return false;
}

Placement::Fit Placement::FitOf(const Server& server, const PlacementRequest& request,
                                common::Time now) {
  if (!IsUsable(server, request, now) || server.own_alone > 0) return Fit::kNone;
  if (!ignoring_backlogs_ && server.backlog.Exceeds(request.first_event_target, now)) {
    return Fit::kNone;
  }
  const auto capacity = static_cast<double>(server.capacity);
  double room = capacity;
  if (options_.features.headroom && request.tier.value() > 0 && !request.class_below_floor) {
    room = std::max(1.0, capacity - std::round(capacity * options_.headroom));
  }
  if (server.speed < 1) {
    // Slow servers get no requests of the top tier. Requests of lower tiers keep them observed.
    if (request.tier.value() == 0) return Fit::kNone;
    room = std::max(1.0, room * server.speed * kSlowShare);
  }
  const bool use_smoothed =
      options_.features.slow_claims && (request.tier.value() > 0 || !request.may_preempt);
  const double running = static_cast<double>(server.own_in_flight) +
                         (use_smoothed ? server.others_smoothed : server.others_now);
  if (now < server.full_until) return Fit::kNone;
  if (running + 1 <= room + 0.5) return HasMemory(server, request, now) ? Fit::kRoom : Fit::kNone;
  if (!options_.features.preemption || !request.may_preempt || server.speed < 1) {
    return Fit::kNone;
  }
  for (std::size_t slot = TierSlot(request.tier) + 1; slot < kCountedTiers; ++slot) {
    if (server.preemptible[slot] > 0) return Fit::kPreempt;
  }
  return Fit::kNone;
}

std::optional<PlacementChoice> Placement::PickForTrial(const Pool& pool,
                                                       const PlacementRequest& request,
                                                       common::Time now) const {
  // Only one server at a time is drained for trials. All entries choose the same one.
  for (std::size_t bucket = 0; bucket < kMaxScanned; ++bucket) {
    const Server& server = servers_[pool.prefix_buckets[bucket].front()];
    if (!IsUsable(server, request, now)) continue;
    if (now < server.trial_retry_at || server.own_alone > 0) return std::nullopt;
    return PlacementChoice{.id = server.description.id};
  }
  return std::nullopt;
}

std::optional<std::uint32_t> Placement::PickByPrefix(const Pool& pool,
                                                     const PlacementRequest& request,
                                                     common::Time now) {
  if (!options_.features.prefix_affinity || request.prefix_hash == 0) return std::nullopt;
  const double mean = pool.total_load / static_cast<double>(pool.members.size());
  for (const std::uint32_t member : pool.prefix_buckets[request.prefix_hash % kPrefixBucketCount]) {
    const Server& server = servers_[member];
    if (FitOf(server, request, now) != Fit::kRoom) continue;
    const double added_load = request.work / static_cast<double>(server.capacity);
    if (Load(server) <= options_.bounded_load * mean + added_load) return member;
  }
  return std::nullopt;
}

std::optional<std::uint32_t> Placement::PickBySample(const std::vector<std::uint32_t>& from,
                                                     const PlacementRequest& request, Fit fit,
                                                     common::Time now) {
  std::optional<std::uint32_t> best;
  double best_load = std::numeric_limits<double>::infinity();
  std::size_t fitting = 0;
  const auto consider = [&](std::uint32_t member) {
    const Server& server = servers_[member];
    if (FitOf(server, request, now) != fit) return;
    ++fitting;
    const double load = Load(server);
    if (load >= best_load) return;
    best = member;
    best_load = load;
  };
  if (from.size() <= options_.choices) {
    // Compares all servers if there are few, starting at a random one to break ties evenly.
    const std::size_t first = from.empty() ? 0 : random_.Below(from.size());
    for (std::size_t i = 0; i < from.size(); ++i) consider(from[(first + i) % from.size()]);
    return best;
  }
  for (std::size_t sample = 0; sample < options_.choices; ++sample) {
    consider(from[random_.Below(from.size())]);
  }
  if (best || from.empty()) return best;
  // No sampled server fits: scan part of the list until enough servers fit.
  const std::size_t limit = std::min(from.size(), kMaxScanned);
  const std::size_t start = random_.Below(from.size());
  for (std::size_t step = 0; step < limit && fitting < options_.choices; ++step) {
    consider(from[(start + step) % from.size()]);
  }
  return best;
}

bool Placement::AllBreakersOpen(const Pool& pool, common::Time now) const {
  bool any_open = false;
  for (const std::uint32_t member : pool.members) {
    const Server& server = servers_[member];
    if (!TakesRequests(server, now)) continue;
    if (server.breaker.Allows(now)) return false;
    any_open = true;
  }
  return any_open;
}

bool Placement::IsInService(const Pool& pool) const {
  return std::any_of(pool.members.begin(), pool.members.end(),
                     [this](std::uint32_t member) { return IsInService(servers_[member]); });
}

std::optional<PlacementChoice> Placement::PickFromSide(EngineSide side,
                                                       const PlacementRequest& request,
                                                       common::Time now) {
  Pool& own = PoolOf(PoolKey{.capability = request.capability, .side = side});
  if (side == EngineSide::kPrompts) {
    return PickFrom(IsInService(own) ? own : PoolOf(request.capability), request, now);
  }
  PlacementRequest without_preemption = request;
  without_preemption.may_preempt = false;
  if (auto choice = PickFrom(own, without_preemption, now)) return choice;
  return PickFrom(PoolOf(request.capability), request, now);
}

bool Placement::ExceedsMemory(const Capability& capability, const MemoryCost& cost) {
  const Pool& pool = PoolOf(capability);
  return !pool.members.empty() &&
         std::all_of(pool.members.begin(), pool.members.end(), [&](std::uint32_t member) {
           const double capacity = servers_[member].memory.capacity();
           return capacity > 0 && static_cast<double>(cost.PromptTokens()) > capacity;
         });
}

std::optional<PlacementChoice> Placement::Pick(const PlacementRequest& request, common::Time now) {
  last_pick_lacked_memory_ = false;
  auto choice = PickFromAny(request, now);
  if (choice) last_pick_lacked_memory_ = false;
  return choice;
}

std::optional<PlacementChoice> Placement::PickFromAny(const PlacementRequest& request,
                                                      common::Time now) {
  const EngineSide side = SideOf(request.capability.service, request.gap_target);
  if (side != EngineSide::kAny && !request.alone) {
    if (auto choice = PickFromSide(side, request, now)) return choice;
    if (!options_.ignore_breakers_if_all_open ||
        !AllBreakersOpen(PoolOf(request.capability), now)) {
      return std::nullopt;
    }
  }
  Pool& pool = PoolOf(request.capability);
  if (pool.members.empty()) return std::nullopt;
  auto choice = PickFrom(pool, request, now);
  if (choice || !options_.ignore_breakers_if_all_open || !AllBreakersOpen(pool, now)) return choice;
  ignoring_breakers_ = true;
  choice = PickFrom(pool, request, now);
  ignoring_breakers_ = false;
  return choice;
}

std::optional<PlacementChoice> Placement::PickFrom(Pool& pool, const PlacementRequest& request,
                                                   common::Time now) {
  if (pool.members.empty()) return std::nullopt;
  const bool divided = divisions_.contains(request.capability.service);
  ignoring_backlogs_ = !divided || request.first_event_target <= common::Duration(0);
  auto choice = PickByFit(pool, request, now);
  if (choice || ignoring_backlogs_) return choice;
  ignoring_backlogs_ = true;
  return PickByFit(pool, request, now);
}

std::optional<PlacementChoice> Placement::PickByFit(Pool& pool, const PlacementRequest& request,
                                                    common::Time now) {
  if (request.alone) return PickForTrial(pool, request, now);
  const auto choice = [this](std::uint32_t member, bool preempts) {
    return PlacementChoice{.id = servers_[member].description.id, .expects_preemption = preempts};
  };
  if (const auto member = PickByPrefix(pool, request, now)) return choice(*member, false);
  if (options_.features.near_domain) {
    if (const auto member = PickBySample(pool.near, request, Fit::kRoom, now)) {
      const double mean = pool.total_load / static_cast<double>(pool.members.size());
      if (Load(servers_[*member]) <= options_.bounded_load * mean) return choice(*member, false);
    }
  }
  if (const auto member = PickBySample(pool.members, request, Fit::kRoom, now)) {
    return choice(*member, false);
  }
  if (const auto member = PickBySample(pool.members, request, Fit::kPreempt, now)) {
    return choice(*member, true);
  }
  return std::nullopt;
}

void Placement::OnSent(const common::BackendServerId& id, common::Tier tier, bool alone,
                       common::Time now, double work, const MemoryCost& memory) {
  Server* server = Find(id);
  if (server == nullptr) return;
  server->memory.OnSent(memory);
  groups_[server->group].sizes.OnSent(memory, now);
  ++server->own_in_flight;
  server->own_work += work;
  ++server->own_by_tier[TierSlot(tier)];
  if (alone) ++server->own_alone;
  server->breaker.OnAttempt(now);
  server->backpressure.OnSending(position_, now);
}

void Placement::OnWorkDone(const common::BackendServerId& id, double work) {
  if (Server* server = Find(id)) server->own_work = std::max(0.0, server->own_work - work);
}

void Placement::OnEnded(const common::BackendServerId& id, common::Tier tier, bool alone,
                        double work, const MemoryCost& memory) {
  Server* server = Find(id);
  if (server == nullptr) return;
  server->memory.OnEnded(memory);
  groups_[server->group].sizes.OnEnded(memory);
  if (server->own_in_flight > 0) --server->own_in_flight;
  server->own_work = server->own_in_flight == 0 ? 0 : std::max(0.0, server->own_work - work);
  std::uint32_t& count = server->own_by_tier[TierSlot(tier)];
  if (count > 0) --count;
  if (alone && server->own_alone > 0) --server->own_alone;
}

void Placement::OnNotSent(const common::BackendServerId& id) {
  if (Server* server = Find(id)) server->backpressure.OnNotSent();
}

void Placement::OnSuccess(const common::BackendServerId& id, common::Time now) {
  Server* server = Find(id);
  if (server == nullptr) return;
  server->breaker.OnSuccess();
  // It may have started again since, which the list shows later.
  if (std::exchange(server->failing, false)) server->cold_start.OnMayBeCold(now);
}

void Placement::OnFailure(const common::BackendServerId& id, common::Time now) {
  Server* server = Find(id);
  if (server == nullptr) return;
  server->breaker.OnFailure(now, random_);
  server->failing = true;
  server->cold_start.OnMayBeCold(now);
}

void Placement::OnNoVerdict(const common::BackendServerId& id) {
  if (Server* server = Find(id)) server->breaker.OnInconclusive();
}

void Placement::OnFull(const common::BackendServerId& id, bool alone, common::Time now) {
  Server* server = Find(id);
  if (server == nullptr) return;
  (alone ? server->trial_retry_at : server->full_until) =
      now + (alone ? kAloneRetryDelay : kFullBackoff);
  server->breaker.OnInconclusive();
}

std::optional<common::Time> Placement::NextAdmission(const Capability& capability,
                                                     common::Time now) {
  std::optional<common::Time> next;
  for (const std::uint32_t member : PoolOf(capability).members) {
    if (!IsInService(servers_[member])) continue;
    const auto at = servers_[member].backpressure.AdmitsAt(position_, now);
    if (at && (!next || *at < *next)) next = at;
    if (next && *next <= now) return next;
  }
  return next;
}

std::optional<double> Placement::AdmittedRate(const Capability& capability) {
  std::optional<double> total;
  for (const std::uint32_t member : PoolOf(capability).members) {
    const Server& server = servers_[member];
    if (!IsInService(server) || server.backpressure.leaving()) continue;
    const std::optional<double> rate = server.backpressure.Rate(position_);
    if (!rate) return std::nullopt;
    total = total.value_or(0) + *rate;
  }
  return total;
}

std::uint32_t Placement::InFlight(const common::BackendServerId& id) const {
  const auto found = index_.find(id);
  return found == index_.end() ? 0 : servers_[found->second].own_in_flight;
}

bool Placement::HasServer(const Capability& capability,
                          const std::set<common::BackendServerId>& except) {
  const Pool& pool = PoolOf(capability);
  return std::any_of(pool.members.begin(), pool.members.end(), [&](std::uint32_t member) {
    return IsInService(servers_[member]) && !except.contains(servers_[member].description.id);
  });
}

bool Placement::IsDrained(const Capability& capability) const {
  if (draining_domains_.empty()) return false;
  bool has_server = false;
  for (const Server& server : servers_) {
    if (!Matches(server.description, capability)) continue;
    if (!server.domain_draining) return false;
    has_server = true;
  }
  return has_server;
}

std::string Placement::ModelVersionOf(const common::BackendServerId& id) const {
  const auto found = index_.find(id);
  return found == index_.end() ? std::string() : servers_[found->second].description.model_version;
}

std::size_t Placement::SubsetSize(const Capability& capability) {
  return PoolOf(capability).members.size();
}

}  // namespace briarwood::routing
