#include "soak/soak_run.h"

#include <unistd.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <ostream>
#include <utility>
#include <vector>

#include "briarwood/rpc/client.h"
#include "fleet.pb.h"
#include "soak/answer_checker.h"
#include "soak/caller.h"
#include "soak/configuration_source.h"
#include "soak/crashing_part_checker.h"
#include "soak/disturbance_log.h"
#include "soak/fake_backend.h"
#include "soak/fake_platform.h"
#include "soak/fault_plan.h"
#include "soak/fleet.h"
#include "soak/invariant_checkers.h"
#include "soak/operators.h"
#include "soak/statement_checker.h"

namespace briarwood::soak {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds kStepDuration{20};
constexpr milliseconds kStartTimeout{15000};
/// Time for the system to recover after the last fault.
constexpr seconds kRecoveryPeriod{12};
constexpr milliseconds kStopTimeout{8000};
constexpr milliseconds kBackendRestartDelay{1500};
/// Time for which a backend server is listed as draining before it stops.
constexpr milliseconds kDrainPeriod{4500};
/// Minimum share of calls that are served in the calm phase.
constexpr double kMinServedShareWhenCalm = 0.99;
constexpr milliseconds kLinkDelay{40};
/// Limit that a backend server states, requests per second of all entries.
constexpr double kStatedLimit = 2;
constexpr milliseconds kStatedBackOff{1500};
/// Time from a server's statement that it leaves until the list shows it.
constexpr milliseconds kListedAfterStatement{2500};
/// Times between the steps of FaultKind::kStopEntriesInTurn.
constexpr milliseconds kStopInterval{1200};
constexpr milliseconds kReloadToStop{100};
constexpr milliseconds kStopToReload{700};
/// Maximum time until the callers' last calls have ended.
constexpr seconds kLastCallTimeout{12};

/// One caller of this many is slow.
constexpr std::size_t kSlowCallerInterval = 4;
/// Part of the disturbances: faults of any member.
constexpr const char* kCore = "core";
constexpr milliseconds kTableReadTimeout{2000};
constexpr std::size_t kCrashingCallers = 3;
constexpr std::size_t kPlainBackends = 3;
constexpr std::size_t kStreamBackends = 4;
constexpr std::size_t kFirstBackendHost = 70;
constexpr std::size_t kProxyOffset = 100;
constexpr const char* kPlatformHost = "5";
constexpr const char* kPlatformProxy = "105";
constexpr const char* kPort = ":28373";
constexpr std::uint16_t kOk = 200;

/// Fake backend server with its link and its state in the platform's list.
struct Backend {
  std::unique_ptr<FakeBackend> server;
  std::unique_ptr<Link> link;
  std::string failure_domain;
  int lifetime = 0;
  bool draining = false;
  std::optional<common::Time> start_at;
  std::optional<common::Time> end_at;
};

/// Later step of a fault, such as its end.
struct FaultStep {
  common::Time at;
  std::function<void()> run;
};

/// \returns the values of the rows of the configuration that a member serves, by kind and id.
/// Throws
///   rpc::RpcError.
std::map<std::string, std::string> ReadConfigurationRows(const std::string& rpc_address) {
  rpc::Client client({.address = rpc_address, .timeout = kTableReadTimeout});
  const auto response = client.Call<schema::SyncResponse>("Sync", schema::SyncRequest());
  std::map<std::string, std::string> rows;
  for (const schema::Row& row : response.rows()) {
    switch (row.kind()) {
      case schema::ROW_KIND_CUSTOMER:
      case schema::ROW_KIND_FORWARD_ROUTE:
      case schema::ROW_KIND_SERVICE:
      case schema::ROW_KIND_CALLER_LIMITS:
        rows[std::to_string(row.kind()) + " " + row.id()] = row.value();
        break;
      default:
        break;
    }
  }
  return rows;
}

struct CallCounts {
  std::size_t calls = 0;
  std::size_t served = 0;
  std::size_t rejected = 0;
  std::size_t failed = 0;
  std::size_t unanswered = 0;
  std::size_t disconnected = 0;
};

class Soak {
 public:
  Soak(const SoakOptions& options, std::ostream& report)
      : options_(options), report_(report), random_(options.seed) {
    // Concurrent runs use different loopback addresses.
    constexpr int kOctets = 200;
    const int process = ::getpid();
    network_ = "127." + std::to_string(10 + process / kOctets % kOctets) + "." +
               std::to_string(10 + process % kOctets) + ".";
  }

