#include "soak/soak_run.h"

#include <unistd.h>

#include <algorithm>
#include <filesystem>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <ostream>
#include <utility>
#include <vector>

#include "soak/backend_stand_in.h"
#include "soak/caller.h"
#include "soak/configuration_source.h"
#include "soak/fault_plan.h"
#include "soak/fleet.h"
#include "soak/operators.h"
#include "soak/platform_stand_in.h"
#include "soak/promises.h"

namespace briarwood::soak {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds kStep{20};
constexpr milliseconds kStartLimit{15000};
/// Time after the last fault until everything is served again.
constexpr seconds kRecovery{12};
constexpr milliseconds kStopLimit{8000};
constexpr milliseconds kBackendDown{1500};
/// A leaving backend server is listed as such for this long before it ends.
constexpr milliseconds kLeaveTime{4500};
/// In the calm part at least this share of the calls is served.
constexpr double kServedWhenCalm = 0.99;
constexpr milliseconds kLinkDelay{40};

constexpr std::size_t kPlainBackends = 3;
constexpr std::size_t kStreamBackends = 4;
constexpr std::size_t kFirstBackend = 70;
constexpr std::size_t kProxyOffset = 100;
constexpr const char* kPlatformHost = "5";
constexpr const char* kPlatformProxy = "105";
constexpr const char* kPort = ":28373";
constexpr std::uint16_t kOk = 200;

/// One backend server with its link and its place in the list.
struct Backend {
  std::unique_ptr<BackendStandIn> server;
  std::unique_ptr<Link> link;
  std::string failure_domain;
  int lifetime = 0;
  bool leaving = false;
  std::optional<common::Time> start_at;
  std::optional<common::Time> end_at;
};

/// Action that ends a fault.
struct Lift {
  common::Time at;
  std::function<void()> run;
};

struct Figures {
  std::size_t calls = 0;
  std::size_t served = 0;
  std::size_t refused = 0;
  std::size_t failed = 0;
  std::size_t unanswered = 0;
  std::size_t left = 0;
};

class Soak {
 public:
  Soak(const SoakOptions& options, std::ostream& report)
      : options_(options), report_(report), random_(options.seed) {
    // Several runs at a time use different loopback addresses.
    constexpr int kOctets = 200;
    const int process = ::getpid();
    network_ = "127." + std::to_string(10 + process / kOctets % kOctets) + "." +
               std::to_string(10 + process % kOctets) + ".";
  }

  bool Run() {
    SetUp();
    plan_ = MakeFaultPlan(
        {.seed = options_.seed, .length = options_.faults, .mean_gap = options_.mean_gap});
    RunFaults();
    RunCalm();
    ReadBack();
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
    StartNodes();
    StartTraffic();
    const common::Time limit = common::BootClock::now() + kStartLimit;
    while (common::BootClock::now() < limit && figures_.served < options_.callers) Step();
    if (figures_.served == 0) throw SoakError("nothing was served within the start limit");
    figures_ = {};
  }

  [[nodiscard]] std::string Address(std::size_t host) const {
    return network_ + std::to_string(host) + kPort;
  }

  static std::unique_ptr<Link> Require(common::Result<std::unique_ptr<Link>> link) {
    if (!link.ok()) throw SoakError(link.error());
    return std::move(link).value();
  }

  void StartBackends() {
    for (std::size_t i = 0; i < kPlainBackends + kStreamBackends; ++i) {
      const bool plain = i < kPlainBackends;
      Backend& backend = backends_.emplace_back();
      const std::size_t host = kFirstBackend + i;
      constexpr std::uint32_t kStreamSlots = 16;
      backend.server = std::make_unique<BackendStandIn>(
          loop_, BackendOptions{.service = plain ? "app" : "llm",
                                .listen = Address(host),
                                .slots = plain ? 8 : kStreamSlots,
                                .on_run = [this](const RunCall& run) {
                                  requests_.OnRun(run, common::BootClock::now());
                                }});
      backend.link = Require(Link::Start(loop_, Address(host + kProxyOffset), Address(host)));
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
    backend.leaving = false;
    backend.start_at.reset();
    backend.end_at.reset();
  }

  void StartPlatform() {
    auto platform = PlatformStandIn::Start(
        loop_, network_ + kPlatformHost + kPort, [this] { return ListServers(); }, usage_);
    if (!platform.ok()) throw SoakError(platform.error());
    platform_ = std::move(platform).value();
    platform_link_ = Require(
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
                         .leaving = backend.leaving});
    }
    return servers;
  }

