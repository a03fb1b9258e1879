#include "soak/fleet.h"

#include <sys/wait.h>

#include <algorithm>
#include <charconv>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <string_view>
#include <thread>
#include <utility>

#include "briarwood/common/random.h"
#include "soak/settings_template.h"

namespace briarwood::soak {
namespace {

namespace fs = std::filesystem;
using std::chrono::milliseconds;

constexpr const char* kHttpPort = "8227";
constexpr const char* kReadyPort = "8220";
constexpr const char* kMemberRpcPort = "7340";
constexpr const char* kEntryRpcPort = "7341";
/// Last octets of the loopback addresses.
constexpr std::size_t kFirstMemberHost = 10;
constexpr std::size_t kFirstEntryHost = 40;
constexpr std::size_t kProxyOffset = 100;

constexpr milliseconds kStopTimeout{8000};
/// A daemon blocks the signals that it handles within this time after its start.
constexpr milliseconds kSignalSetupPeriod{200};
constexpr milliseconds kPollInterval{20};
constexpr std::size_t kTornRecordBytes = 37;

std::string ReadText(const std::string& file_name) {
  const std::ifstream file(file_name);
  std::ostringstream text;
  text << file.rdbuf();
  if (text.str().empty()) throw SoakError("cannot read " + file_name);
  return text.str();
}

void WriteText(const std::string& file_name, const std::string& text) {
  const std::string next = file_name + ".next";
  std::ofstream(next) << text;
  fs::rename(next, file_name);
}

std::unique_ptr<Link> StartLink(http::EventLoop& loop, const std::string& listen,
                                const std::string& server) {
  auto link = Link::Start(loop, listen, server);
  if (!link.ok()) throw SoakError(link.error());
  return std::move(link).value();
}

/// Advertises the address of the link, so that other processes reach the RPC listener through it.
std::string AddAdvertisedAddress(std::string settings, const std::string& address) {
  const std::size_t at = settings.find("rpc_listen = ");
  if (at == std::string::npos) throw SoakError("the settings template has no rpc_listen");
  return settings.insert(at, "rpc_advertise = \"" + address + "\"\n");
}

}  // namespace

Daemon::Daemon(http::EventLoop& loop, const FleetOptions& options, Role role, std::size_t number)
    : options_(options), role_(role) {
  const bool member = role == Role::kMember;
  name_ = (member ? "member-" : "entry-") + std::to_string(number + 1);
  const std::size_t host = (member ? kFirstMemberHost : kFirstEntryHost) + number;
  address_ = options.network + std::to_string(host);
  ready_address_ = address_ + ":" + kReadyPort;
  const std::string proxy = options.network + std::to_string(host + kProxyOffset);
  data_folder_ = options.folder + "/" + name_ + "-data";
  const std::string rpc_port = std::string(":") + (member ? kMemberRpcPort : kEntryRpcPort);
  const std::string http_port = std::string(":") + kHttpPort;
  http_link_ = StartLink(loop, proxy + http_port, address_ + http_port);
  rpc_link_ = StartLink(loop, proxy + rpc_port, address_ + rpc_port);
  for (std::size_t i = 0; i < options.members; ++i) {
    seeds_.push_back(options.network + std::to_string(kFirstMemberHost + i + kProxyOffset) +
                     http_port);
  }
}

std::string Daemon::Settings(bool bootstrap) const {
  const bool member = role_ == Role::kMember;
  TemplateValues values;
  values.texts = {{"dataDir", data_folder_},
                  {"node", name_},
                  {"zone", "domain-" + std::to_string(name_.back() % 3)},
                  {"region", "region-1"},
                  {"ip", address_},
                  {"portRange.0", kMemberRpcPort},
                  {"portRange.1", kEntryRpcPort},
                  {"bootstrap", bootstrap ? "true" : "false"},
                  {"faultTolerance.machines", "1"},
                  {"listen.control", address_ + ":" + kHttpPort},
                  {"listen.front", address_ + ":" + kHttpPort},
                  {"listen.ready", ready_address_},
                  {"cloud.addr", options_.platform},
                  {"cloud.ratePerS", "42.0"},
                  {"cloud.dutyPerS", "50.0"},
                  {"bounds.usageWindowS", "5"},
                  {"bounds.usageLateS", "10"},
                  {"bounds.leaseMs", "3000"},
                  {"bounds.graceS", "8"},
                  {"bounds.retryRatio", "0.2"},
                  {"bounds.retryWindowS", "10"},
                  {"bounds.retryBurst", "60"},
                  {"limits.maxFds", "4100"}};
  values.lists["seeds"] = seeds_;
  const std::string file = member ? "/control.toml" : "/entry.toml";
  return AddAdvertisedAddress(RenderTemplate(ReadText(options_.templates + file), values),
                              rpc_link_->address());
}

void Daemon::Start(bool bootstrap) {
  const bool member = role_ == Role::kMember;
  fs::create_directories(data_folder_);
  const std::string settings = options_.folder + "/" + name_ + ".toml";
  WriteText(settings, Settings(bootstrap));
  const std::string program =
      options_.programs + (member ? "/briarwood-platform-control" : "/briarwood-platform-entry");
  auto process = ChildProcess::Start({program, "--settings", settings},
                                     options_.folder + "/" + name_ + ".log");
  if (!process.ok()) throw SoakError(process.error());
  process_ = std::move(process).value();
  ++lifetime_;
  started_at_ = common::BootClock::now();
  stopping_ = false;
  paused_ = false;
  restart_at_.reset();
}

void Daemon::Kill(common::Time now, common::Duration restart_delay) {
  if (process_ == nullptr) return;
  process_->Kill();
  process_.reset();
  restart_at_ = now + restart_delay;
}

void Daemon::Pause() {
  if (process_ == nullptr) return;
  process_->Signal(SIGSTOP);
  paused_ = true;
  paused_in_stop_ = paused_in_stop_ || stopping_;
}

void Daemon::Resume() {
  if (process_ == nullptr) return;
  process_->Signal(SIGCONT);
  paused_ = false;
}

bool Daemon::Stop(common::Time now) {
  if (process_ == nullptr || stopping_) return false;
  process_->Signal(SIGTERM);
  stopping_ = true;
  paused_in_stop_ = paused_;
  stop_sent_at_ = now;
  stop_deadline_ = now + kStopTimeout;
  return true;
}

void Daemon::Reload() {
  std::rotate(seeds_.begin(), seeds_.begin() + 1, seeds_.end());
  WriteText(options_.folder + "/" + name_ + ".toml", Settings(/*bootstrap=*/false));
  // Every second change is made without a signal: the daemon must detect the changed file itself.
  reloaded_ = !reloaded_;
  if (process_ != nullptr && reloaded_) process_->Signal(SIGHUP);
}

void Daemon::Wipe(common::Time now) {
  if (process_ == nullptr) return;
  Kill(now);
  fs::remove_all(data_folder_);
}

void Daemon::TakePower() {
  http_link_->SetDark(true);
  rpc_link_->SetDark(true);
  if (process_ != nullptr) process_->Kill();
  process_.reset();
  restart_at_.reset();
}

void Daemon::RestorePower(common::Time now) {
  http_link_->SetDark(false);
  rpc_link_->SetDark(false);
  restart_at_ = now;
}

std::string Daemon::rpc_address() const {
  return address_ + ":" + (role_ == Role::kMember ? kMemberRpcPort : kEntryRpcPort);
}

std::uint64_t Daemon::HighestLedTerm() const {
  constexpr std::string_view kLed = "consensus: leader in term ";
  std::ifstream log(options_.folder + "/" + name_ + ".log");
  std::uint64_t highest = 0;
  for (std::string line; std::getline(log, line);) {
    const std::size_t at = line.find(kLed);
    if (at == std::string::npos) continue;
    std::uint64_t term = 0;
    std::from_chars(line.data() + at + kLed.size(), line.data() + line.size(), term);
    highest = std::max(highest, term);
  }
  return highest;
}

void Daemon::TearLog(common::Time now, std::uint64_t seed) {
  if (process_ == nullptr) return;
  Kill(now);
  std::string last;
  for (const auto& file : fs::recursive_directory_iterator(data_folder_)) {
    if (file.path().extension() == ".log") last = std::max(last, file.path().string());
  }
  if (last.empty()) return;
  common::Random random(seed);
  std::ofstream log(last, std::ios::binary | std::ios::app);
  for (std::size_t i = 0; i < kTornRecordBytes; ++i) log.put(static_cast<char>(random.Next()));
}

bool Daemon::Check(common::Time now, ViolationLog& log) {
  if (process_ != nullptr) {
    const std::optional<int> status = process_->PollExitStatus();
    if (!status && stopping_ && now > stop_deadline_) {
      // The grace period of a process starts when it can handle the signal.
      if (!paused_in_stop_) {
        log.Report(now, "planned stop", name_ + " did not exit before the stop timeout");
      }
      Kill(now);
      return !paused_in_stop_;
    }
    if (!status) return true;
    // A SIGTERM that arrives before the daemon has blocked its signals terminates it immediately;
    // it has not served anything by then.
    const bool exited_at_start = WIFSIGNALED(*status) && WTERMSIG(*status) == SIGTERM &&
                                 stop_sent_at_ - started_at_ < kSignalSetupPeriod;
    const bool clean_exit = exited_at_start || (WIFEXITED(*status) && WEXITSTATUS(*status) == 0);
    // A member that the group has replaced exits with status 1 and joins again after its restart.
    const bool replaced = role_ == Role::kMember && WIFEXITED(*status) && WEXITSTATUS(*status) == 1;
    if (!(clean_exit && stopping_)) {
      ++unexpected_exits_;
      if (!replaced) {
        log.Report(now, "own end", name_ + " exited with wait status " + std::to_string(*status));
      }
    }
    process_.reset();
    restart_at_ = now + kRestartDelay;
  }
  if (restart_at_ && now >= *restart_at_) Start(/*bootstrap=*/false);
  return true;
}

std::optional<int> Daemon::Shutdown(milliseconds timeout) {
  if (process_ == nullptr) return std::nullopt;
  process_->Signal(SIGTERM);
  const common::Time end = common::BootClock::now() + timeout;
  while (common::BootClock::now() < end) {
    if (const auto status = process_->PollExitStatus()) return status;
    std::this_thread::sleep_for(kPollInterval);
  }
  return std::nullopt;
}

}  // namespace briarwood::soak