  bool Run() {
    SetUp();
    plan_ = MakeFaultPlan({.seed = options_.seed,
                           .duration = options_.faults,
                           .mean_interval = options_.mean_interval,
                           .crash_on_part = options_.crash_on_part,
                           .replace_members = options_.replace_members,
                           .members = options_.members});
    RunFaults();
    RunCalm();
    ReadBack();
    CompareTables();
    StopAll();
    Report();
    return log_.count() == 0;
  }

 private:
  void SetUp() {
    namespace fs = std::filesystem;
    fs::remove_all(options_.folder);
    fs::create_directories(options_.folder);
    StartBackends();
    StartPlatform();
    StartDaemons();
    StartTraffic();
    const common::Time start_deadline = common::BootClock::now() + kStartTimeout;
    while (common::BootClock::now() < start_deadline && counts_.served < options_.callers) Step();
    if (counts_.served == 0) throw SoakError("no call was served before the start timeout");
    counts_ = {};
  }

  [[nodiscard]] std::string Address(std::size_t host) const {
    return network_ + std::to_string(host) + kPort;
  }

  static std::unique_ptr<Link> ValueOrThrow(common::Result<std::unique_ptr<Link>> link) {
    if (!link.ok()) throw SoakError(link.error());
    return std::move(link).value();
  }

  void StartBackends() {
    for (std::size_t i = 0; i < kPlainBackends + kStreamBackends; ++i) {
      const bool plain = i < kPlainBackends;
      Backend& backend = backends_.emplace_back();
      const std::size_t host = kFirstBackendHost + i;
      constexpr std::uint32_t kStreamSlots = 16;
      backend.server = std::make_unique<FakeBackend>(
          loop_,
          BackendOptions{
              .service = plain ? "app" : "llm",
              .listen = Address(host),
              .slots = plain ? 8 : kStreamSlots,
              .on_run =
                  [this, link = Address(host + kProxyOffset)](const RunCall& run) {
                    const common::Time now = common::BootClock::now();
                    requests_.OnRun(run, now);
                    answers_.OnRun(run.id, run.backend_server, link, now);
                  },
              .on_arrival =
                  [this, i, link = Address(host + kProxyOffset)](const std::string& id) {
                    statements_.OnArrival(backends_[i].server->id(), requests_.EntryOf(id), link,
                                          common::BootClock::now());
                  },
              .on_statement =
                  [this, i](const std::string& id, const routing::ServerStatement& statement) {
                    statements_.OnStatement(backends_[i].server->id(), requests_.EntryOf(id),
                                            statement, common::BootClock::now());
                  },
              .on_crashing_arrival = [this](const std::string& id) { CountCrashingArrival(id); },
              .on_crashing_run =
                  [this, i] {
                    const common::Time now = common::BootClock::now();
                    crashing_part_.OnCrash(now);
                    CrashBackend(backends_[i], now);
                  }});
      backend.link = ValueOrThrow(Link::Start(loop_, Address(host + kProxyOffset), Address(host)));
      backend.failure_domain = "domain-" + std::to_string(i % 3);
      StartBackend(backend);
    }
  }

  void StartBackend(Backend& backend) {
    const std::string id = backend.server->options().service + "-" +
                           backend.server->options().listen.substr(network_.size()) + "-" +
                           std::to_string(++backend.lifetime);
    if (const std::string problem = backend.server->Start(id); !problem.empty()) {
      throw SoakError(problem);
    }
    backend.draining = false;
    backend.start_at.reset();
    backend.end_at.reset();
  }

  /// Ends the server's process: its connections are reset, or closed inside an event.
  void CrashBackend(Backend& backend, common::Time now) {
    disturbances_.Add(backend.server->id(), now);
    if (random_.Chance(0.5)) backend.link->Reset();
    backend.server->Crash(/*inside_event=*/true);
    backend.start_at = now + kBackendRestartDelay;
  }

  void CountCrashingArrival(const std::string& id) {
    const common::Time now = common::BootClock::now();
    const std::string entry = requests_.EntryOf(id);
    const common::Time from = now - CrashingPartBounds{}.contact_period;
    crashing_part_.OnArrival(now, !disturbances_.Affected(entry, from, now) &&
                                      !disturbances_.Affected(RestartOf(entry), from, now));
  }