  void StartNodes() {
    const FleetOptions fleet{.programs = options_.programs,
                             .templates = options_.templates,
                             .folder = options_.folder,
                             .network = network_,
                             .members = options_.members,
                             .entries = options_.entries,
                             .platform = platform_link_->address()};
    for (std::size_t i = 0; i < options_.members; ++i) {
      members_.push_back(std::make_unique<Node>(loop_, fleet, Node::Role::kMember, i));
    }
    for (std::size_t i = 0; i < options_.entries; ++i) {
      entries_.push_back(std::make_unique<Node>(loop_, fleet, Node::Role::kEntry, i));
    }
    for (Node* node : Nodes()) {
      node->Start(/*bootstrap=*/true);
      links_.push_back(&node->front());
      links_.push_back(&node->rpc());
    }
    for (const Backend& backend : backends_) links_.push_back(backend.link.get());
    links_.push_back(platform_link_.get());
  }

  [[nodiscard]] std::vector<Node*> Nodes() const {
    std::vector<Node*> nodes;
    nodes.reserve(members_.size() + entries_.size());
    for (const auto& member : members_) nodes.push_back(member.get());
    for (const auto& entry : entries_) nodes.push_back(entry.get());
    return nodes;
  }

  static std::vector<Listener> ListenersOf(const std::vector<std::unique_ptr<Node>>& nodes) {
    std::vector<Listener> listeners;
    listeners.reserve(nodes.size());
    for (const auto& node : nodes) {
      listeners.push_back({.name = node->name(),
                           .address = node->front().address(),
                           .lifetime = [node = node.get()] { return node->lifetime(); }});
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
    std::vector<std::string> addresses;
    addresses.reserve(entries_.size());
    for (const auto& entry : entries_) addresses.push_back(entry->front().address());
    for (std::size_t i = 0; i < options_.callers; ++i) {
      const bool first = i % 2 == 0;
      callers_.push_back(std::make_shared<Caller>(
          loop_,
          CallerOptions{.name = "call-" + std::to_string(i),
                        .seed = random_.Next(),
                        .customer = first ? kCustomerA : kCustomerB,
                        .key = first ? kKeyA : kKeyB,
                        .entries = addresses,
                        .on_outcome = [this](const CallOutcome& outcome) { Count(outcome); }},
          requests_));
      callers_.back()->Start();
    }
  }

  void Count(const CallOutcome& outcome) {
    constexpr std::uint16_t kUnavailable = 503;
    ++figures_.calls;
    if (outcome.left) {
      ++figures_.left;
    } else if (outcome.status == kOk && outcome.complete) {
      ++figures_.served;
    } else if (outcome.status == kUnavailable) {
      ++figures_.refused;
    } else if (outcome.status == 0) {
      ++figures_.unanswered;
    } else {
      ++figures_.failed;
    }
    if (calm_since_ && outcome.sent_at >= *calm_since_ && !outcome.left &&
        !(outcome.status == kOk && outcome.complete)) {
      calm_failures_.push_back(outcome);
    }
  }

  /// Runs the loop for a moment and sees to processes and backend servers.
  void Step() {
    if (loop_.stopped()) loop_.restart();
    loop_.run_for(kStep);
    const common::Time now = common::BootClock::now();
    for (Node* node : Nodes()) node->Check(now, log_);
    for (Backend& backend : backends_) {
      if (backend.end_at && now >= *backend.end_at) {
        backend.server->Crash();
        backend.end_at.reset();
        backend.start_at = now + kBackendDown;
      }
      if (backend.start_at && now >= *backend.start_at) StartBackend(backend);
    }
    std::vector<Lift> due;
    for (auto lift = lifts_.begin(); lift != lifts_.end();) {
      if (lift->at > now) {
        ++lift;
        continue;
      }
      due.push_back(std::move(*lift));
      lift = lifts_.erase(lift);
    }
    for (const Lift& lift : due) lift.run();
  }

  void RunFor(common::Duration length) {
    const common::Time end = common::BootClock::now() + length;
    while (common::BootClock::now() < end) Step();
  }

  void RunFaults() {
    faults_since_ = common::BootClock::now();
    for (const PlannedFault& fault : plan_) {
      while (common::BootClock::now() < faults_since_ + fault.at) Step();
      Apply(fault, common::BootClock::now());
    }
    while (common::BootClock::now() < faults_since_ + options_.faults) Step();
    for (const Lift& lift : std::exchange(lifts_, {})) lift.run();
  }

  void LiftAfter(const PlannedFault& fault, common::Time now, std::function<void()> lift) {
    lifts_.push_back({.at = now + fault.length, .run = std::move(lift)});
  }

  void Apply(const PlannedFault& fault, common::Time now) {
    Node& member = *members_[fault.target % members_.size()];
    Node& entry = *entries_[fault.target % entries_.size()];
    Link& link = *links_[fault.target % links_.size()];
    Backend& backend = backends_[fault.target % backends_.size()];
    switch (fault.kind) {
      case FaultKind::kKillEntry:
        entry.Kill(now);
        break;
      case FaultKind::kPauseEntry:
        Pause(entry, fault, now);
        break;
      case FaultKind::kStopEntry:
        entry.Stop(now);
        break;
      case FaultKind::kKillMember:
        member.Kill(now);
        break;
      case FaultKind::kPauseMember:
        Pause(member, fault, now);
        break;
      case FaultKind::kStopMember:
        member.Stop(now);
        break;
      case FaultKind::kKillAllMembers:
        for (const auto& one : members_) one->Kill(now);
        break;
      case FaultKind::kWipeMember:
        member.Wipe(now);
        break;
      case FaultKind::kTearLog:
        member.TearLog(now, fault.target);
        break;
      case FaultKind::kReload:
        (fault.target % 2 == 0 ? member : entry).Reload();
        break;
      case FaultKind::kDelayLink:
        link.SetDelay(kLinkDelay);
        LiftAfter(fault, now, [&link] { link.SetDelay(milliseconds(0)); });
        break;
      case FaultKind::kResetLink:
        link.Reset();
        break;
      case FaultKind::kCutToServer:
        link.CutToServer(true);
        LiftAfter(fault, now, [&link] { link.CutToServer(false); });
        break;
      case FaultKind::kCutFromServer:
        link.CutFromServer(true);
        LiftAfter(fault, now, [&link] { link.CutFromServer(false); });
        break;
      case FaultKind::kSilenceLink:
        link.Silence();
        break;
      case FaultKind::kCrashBackend:
        backend.server->Crash();
        backend.start_at = now + kBackendDown;
        break;
      case FaultKind::kReplaceBackend:
        if (backend.leaving || backend.start_at) break;
        backend.leaving = true;
        backend.end_at = now + kLeaveTime;
        break;
      case FaultKind::kPlatformDown:
        platform_->SetDown(true);
        LiftAfter(fault, now, [this] { platform_->SetDown(false); });
        break;
    }
  }

  void Pause(Node& node, const PlannedFault& fault, common::Time now) {
    node.Pause();
    LiftAfter(fault, now, [&node] { node.Resume(); });
  }

  void RunCalm() {
    RunFor(kRecovery);
    const Figures before = figures_;
    calm_since_ = common::BootClock::now();
    RunFor(options_.calm);
    calm_calls_ = figures_.calls - before.calls - (figures_.left - before.left);
    // Calls that are still open belong to the calm part.
    for (const auto& caller : callers_) caller->Stop();
    for (const auto& writer : writers_) writer->Stop();
    probe_->Stop();
    RunFor(seconds(1));
    const auto allowed =
        static_cast<std::size_t>(static_cast<double>(calm_calls_) * (1 - kServedWhenCalm));
    if (calm_failures_.size() <= allowed) return;
    const CallOutcome& first = calm_failures_.front();
    log_.Report(first.ended_at, "calm",
                std::to_string(calm_failures_.size()) + " of " + std::to_string(calm_calls_) +
                    " calls were not served, first " + first.id + " with status " +
                    std::to_string(first.status));
  }

  /// Every member shows the newest configuration, and every entry follows it.
  void ReadBack() {
    std::uint64_t newest = 0;
    for (const Listener& member : ListenersOf(members_)) {
      bool done = false;
      std::uint64_t version = 0;
      probe_->Read(member, [&](std::uint64_t read) {
        version = read;
        done = true;
      });
      while (!done) Step();
      if (version < configurations_.acknowledged()) {
        log_.Report(common::BootClock::now(), "read back",
                    member.name + " shows version " + std::to_string(version) + ", not " +
                        std::to_string(configurations_.acknowledged()));
      }
      newest = std::max(newest, version);
    }
    for (const Listener& entry : ListenersOf(entries_)) {
      bool done = false;
      std::uint16_t status = 0;
      probe_->Ask(entry, newest, [&](std::uint16_t answered) {
        status = answered;
        done = true;
      });
      while (!done) Step();
      if (status != kOk) {
        log_.Report(common::BootClock::now(), "in force",
                    entry.name + " answered " + std::to_string(status) + " for version " +
                        std::to_string(newest));
      }
    }
  }

  void StopAll() {
    for (Node* node : Nodes()) {
      own_ends_ += node->own_ends();
      const std::optional<int> status = node->Finish(kStopLimit);
      if (status == 0) continue;
      log_.Report(common::BootClock::now(), "planned stop",
                  node->name() + (status ? " ended with wait status " + std::to_string(*status)
                                         : std::string(" did not end within its grace")));
    }
  }

  void Report() const {
    std::map<std::string, int> kinds;
    for (const PlannedFault& fault : plan_) ++kinds[std::string(NameOf(fault.kind))];
    report_ << "seed " << options_.seed << ": " << plan_.size() << " faults:";
    for (const auto& [kind, count] : kinds) report_ << " " << kind << "=" << count;
    report_ << "\ncalls " << figures_.calls << ": served " << figures_.served << ", refused "
            << figures_.refused << ", failed " << figures_.failed << ", unanswered "
            << figures_.unanswered << ", left " << figures_.left << "; runs " << requests_.runs()
            << "\ncalm: " << calm_calls_ << " calls, " << calm_failures_.size()
            << " not served\nconfigurations: " << configurations_.acknowledgements()
            << " acknowledged, " << configurations_.reads() << " reads; usage windows "
            << usage_.reports().size() << "; members replaced " << own_ends_ << "\n";
    for (const Violation& violation : log_.kept()) {
      report_ << "broken: " << violation.promise << ": " << violation.detail << " (at "
              << common::ToSeconds(violation.at - faults_since_) << " s)\n";
    }
    report_ << "seed " << options_.seed << ": "
            << (log_.count() == 0 ? std::string("kept every promise")
                                  : std::to_string(log_.count()) + " broken")
            << "\n";
  }

  SoakOptions options_;
  std::ostream& report_;
  common::Random random_;
  std::string network_;
  http::EventLoop loop_{1};
  ViolationLog log_;
  RequestPromises requests_{log_};
  ConfigurationPromises configurations_{log_, {}};
  UsagePromises usage_{log_};
  VersionSequence versions_;
  std::vector<Backend> backends_;
  std::unique_ptr<PlatformStandIn> platform_;
  std::unique_ptr<Link> platform_link_;
  std::vector<std::unique_ptr<Node>> members_;
  std::vector<std::unique_ptr<Node>> entries_;
  std::vector<Link*> links_;
  std::vector<std::shared_ptr<ConfigurationWriter>> writers_;
  std::shared_ptr<ConfigurationProbe> probe_;
  std::vector<std::shared_ptr<Caller>> callers_;
  std::vector<PlannedFault> plan_;
  std::vector<Lift> lifts_;
  common::Time faults_since_;
  Figures figures_;
  std::optional<common::Time> calm_since_;
  std::size_t calm_calls_ = 0;
  std::vector<CallOutcome> calm_failures_;
  std::size_t own_ends_ = 0;
};

}  // namespace

bool RunSoak(const SoakOptions& options, std::ostream& report) {
  return Soak(options, report).Run();
}

}  // namespace briarwood::soak
