#include "forwarding/impl/forwarder.h"

#include <algorithm>
#include <set>
#include <utility>
#include <vector>

#include "briarwood/observability/log_line.h"
#include "forwarding/impl/exchange.h"

namespace briarwood::forwarding::impl {

using observability::LogLine;

namespace {

/// Requests of all classes that may be queued for one service at one entry.
constexpr std::size_t kMaxQueuedRequests = 2000;
/// Slots of a backend server that reports none.
constexpr std::uint32_t kDefaultSlots = 8;
/// Share of a backend server's connection limit that all entries together use. The rest keeps
/// entries that do not know of each other yet from reaching the limit.
constexpr double kConnectionShare = 0.8;
constexpr std::uint32_t kMinConnections = 4;
/// Interval between requested confirmations, so that callers of unknown routes at most double the
/// syncs of an entry.
constexpr std::chrono::milliseconds kConfirmationInterval{250};
/// Requests held until a configuration is active or confirmed; with bodies of 20 KB they take 10
/// MB.
constexpr std::size_t kMaxHeldRequests = 512;
/// Bounds of Retry-After for callers that were rejected for want of a server.
constexpr std::chrono::milliseconds kMinRetryDelay{300};
constexpr std::chrono::milliseconds kMaxRetryDelay{10'000};
/// Time for which the highest number of entries counts for limits. An entry is dead after 10 s.
constexpr std::chrono::seconds kEntryCountPeriod{10};
/// The prompt limit is logged again once it has risen or fallen by this factor.
constexpr double kLoggedLimitChange = 1.5;
/// Interval between log lines about requests of one service that wait for memory.
constexpr std::chrono::seconds kMemoryLogInterval{1};

routing::PlacementOptions MakePlacementOptions(const ForwarderOptions& options) {
  routing::PlacementOptions placement;
  placement.near_domain = options.failure_domain;
  placement.seed = options.seed;
  // A crashed backend server restarts within seconds and refuses connections until then.
  placement.breaker.first_pause = std::chrono::milliseconds(300);
  placement.breaker.longest_pause = std::chrono::seconds(2);
  placement.ignore_breakers_if_all_open = true;
  // A failure domain holds three or four servers of a service; all of them are compared.
  placement.choices = 4;
  placement.waiting_work = 3;
  // Loads are reported in responses only. An entry that considers all servers full sends nothing
  // and receives no new loads, so a reported load has to decay as fast as a queue of short calls
  // empties.
  placement.half_life = std::chrono::milliseconds(300);
  placement.mean_half_life = std::chrono::milliseconds(500);
  return placement;
}

std::string_view NameOf(routing::EngineSide side) {
  switch (side) {
    case routing::EngineSide::kAny:
      return "any";
    case routing::EngineSide::kStreams:
      return "streams";
    case routing::EngineSide::kPrompts:
      return "prompts";
    case routing::EngineSide::kDraining:
      return "draining";
  }
  return "unknown";
}

routing::Scheduler MakeScheduler() {
  routing::SchedulerOptions options;
  options.total_queue_limit = kMaxQueuedRequests;
  // A response after the target is worth more to the caller than none, but less than one in time.
  options.features.drop_late = false;
  options.features.demote_late = true;
  return routing::Scheduler::Create(std::move(options)).value();
}

}  // namespace

Forwarder::Forwarder(http::EventLoop& loop, ForwarderOptions options,
                     observability::Metrics& metrics)
    : loop_(loop),
      options_(std::move(options)),
      metrics_(metrics),
      random_(options_.seed),
      placement_(MakePlacementOptions(options_)),
      retry_budget_(options_.retry_budget),
      second_attempts_(options_.second_attempts),
      pool_(loop) {}

Forwarder::~Forwarder() = default;

void Forwarder::SetTable(std::shared_ptr<const routing::ForwardTable> table,
                         common::LogIndex index) {
  table_ = std::move(table);
  table_index_ = index;
  placement_.SetColdLimits(ColdLimits());
  ApplyBackends();
  log_.Info(LogLine("configuration_in_force")
                .Add("config_index", index.value())
                .Add("known", table_->known())
                .Add("routes", table_->configuration().routes.size())
                .Add("customers", table_->configuration().customers.size())
                .text());
  if (!table_->known()) return;
  for (const std::uint64_t number : std::exchange(held_, {})) {
    const auto found = exchanges_.find(number);
    if (found == exchanges_.end()) continue;
    const std::shared_ptr<Exchange> exchange = found->second;
    exchange->OnConfiguration();
  }
  ReviewUnconfirmed();
}

void Forwarder::SetControlView(ControlView view) {
  if (view.versions != control_view_.versions) {
    log_.Info(LogLine("configuration_version")
                  .Add("versions", view.versions)
                  .Add("config_index", table_index_.value())
                  .Add("parent", view.parent)
                  .text());
  }
  control_view_ = std::move(view);
  ReviewUnconfirmed();
}

void Forwarder::RequestConfirmation(common::Time now) {
  const auto interval = std::max(kConfirmationInterval, std::chrono::milliseconds(entries_));
  if (now - confirmation_requested_at_ < interval) return;
  confirmation_requested_at_ = now;
  if (options_.request_confirmation) options_.request_confirmation();
}

void Forwarder::ReviewUnconfirmed() {
  for (const std::uint64_t number : std::set<std::uint64_t>(unconfirmed_)) {
    const auto found = exchanges_.find(number);
    if (found == exchanges_.end()) continue;
    const std::shared_ptr<Exchange> exchange = found->second;
    exchange->OnConfirmation();
  }
}

bool Forwarder::MayHold() const noexcept {
  return held_.size() + unconfirmed_.size() < kMaxHeldRequests;
}

void Forwarder::SetBackends(const schema::BackendList& list, common::Time read_at) {
  if (list_read_at_ && read_at <= *list_read_at_) return;
  list_read_at_ = read_at;
  backends_ = list;
  ApplyBackends();
}

void Forwarder::ConfirmBackends(common::Time read_at) {
  if (!list_read_at_ || read_at <= *list_read_at_) return;
  list_read_at_ = read_at;
  ApplyWarmUps();
}

void Forwarder::ApplyWarmUps() {
  if (!list_read_at_) return;
  for (const schema::ListedBackend& backend : backends_.backends()) {
    placement_.SetWarmUp(common::BackendServerId(backend.id()),
                         std::chrono::milliseconds(backend.warm_up_ms()), *list_read_at_);
  }
}

std::map<std::string, routing::ColdLimit> Forwarder::ColdLimits() const {
  std::map<std::string, routing::ColdLimit> limits;
  for (const schema::Service& service : table_->configuration().services) {
    if (service.cold_requests_per_second() <= 0) continue;
    limits[service.id()] = {.requests_per_second = service.cold_requests_per_second(),
                            .overage = options_.cold_overage,
                            .slack = options_.cold_slack};
  }
  return limits;
}

void Forwarder::SetEntries(std::uint32_t entries, std::optional<std::uint32_t> index,
                           common::Time now) {
  // A new leader counts the entries only as they report to it, so the count may be too low.
  if (entries >= position_.entries || now - peak_entries_at_ > kEntryCountPeriod) {
    position_.entries = std::max(entries, 1U);
    position_.index = index;
    peak_entries_at_ = now;
    placement_.SetFleetPosition(position_);
  }
  if (entries == entries_) return;
  log_.Info(LogLine("entry_count").Add("entries", entries).Add("before", entries_).text());
  entries_ = entries;
  retry_budget_.SetEntryCount(entries);
  ApplyBackends();
}

void Forwarder::SetAgreedTime(common::UnixMillis agreed, common::Time at) {
  position_.shared_clock_offset = agreed - at.time_since_epoch();
  placement_.SetFleetPosition(position_);
}

std::uint32_t Forwarder::MaxConnections(const std::string& service) const {
  const schema::Service* known = table_ ? table_->FindService(service) : nullptr;
  if (known == nullptr || known->max_connections() == 0) return 0;
  const std::uint32_t entries = std::max(entries_, 1U);
  const double share = kConnectionShare * known->max_connections() / entries;
  return std::max(kMinConnections, static_cast<std::uint32_t>(share));
}

void Forwarder::ApplyBackends() {
  std::vector<routing::BackendDescription> descriptions;
  std::map<common::BackendServerId, ListedServer> present;
  std::vector<std::pair<common::BackendServerId, bool>> leaving;
  for (const schema::ListedBackend& backend : backends_.backends()) {
    const std::optional<http::Endpoint> address = http::ParseEndpoint(backend.address());
    if (!address) continue;
    const common::BackendServerId id(backend.id());
    // Of several entries with one id, the first counts.
    ListedServer server{.service = backend.service(), .lifetime = id.value()};
    if (backend.started_unix_ms() != 0) {
      server.lifetime += "@" + std::to_string(backend.started_unix_ms());
    }
    server.software_version = backend.software_version();
    server.failure_domain = common::FailureDomainId(backend.failure_domain());
    server.leaving = backend.leaving();
    if (server.leaving) {
      const auto known = servers_.find(id);
      if (known == servers_.end() || !known->second.leaving) {
        OnLoadSign(server.service, routing::LoadSign::kServerStatement, common::BootClock::now());
      }
    }
    server.cold = backend.warm_up_ms() > 0;
    if (!present.emplace(id, std::move(server)).second) continue;
    leaving.emplace_back(id, backend.leaving());
    pool_.Set(id, *address, MaxConnections(backend.service()));
    const schema::Service* service = table_ ? table_->FindService(backend.service()) : nullptr;
    descriptions.push_back(
        {.id = id,
         .failure_domain = common::FailureDomainId(backend.failure_domain()),
         .service = backend.service(),
         .software_version = backend.software_version(),
         .max_concurrency = backend.slots() == 0 ? kDefaultSlots : backend.slots(),
         .memory_tokens = service == nullptr ? 0 : service->engine().memory_tokens(),
         .lifetime = backend.address() + "/" + std::to_string(backend.started_unix_ms())});
  }
  placement_.SetBackends(descriptions);
  for (const auto& [id, is_leaving] : leaving) placement_.SetDraining(id, is_leaving);
  ApplyWarmUps();
  for (const auto& [id, server] : servers_) {
    if (present.contains(id)) continue;
    // The list no longer contains the backend server; it may still be running.
    pool_.Remove(id);
    log_.Info(
        LogLine("backend_gone").Add("backend", id.value()).Add("service", server.service).text());
  }
  for (const auto& [id, server] : present) {
    const auto known = servers_.find(id);
    const bool was_cold = known != servers_.end() && known->second.cold;
    if (server.cold != was_cold) {
      log_.Info(LogLine("backend_warm_up")
                    .Add("backend", id.value())
                    .Add("service", server.service)
                    .Add("cold", server.cold)
                    .text());
    }
    if (known != servers_.end()) continue;
    log_.Info(LogLine("backend_listed")
                  .Add("backend", id.value())
                  .Add("service", server.service)
                  .Add("version", server.software_version)
                  .text());
  }
  RecordEndedServers(present);
  servers_ = std::move(present);
}

void Forwarder::RecordEndedServers(const std::map<common::BackendServerId, ListedServer>& listed) {
  const common::Time now = common::BootClock::now();
  for (const auto& [id, server] : servers_) {
    const auto found = listed.find(id);
    if (server.leaving || (found != listed.end() && found->second.lifetime == server.lifetime)) {
      continue;
    }
    for (const auto& [property, crashes] : crash_guard_.OnServerEnded(server.lifetime, now)) {
      log_.Warn(LogLine("crash_property_candidate")
                    .Add("property", property)
                    .Add("backend", server.lifetime)
                    .Add("crashes", crashes)
                    .text());
      metrics_.CountEvent("crash_property_candidate");
    }
  }
}

std::string Forwarder::LifetimeOf(const common::BackendServerId& id) const {
  const auto found = servers_.find(id);
  return found == servers_.end() ? id.value() : found->second.lifetime;
}

std::string Forwarder::VersionOf(const common::BackendServerId& id) const {
  const auto found = servers_.find(id);
  return found == servers_.end() ? std::string() : found->second.software_version;
}

common::FailureDomainId Forwarder::DomainOf(const common::BackendServerId& id) const {
  const auto found = servers_.find(id);
  return found == servers_.end() ? common::FailureDomainId() : found->second.failure_domain;
}

std::set<std::string> Forwarder::VersionsOf(const std::string& service) const {
  std::set<std::string> versions;
  for (const auto& [id, server] : servers_) {
    if (server.service == service) versions.insert(server.software_version);
  }
  return versions;
}

void Forwarder::OnStreamBatchApplied(const schema::CommandResult& result) {
  for (const routing::StreamLookupAnswer& answer : stream_versions_.OnBatchApplied(result)) {
    const auto found = exchanges_.find(answer.ticket);
    if (found == exchanges_.end()) continue;
    const std::shared_ptr<Exchange> exchange = found->second;
    exchange->OnStreamLookup(answer);
  }
}

std::uint32_t Forwarder::CountServers(const std::string& service) const {
  return static_cast<std::uint32_t>(
      std::count_if(servers_.begin(), servers_.end(),
                    [&](const auto& item) { return item.second.service == service; }));
}

routing::ServiceStreams Forwarder::DescribeEngines(const std::string& service) const {
  routing::ServiceStreams streams;
  std::set<std::string> domains;
  for (const schema::ListedBackend& backend : backends_.backends()) {
    if (backend.service() != service || backend.leaving()) continue;
    if (draining_domains_.contains(common::FailureDomainId(backend.failure_domain()))) continue;
    ++streams.engines;
    streams.slots += backend.slots() == 0 ? kDefaultSlots : backend.slots();
    domains.insert(backend.failure_domain());
  }
  streams.failure_domains = static_cast<std::uint32_t>(domains.size());
  const auto division = divisions_.find(service);
  if (division != divisions_.end()) streams.division = division->second;
  return streams;
}

std::map<std::string, routing::ServiceStreams> Forwarder::Streams(common::Time now) {
  std::map<std::string, routing::ServiceStreams> streams;
  for (auto& [service, state] : services_) {
    std::vector<routing::GapClass> classes = state.gap_classes.Classes(now);
    if (classes.empty() && !divisions_.contains(service)) continue;
    routing::ServiceStreams& described = streams[service];
    described = DescribeEngines(service);
    described.classes = std::move(classes);
  }
  return streams;
}

void Forwarder::SetDrainingDomains(const std::set<common::FailureDomainId>& domains) {
  if (domains == draining_domains_) return;
  for (const common::FailureDomainId& domain : domains) {
    if (draining_domains_.contains(domain)) continue;
    log_.Info(LogLine("failure_domain_draining").Add("failure_domain", domain.value()).text());
    metrics_.CountEvent("failure_domain_draining");
  }
  for (const common::FailureDomainId& domain : draining_domains_) {
    if (domains.contains(domain)) continue;
    log_.Info(LogLine("failure_domain_restored").Add("failure_domain", domain.value()).text());
    metrics_.CountEvent("failure_domain_restored");
  }
  draining_domains_ = domains;
  placement_.SetDrainingDomains(domains, common::BootClock::now());
  for (const auto& exchange : OpenExchanges()) exchange->OnDrained();
}

void Forwarder::SetDivisions(const std::map<std::string, routing::EngineDivision>& divisions) {
  if (divisions == divisions_) return;
  const auto log = [this](const std::string& service, const routing::EngineDivision& division) {
    log_.Info(LogLine("engine_division")
                  .Add("service", service)
                  .Add("streams", division.stream_engines)
                  .Add("draining", division.draining_engines)
                  .Add("max_gap_ms", division.max_gap_target.count())
                  .text());
  };
  for (const auto& [service, division] : divisions_) {
    if (!divisions.contains(service)) log(service, {});
  }
  for (const auto& [service, division] : divisions) {
    const auto known = divisions_.find(service);
    if (known == divisions_.end() || known->second != division) log(service, division);
  }
  metrics_.CountEvent("engine_division");
  divisions_ = divisions;
  placement_.SetDivisions(divisions);
}

void Forwarder::SetCrashEvidence(const std::vector<schema::CrashEvidence>& rows) {
  std::set<std::string> held;
  for (const schema::CrashEvidence& row : rows) {
    if (!row.held()) continue;
    held.insert(row.property());
    if (held_properties_.contains(row.property())) continue;
    std::string servers;
    for (const std::string& server : row.backend_servers()) {
      servers += (servers.empty() ? "" : ",") + server;
    }
    log_.Warn(LogLine("crash_property_held")
                  .Add("property", row.property())
                  .Add("crashes", row.crashes())
                  .Add("servers", servers)
                  .Add("next_trial_unix_ms", row.next_trial_unix_ms())
                  .text());
    metrics_.CountEvent("crash_property_held");
  }
  for (const std::string& property : held_properties_) {
    if (held.contains(property)) continue;
    log_.Info(LogLine("crash_property_cleared").Add("property", property).text());
    metrics_.CountEvent("crash_property_cleared");
  }
  held_properties_ = std::move(held);
  crash_guard_.SetRows(rows);
}

Forwarder::ServiceState& Forwarder::StateOf(const std::string& service) {
  const auto found = services_.find(service);
  if (found != services_.end()) return found->second;
  return services_
      .emplace(service, ServiceState{.scheduler = MakeScheduler(),
                                     .prompts = {},
                                     .gap_classes = {},
                                     .exchanges = {},
                                     .memory_waits = 0,
                                     .memory_waits_logged_at = {}})
      .first->second;
}

void Forwarder::Handle(std::shared_ptr<http::IncomingRequest> request) {
  const std::uint64_t number = next_exchange_++;
  auto exchange = std::make_shared<Exchange>(*this, number, std::move(request));
  exchanges_[number] = exchange;
  exchange->Start();
}

common::Duration Forwarder::ExpectedWait(const std::string& service, const common::Tier& tier,
                                         common::Time now) {
  const routing::Capability capability{.service = service};
  const auto next = placement_.NextAdmission(capability, now);
  if (!next) return common::Duration(0);
  const std::optional<double> rate = placement_.AdmittedRate(capability);
  if (!rate) return *next - now;
  const auto ahead = static_cast<double>(StateOf(service).scheduler.QueuedUpTo(tier));
  return *next - now + common::FromSeconds(ahead / *rate);
}

std::chrono::milliseconds Forwarder::RetryDelay(const std::string& service,
                                                const common::Tier& tier, common::Time now) {
  const common::Duration wait = ExpectedWait(service, tier, now);
  return std::clamp(std::chrono::duration_cast<std::chrono::milliseconds>(wait), kMinRetryDelay,
                    kMaxRetryDelay);
}

void Forwarder::Enqueue(const std::string& service, const routing::ClassPolicy& policy,
                        routing::QueuedRequest request, Exchange& exchange) {
  ServiceState& state = StateOf(service);
  state.scheduler.SetClass(policy);
  state.exchanges[request.id] = &exchange;
  HandleDropped(state, state.scheduler.Enqueue(std::move(request), common::BootClock::now()));
  DispatchQueued(service);
}

void Forwarder::HandleDropped(ServiceState& state,
                              const std::vector<routing::DroppedRequest>& dropped) {
  for (const routing::DroppedRequest& one : dropped) {
    const auto found = state.exchanges.find(one.request.id);
    if (found == state.exchanges.end()) continue;
    const std::shared_ptr<Exchange> exchange = found->second->shared_from_this();
    state.exchanges.erase(found);
    exchange->OnDropped(one.reason);
  }
}

void Forwarder::DispatchQueued(const std::string& service) {
  ServiceState& state = StateOf(service);
  const common::Time now = common::BootClock::now();
  placement_.Refresh(now);
  const auto admits = [&](const routing::QueuedRequest& request, common::Tier tier) {
    const routing::EngineSide side = placement_.SideOf(service, request.gap_target);
    return request.work <= 1 || state.PromptsOf(side).Admits(request.work, tier);
  };
  const auto on_lack_of_memory = [&state](const routing::QueuedRequest& request) {
    const auto found = state.exchanges.find(request.id);
    if (found != state.exchanges.end()) found->second->OnLackOfMemory();
  };
  while (auto dispatch =
             routing::NextDispatch(state.scheduler, placement_, now, admits, on_lack_of_memory)) {
    const auto found = state.exchanges.find(dispatch->picked.request.id);
    if (found == state.exchanges.end()) continue;
    const std::shared_ptr<Exchange> exchange = found->second->shared_from_this();
    exchange->OnPlaced(*dispatch);
  }
  HandleDropped(state, state.scheduler.TakeDropped());
}

void Forwarder::LogPromptLimit(const std::string& service, ServiceState& state,
                               routing::EngineSide side) {
  PromptState& prompts = state.prompts[static_cast<std::size_t>(side)];
  const double limit = prompts.limiter.limit();
  const double logged = prompts.logged_limit;
  if (limit > logged / kLoggedLimitChange && limit < logged * kLoggedLimitChange) return;
  prompts.logged_limit = limit;
  // "limit", "before" and "waiting" are in units of QueuedRequest::work, "queued" in requests.
  log_.Info(LogLine("prompt_limit")
                .Add("service", service)
                .Add("side", NameOf(side))
                .Add("limit", limit)
                .Add("before", logged)
                .Add("waiting", prompts.limiter.waiting())
                .Add("queued", state.scheduler.queued())
                .text());
}

void Forwarder::LogMemoryWaits(const std::string& service, ServiceState& state, common::Time now) {
  if (state.memory_waits == 0 || now - state.memory_waits_logged_at < kMemoryLogInterval) return;
  state.memory_waits_logged_at = now;
  log_.Info(LogLine("engine_memory")
                .Add("service", service)
                .Add("waited", std::exchange(state.memory_waits, 0))
                .Add("queued", state.scheduler.queued())
                .text());
}

std::vector<std::shared_ptr<Exchange>> Forwarder::OpenExchanges() const {
  std::vector<std::shared_ptr<Exchange>> exchanges;
  exchanges.reserve(exchanges_.size());
  for (const auto& [number, exchange] : exchanges_) exchanges.push_back(exchange);
  return exchanges;
}

void Forwarder::EndAll() {
  for (const auto& exchange : OpenExchanges()) exchange->OnStop();
}

void Forwarder::Tick(common::Time now) {
  CheckLoad(now);
  if (!unconfirmed_.empty()) RequestConfirmation(now);
  for (const auto& exchange : OpenExchanges()) exchange->CheckTimeouts(now);
  for (auto& [service, state] : services_) {
    for (const routing::EngineSide side : {routing::EngineSide::kAny, routing::EngineSide::kStreams,
                                           routing::EngineSide::kPrompts}) {
      LogPromptLimit(service, state, side);
    }
    LogMemoryWaits(service, state, now);
    if (state.scheduler.queued() == 0) continue;
    state.scheduler.DropLate(now);
    DispatchQueued(service);
  }
  pool_.CloseExpired(now);
  crash_guard_.Expire(now);
  stream_versions_.Expire(now);
}

}  // namespace briarwood::forwarding::impl