  void BeginCrashOnPart(const PlannedFault& fault, common::Time now) {
    const std::string part = "f" + std::to_string(fault.target);
    for (Backend& backend : backends_) backend.server->SetCrashingPart(part);
    crashing_part_.Begin(now);
    for (std::size_t i = 0; i < kCrashingCallers; ++i) {
      crashing_callers_.push_back(std::make_shared<Caller>(
          loop_,
          CallerOptions{.name = "s" + std::to_string(options_.seed) + "-crash-" + std::to_string(i),
                        .seed = random_.Next(),
                        .customer = kCustomerA,
                        .key = kKeyA,
                        .entries = ListenersOf(entries_),
                        .extra_part = part,
                        .on_outcome =
                            [this](const CallOutcome& outcome) {
                              answers_.OnEnded(outcome, TimeoutOf(outcome.kind));
                            }},
          requests_));
      crashing_callers_.back()->Start();
    }
  }

  void EndCrashOnPart() {
    for (const auto& caller : crashing_callers_) caller->Stop();
    crashing_part_.End(common::BootClock::now());
    for (Backend& backend : backends_) backend.server->SetCrashingPart({});
  }

  void StartPlatform() {
    auto platform = FakePlatform::Start(
        loop_, network_ + kPlatformHost + kPort, [this] { return ListServers(); }, usage_);
    if (!platform.ok()) throw SoakError(platform.error());
    platform_ = std::move(platform).value();
    platform_link_ = ValueOrThrow(
        Link::Start(loop_, network_ + kPlatformProxy + kPort, network_ + kPlatformHost + kPort));
  }

  [[nodiscard]] std::vector<ListedServer> ListServers() const {
    std::vector<ListedServer> servers;
    servers.reserve(backends_.size());
    for (const Backend& backend : backends_) {
      servers.push_back({.id = backend.server->id(),
                         .service = backend.server->options().service,
                         .address = backend.link->address(),
                         .failure_domain = backend.failure_domain,
                         .slots = backend.server->options().slots,
                         .draining = backend.draining});
    }
    return servers;
  }

  void StartDaemons() {
    fleet_ = FleetOptions{.programs = options_.programs,
                          .templates = options_.templates,
                          .folder = options_.folder,
                          .network = network_,
                          .members = options_.members,
                          .entries = options_.entries,
                          .platform = platform_link_->address()};
    for (std::size_t i = 0; i < options_.members; ++i) {
      members_.push_back(std::make_unique<Daemon>(loop_, fleet_, Daemon::Role::kMember, i));
    }
    next_member_ = options_.members;
    for (std::size_t i = 0; i < options_.entries; ++i) {
      entries_.push_back(std::make_unique<Daemon>(loop_, fleet_, Daemon::Role::kEntry, i));
    }
    for (Daemon* daemon : Daemons()) {
      daemon->Start(/*bootstrap=*/true);
      links_.push_back(&daemon->http_link());
      links_.push_back(&daemon->rpc_link());
    }
    for (const Backend& backend : backends_) links_.push_back(backend.link.get());
    links_.push_back(platform_link_.get());
  }

  /// True if no fault affected the entry, the members or their links in this time.
  [[nodiscard]] bool InTouch(const std::string& entry, common::Time from, common::Time to) const {
    if (no_majority_at_ >= from) return false;
    std::vector<std::string> parts{kCore, entry, RestartOf(entry)};
    const auto add_links = [&](Daemon& daemon) {
      parts.push_back(daemon.http_link().address());
      parts.push_back(daemon.rpc_link().address());
    };
    for (const auto& member : members_) {
      parts.push_back(member->name());
      parts.push_back(RestartOf(member->name()));
      add_links(*member);
    }
    for (const auto& daemon : entries_) {
      if (daemon->name() == entry) add_links(*daemon);
    }
    return std::none_of(parts.begin(), parts.end(), [&](const std::string& part) {
      return disturbances_.Affected(part, from, to);
    });
  }

  [[nodiscard]] std::vector<Daemon*> Daemons() const {
    std::vector<Daemon*> daemons;
    daemons.reserve(members_.size() + entries_.size());
    for (const auto& member : members_) daemons.push_back(member.get());
    for (const auto& entry : entries_) daemons.push_back(entry.get());
    return daemons;
  }

  static std::vector<Listener> ListenersOf(const std::vector<std::unique_ptr<Daemon>>& daemons) {
    std::vector<Listener> listeners;
    listeners.reserve(daemons.size());
    for (const auto& daemon : daemons) {
      listeners.push_back({.name = daemon->name(),
                           .address = daemon->http_link().address(),
                           .lifetime = [daemon = daemon.get()] { return daemon->lifetime(); }});
    }
    return listeners;
  }

  void StartTraffic() {
    constexpr int kWriters = 2;
    for (int i = 0; i < kWriters; ++i) {
      writers_.push_back(std::make_shared<ConfigurationWriter>(
          loop_, random_.Next(), ListenersOf(members_), versions_, configurations_));
      writers_.back()->Start();
    }
    probe_ =
        std::make_shared<ConfigurationProbe>(loop_, random_.Next(), ListenersOf(members_),
                                             ListenersOf(entries_), configurations_, requests_);
    probe_->Start();
    for (std::size_t i = 0; i < options_.callers; ++i) {
      const bool first = i % 2 == 0;
      callers_.push_back(std::make_shared<Caller>(
          loop_,
          CallerOptions{
              .name = "s" + std::to_string(options_.seed) + "-call-" + std::to_string(i),
              .seed = random_.Next(),
              .customer = first ? kCustomerA : kCustomerB,
              .key = first ? kKeyA : kKeyB,
              .entries = ListenersOf(entries_),
              .slow = i % kSlowCallerInterval == kSlowCallerInterval - 1,
              .on_outcome = [this](const CallOutcome& outcome) { CountOutcome(outcome); }},
          requests_));
      callers_.back()->Start();
    }
  }

  void CountOutcome(const CallOutcome& outcome) {
    constexpr std::uint16_t kUnavailable = 503;
    answers_.OnEnded(outcome, TimeoutOf(outcome.kind));
    const bool stream =
        outcome.kind == CallKind::kStream || outcome.kind == CallKind::kResumableStream;
    if (stream && !outcome.disconnected && !plan_.empty()) {
      crashing_part_.OnSoundCall(outcome.sent_at, outcome.status == kOk && outcome.complete);
    }
    ++counts_.calls;
    if (outcome.disconnected) {
      ++counts_.disconnected;
    } else if (outcome.status == kOk && outcome.complete) {
      ++counts_.served;
    } else if (outcome.status == kUnavailable) {
      ++counts_.rejected;
    } else if (outcome.status == 0) {
      ++counts_.unanswered;
    } else {
      ++counts_.failed;
    }
    if (calm_since_ && outcome.sent_at >= *calm_since_ && !outcome.disconnected &&
        !(outcome.status == kOk && outcome.complete)) {
      calm_failures_.push_back(outcome);
    }
  }

  /// Runs the event loop for one step, then updates processes, backend servers and expired faults.
  void Step() {
    if (loop_.stopped()) loop_.restart();
    loop_.run_for(kStepDuration);
    const common::Time now = common::BootClock::now();
    for (Daemon* daemon : Daemons()) {
      const std::uint64_t lifetime = daemon->lifetime();
      if (!daemon->Check(now, log_)) disturbances_.Add(daemon->name(), now);
      if (daemon->lifetime() != lifetime) disturbances_.Add(RestartOf(daemon->name()), now);
    }
    const auto running = std::count_if(members_.begin(), members_.end(),
                                       [](const auto& member) { return member->running(); });
    if (2 * static_cast<std::size_t>(running) <= options_.members) no_majority_at_ = now;
    for (Backend& backend : backends_) {
      if (backend.end_at && now >= *backend.end_at) {
        CrashBackend(backend, now);
        backend.end_at.reset();
      }
      if (backend.start_at && now >= *backend.start_at) StartBackend(backend);
    }
    std::vector<FaultStep> due;
    for (auto step = fault_steps_.begin(); step != fault_steps_.end();) {
      if (step->at > now) {
        ++step;
        continue;
      }
      due.push_back(std::move(*step));
      step = fault_steps_.erase(step);
    }
    for (const FaultStep& step : due) step.run();
  }

  void RunFor(common::Duration duration) {
    const common::Time end = common::BootClock::now() + duration;
    while (common::BootClock::now() < end) Step();
  }

  void RunFaults() {
    faults_since_ = common::BootClock::now();
    for (const PlannedFault& fault : plan_) {
      while (common::BootClock::now() < faults_since_ + fault.at) Step();
      ApplyFault(fault, common::BootClock::now());
    }
    while (common::BootClock::now() < faults_since_ + options_.faults) Step();
    for (const FaultStep& step : std::exchange(fault_steps_, {})) step.run();
  }

  void RunAt(common::Time at, std::function<void()> run) {
    fault_steps_.push_back({.at = at, .run = std::move(run)});
  }

  /// Records a fault of `part` that lasts until `fault_end` runs.
  void EndAfter(const PlannedFault& fault, common::Time now, const std::string& part,
                const std::function<void()>& fault_end) {
    disturbances_.Begin(part, now);
    RunAt(now + fault.duration, [this, part, fault_end] {
      fault_end();
      disturbances_.End(part, common::BootClock::now());
    });
  }

  void StopEntry(Daemon& entry, common::Time now) {
    if (!entry.Stop(now)) return;
    answers_.OnStopped(entry.name(), entry.lifetime(), now);
    disturbances_.Add(RestartOf(entry.name()), now);
  }

  void StopEntriesInTurn(common::Time now) {
    for (std::size_t i = 0; i < entries_.size(); ++i) {
      Daemon& entry = *entries_[i];
      const common::Time at = now + kStopInterval * static_cast<int>(i);
      RunAt(at, [&entry] { entry.Reload(); });
      RunAt(at + kReloadToStop, [this, &entry] { StopEntry(entry, common::BootClock::now()); });
      RunAt(at + kReloadToStop + kStopToReload, [&entry] { entry.Reload(); });
    }
  }

  void RecordFault(const PlannedFault& fault, common::Time now) const {
    const auto at = std::chrono::duration_cast<milliseconds>(now - faults_since_).count();
    const auto lasts = std::chrono::duration_cast<milliseconds>(fault.duration).count();
    std::ofstream(options_.folder + "/faults.txt", std::ios::app)
        << at << " ms: " << NameOf(fault.kind) << ", entry " << fault.target % entries_.size() + 1
        << " or member " << fault.target % members_.size() + 1 << " or link "
        << links_[fault.target % links_.size()]->address() << " or server "
        << backends_[fault.target % backends_.size()].server->id() << ", for " << lasts << " ms\n";
  }

  void ApplyFault(const PlannedFault& fault, common::Time now) {
    RecordFault(fault, now);
    Daemon& member = *members_[fault.target % members_.size()];
    Daemon& entry = *entries_[fault.target % entries_.size()];
    Link& link = *links_[fault.target % links_.size()];
    Backend& backend = backends_[fault.target % backends_.size()];
    switch (fault.kind) {
      case FaultKind::kKillEntry:
        disturbances_.Add(entry.name(), now);
        entry.Kill(now);
        break;
      case FaultKind::kPauseEntry:
        Pause(entry, fault, now);
        break;
      case FaultKind::kStopEntry:
        StopEntry(entry, now);
        break;
      case FaultKind::kKillMember:
        disturbances_.Add(kCore, now);
        member.Kill(now);
        break;
      case FaultKind::kPauseMember:
        Pause(member, fault, now);
        break;
      case FaultKind::kStopMember:
        disturbances_.Add(kCore, now);
        member.Stop(now);
        break;
      case FaultKind::kKillAllMembers:
        disturbances_.Add(kCore, now);
        for (const auto& each_member : members_) {
          each_member->Kill(now, options_.replace_members ? fault.duration : kRestartDelay);
        }
        break;
      case FaultKind::kWipeMember:
        disturbances_.Add(kCore, now);
        member.Wipe(now);
        break;
      case FaultKind::kTearLog:
        disturbances_.Add(kCore, now);
        member.TearLog(now, fault.target);
        break;
      case FaultKind::kReload:
        (fault.target % 2 == 0 ? member : entry).Reload();
        break;
      case FaultKind::kDelayLink:
        link.SetDelay(kLinkDelay);
        EndAfter(fault, now, link.address(), [&link] { link.SetDelay(milliseconds(0)); });
        break;
      case FaultKind::kResetLink:
        disturbances_.Add(link.address(), now);
        link.Reset();
        break;
      case FaultKind::kCutToServer:
        link.CutToServer(true);
        EndAfter(fault, now, link.address(), [&link] { link.CutToServer(false); });
        break;
      case FaultKind::kCutFromServer:
        link.CutFromServer(true);
        EndAfter(fault, now, link.address(), [&link] { link.CutFromServer(false); });
        break;
      case FaultKind::kSilenceLink:
        disturbances_.Add(link.address(), now);
        link.Silence();
        break;
      case FaultKind::kCrashBackend:
        CrashBackend(backend, now);
        break;
      case FaultKind::kReplaceBackend:
        if (backend.draining || backend.start_at || backend.end_at) break;
        backend.draining = true;
        backend.end_at = now + kDrainPeriod;
        break;
      case FaultKind::kPlatformDown:
        platform_->SetUnavailable(true);
        EndAfter(fault, now, platform_link_->address(),
                 [this] { platform_->SetUnavailable(false); });
        break;
      case FaultKind::kQuietBackend:
        backend.server->SetQuiet(true);
        RunAt(now + fault.duration, [&backend] { backend.server->SetQuiet(false); });
        break;
      case FaultKind::kStopEntriesInTurn:
        StopEntriesInTurn(now);
        break;
      case FaultKind::kLimitBackend:
        if (MayState(backend)) LimitBackend(backend, fault, now);
        break;
      case FaultKind::kLeavingBackend:
        if (MayState(backend)) LeaveBackend(backend, now);
        break;
      case FaultKind::kBackOffBackend:
        if (!MayState(backend)) break;
        BackOffBackend(backend);
        RunAt(now + fault.duration, [&backend, id = backend.server->id()] {
          if (backend.server->id() == id) backend.server->SetStatement({});
        });
        break;
      case FaultKind::kCrashOnPart:
        BeginCrashOnPart(fault, now);
        RunAt(now + fault.duration, [this] { EndCrashOnPart(); });
        break;
      case FaultKind::kReplaceMember:
        ReplaceMember(fault, now);
        break;
      case FaultKind::kLoseSpareMember:
        LoseSpareMember(fault, now);
        break;
      case FaultKind::kDarkLeader: {
        Daemon& leader = Leader();
        leader.TakePower();
        EndAfter(fault, now, kCore, [&leader] { leader.RestorePower(common::BootClock::now()); });
        break;
      }
    }
  }

  /// An empty machine joins the group and is lost before it votes.
  void LoseSpareMember(const PlannedFault& fault, common::Time now) {
    disturbances_.Add(kCore, now);
    lost_members_.push_back(StartEmptyMember());
    Daemon* spare = lost_members_.back().get();
    RunAt(now + fault.duration, [this, spare] {
      disturbances_.Add(kCore, common::BootClock::now());
      spare->TakePower();
    });
  }

  /// \returns the member that has led in the highest term.
  [[nodiscard]] Daemon& Leader() const {
    return **std::max_element(members_.begin(), members_.end(),
                              [](const auto& left, const auto& right) {
                                return left->HighestLedTerm() < right->HighestLedTerm();
                              });
  }

  /// The machine of a member is lost for good; an empty one joins at another address.
  void ReplaceMember(const PlannedFault& fault, common::Time now) {
    const std::size_t index = fault.target % members_.size();
    disturbances_.Add(kCore, now);
    members_[index]->TakePower();
    lost_members_.push_back(std::move(members_[index]));
    members_.erase(members_.begin() + static_cast<std::ptrdiff_t>(index));
    UpdateMembers();
    RunAt(now + fault.duration, [this] { AddMember(); });
  }

  void AddMember() {
    disturbances_.Add(kCore, common::BootClock::now());
    members_.push_back(StartEmptyMember());
    UpdateMembers();
  }

  [[nodiscard]] std::unique_ptr<Daemon> StartEmptyMember() {
    auto member = std::make_unique<Daemon>(loop_, fleet_, Daemon::Role::kMember, next_member_++);
    std::vector<std::string> seeds;
    for (const auto& running : members_) seeds.push_back(running->http_link().address());
    member->SetSeeds(std::move(seeds));
    member->Start(/*bootstrap=*/false);
    return member;
  }

  void UpdateMembers() {
    for (const auto& writer : writers_) writer->SetMembers(ListenersOf(members_));
    probe_->SetMembers(ListenersOf(members_));
  }

  static bool MayState(const Backend& backend) {
    return !backend.draining && !backend.start_at && !backend.end_at &&
           !backend.server->states_something();
  }

  void LimitBackend(Backend& backend, const PlannedFault& fault, common::Time now) {
    routing::ServerStatement statement;
    statement.requests_per_second = kStatedLimit;
    backend.server->SetStatement(statement);
    RunAt(now + fault.duration, [this, &backend, id = backend.server->id()] {
      statements_.OnLimitEnded(id);
      if (backend.server->id() == id) backend.server->SetStatement({});
    });
  }

  void LeaveBackend(Backend& backend, common::Time now) {
    routing::ServerStatement statement;
    statement.leaving = true;
    backend.server->SetStatement(statement);
    RunAt(now + kListedAfterStatement, [&backend, id = backend.server->id()] {
      if (backend.server->id() == id) backend.draining = true;
    });
    backend.end_at = now + kListedAfterStatement + kDrainPeriod;
  }

  static void BackOffBackend(Backend& backend) {
    routing::ServerStatement statement;
    statement.back_off = kStatedBackOff;
    backend.server->SetStatement(statement);
  }

  void Pause(Daemon& daemon, const PlannedFault& fault, common::Time now) {
    daemon.Pause();
    EndAfter(fault, now, daemon.name(), [&daemon] { daemon.Resume(); });
  }

  void RunCalm() {
    RunFor(kRecoveryPeriod);
    const CallCounts before = counts_;
    calm_since_ = common::BootClock::now();
    RunFor(options_.calm);
    calm_calls_ = counts_.calls - before.calls - (counts_.disconnected - before.disconnected);
    // Calls still in progress belong to the calm phase.
    for (const auto& caller : callers_) caller->Stop();
    for (const auto& writer : writers_) writer->Stop();
    probe_->Stop();
    RunFor(seconds(1));
    const common::Time last_call_deadline = common::BootClock::now() + kLastCallTimeout;
    const auto in_call = [](const auto& caller) { return caller->in_call(); };
    while (common::BootClock::now() < last_call_deadline &&
           std::any_of(callers_.begin(), callers_.end(), in_call)) {
      Step();
    }
    const auto max_failures =
        static_cast<std::size_t>(static_cast<double>(calm_calls_) * (1 - kMinServedShareWhenCalm));
    if (calm_failures_.size() <= max_failures) return;
    const CallOutcome& first = calm_failures_.front();
    log_.Report(first.ended_at, "calm",
                std::to_string(calm_failures_.size()) + " of " + std::to_string(calm_calls_) +
                    " calls were not served, first " + first.id + " with status " +
                    std::to_string(first.status));
  }

  /// Checks that the tables of all members hold the same configuration.
  void CompareTables() {
    std::map<std::string, std::string> first;
    std::string first_name;
    for (const auto& member : members_) {
      std::map<std::string, std::string> rows;
      try {
        rows = ReadConfigurationRows(member->rpc_address());
      } catch (const rpc::RpcError& error) {
        log_.Report(common::BootClock::now(), "tables", member->name() + ": " + error.what());
        continue;
      }
      if (first_name.empty()) {
        first = std::move(rows);
        first_name = member->name();
      } else if (rows != first) {
        log_.Report(common::BootClock::now(), "tables",
                    member->name() + " and " + first_name + " hold different rows");
      }
    }
  }

  /// Checks that every member returns the newest configuration and every entry serves by it.
  void ReadBack() {
    std::uint64_t newest = 0;
    for (const Listener& member : ListenersOf(members_)) {
      bool done = false;
      std::uint64_t version = 0;
      probe_->ReadMember(member, [&](std::uint64_t read) {
        version = read;
        done = true;
      });
      while (!done) Step();
      if (version < configurations_.acknowledged()) {
        log_.Report(common::BootClock::now(), "read back",
                    member.name + " returned version " + std::to_string(version) + ", not " +
                        std::to_string(configurations_.acknowledged()));
      }
      newest = std::max(newest, version);
    }
    for (const Listener& entry : ListenersOf(entries_)) {
      bool done = false;
      std::uint16_t status = 0;
      probe_->ProbeEntry(entry, newest, [&](std::uint16_t answered) {
        status = answered;
        done = true;
      });
      while (!done) Step();
      if (status != kOk) {
        log_.Report(common::BootClock::now(), "in force",
                    entry.name + " responded " + std::to_string(status) + " for version " +
                        std::to_string(newest));
      }
    }
  }

  void StopAll() {
    for (Daemon* daemon : Daemons()) {
      unexpected_exits_ += daemon->unexpected_exits();
      const std::optional<int> status = daemon->Shutdown(kStopTimeout);
      if (status == 0) continue;
      log_.Report(common::BootClock::now(), "planned stop",
                  daemon->name() + (status ? " exited with wait status " + std::to_string(*status)
                                           : std::string(" did not exit before the stop timeout")));
    }
  }

  void Report() const {
    std::map<std::string, int> kinds;
    for (const PlannedFault& fault : plan_) ++kinds[std::string(NameOf(fault.kind))];
    report_ << "seed " << options_.seed << ": " << plan_.size() << " faults:";
    for (const auto& [kind, count] : kinds) report_ << " " << kind << "=" << count;
    report_ << "\ncalls " << counts_.calls << ": served " << counts_.served << ", refused "
            << counts_.rejected << ", failed " << counts_.failed << ", unanswered "
            << counts_.unanswered << ", left " << counts_.disconnected << "; runs "
            << requests_.runs() << "\ncalm: " << calm_calls_ << " calls, " << calm_failures_.size()
            << " not served\nconfigurations: " << configurations_.acknowledgements()
            << " acknowledged, " << configurations_.reads() << " reads, "
            << configurations_.kept_calls() << " calls for due versions, refused after at most "
            << common::ToSeconds(configurations_.max_refused_contact())
            << " s in touch; usage windows " << usage_.reports().size() << "; members replaced "
            << unexpected_exits_ << "\nplanned stops of entries: " << answers_.stops()
            << ", answers cut: " << answers_.cut_before_stop() << " sent before SIGTERM, "
            << answers_.cut_after_stop() << " after it; calls on kept connections after SIGTERM "
            << answers_.calls_on_kept_connections()
            << "\nstatements of backend servers: " << statements_.statements()
            << ", requests under a limit " << statements_.limited_arrivals() << "\n";
    if (options_.crash_on_part) {
      report_ << "crashing part: " << crashing_part_.crashes() << " crashes, "
              << crashing_part_.arrivals_after_bound() << " arrivals after the bound\n";
    }
    for (const Violation& violation : log_.kept()) {
      report_ << "violation: " << violation.invariant << ": " << violation.detail << " (at "
              << common::ToSeconds(violation.at - faults_since_) << " s)\n";
    }
    report_ << "seed " << options_.seed << ": "
            << (log_.count() == 0 ? std::string("no violations")
                                  : std::to_string(log_.count()) + " violations")
            << "\n";
  }

  SoakOptions options_;
  std::ostream& report_;
  common::Random random_;
  std::string network_;
  http::EventLoop loop_{1};
  ViolationLog log_;
  RequestChecker requests_{log_};
  DisturbanceLog disturbances_;
  ConfigurationChecker configurations_{
      log_, {}, [this](const std::string& entry, common::Time from, common::Time to) {
        return InTouch(entry, from, to);
      }};
  UsageChecker usage_{log_};
  AnswerChecker answers_{log_, disturbances_, {}};
  StatementChecker statements_{log_, disturbances_, {}};
  CrashingPartChecker crashing_part_{log_, {}};
  VersionSequence versions_;
  std::vector<Backend> backends_;
  std::unique_ptr<FakePlatform> platform_;
  std::unique_ptr<Link> platform_link_;
  FleetOptions fleet_;
  std::vector<std::unique_ptr<Daemon>> members_;
  /// Members whose machines are lost for good; their links stay, without an answer.
  std::vector<std::unique_ptr<Daemon>> lost_members_;
  std::size_t next_member_ = 0;
  /// Last time at which no majority of the members ran.
  common::Time no_majority_at_;
  std::vector<std::unique_ptr<Daemon>> entries_;
  std::vector<Link*> links_;
  std::vector<std::shared_ptr<ConfigurationWriter>> writers_;
  std::shared_ptr<ConfigurationProbe> probe_;
  std::vector<std::shared_ptr<Caller>> callers_;
  /// Send the requests of FaultKind::kCrashOnPart.
  std::vector<std::shared_ptr<Caller>> crashing_callers_;
  std::vector<PlannedFault> plan_;
  std::vector<FaultStep> fault_steps_;
  common::Time faults_since_;
  CallCounts counts_;
  std::optional<common::Time> calm_since_;
  std::size_t calm_calls_ = 0;
  std::vector<CallOutcome> calm_failures_;
  std::size_t unexpected_exits_ = 0;
};

}  // namespace

bool RunSoak(const SoakOptions& options, std::ostream& report) {
  return Soak(options, report).Run();
}

}  // namespace briarwood::soak
