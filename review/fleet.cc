#include "fleet.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <signal.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <map>
#include <random>
#include <sstream>
#include <utility>

namespace briarwood::review {
namespace {

namespace fs = std::filesystem;

constexpr milliseconds kOperatorTimeout{1000};
constexpr milliseconds kPollInterval{50};
constexpr milliseconds kGracePeriod{8000};

// Offsets of the ports of a machine; all machines have the same ports.
constexpr int kFrontPort = 0;
constexpr int kReadyPort = 1;
constexpr int kControlPort = 2;
constexpr int kPlatformPort = 3;
constexpr int kEnginePort = 4;
constexpr int kFirstRangePort = 5;
constexpr int kPorts = 7;
// Last octets of the loopback addresses.
constexpr std::size_t kFirstHost = 10;
/// Where members listen whose address is that of a link.
constexpr std::size_t kFirstHostBehindLink = 60;
constexpr std::size_t kPlatformHost = 100;
constexpr unsigned kFirstEngineHost = 110;

std::string ReadFile(const std::string& name) {
  const std::ifstream file(name);
  std::ostringstream text;
  text << file.rdbuf();
  if (text.str().empty()) throw RigError("cannot read " + name);
  return text.str();
}

void ReplaceAll(std::string& text, const std::string& from, const std::string& to) {
  for (std::size_t at = text.find(from); at != std::string::npos;
       at = text.find(from, at + to.size())) {
    text.replace(at, from.size(), to);
  }
}

std::int64_t UnixMillis() {
  return std::chrono::duration_cast<milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

bool IsFree(const std::string& ip, int port) {
  const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  const bool free =
      bind(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0;
  close(descriptor);
  return free;
}

}  // namespace

Child::Child(const std::string& program, const std::string& settings, const std::string& log) {
  std::string path = program;
  std::string variable = "BRIARWOOD_NODE_FILE=" + settings;
  std::vector<std::string> kept;
  for (const char* name : {"PATH", "HOME", "LANG"}) {
    if (const char* value = std::getenv(name)) kept.push_back(std::string(name) + "=" + value);
  }
  std::vector<char*> environment{variable.data()};
  for (std::string& item : kept) environment.push_back(item.data());
  environment.push_back(nullptr);
  char* arguments[] = {path.data(), nullptr};
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  constexpr mode_t kLogMode = 0644;
  posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, kLogMode);
  posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  const int error =
      posix_spawn(&id_, path.c_str(), &actions, nullptr, arguments, environment.data());
  posix_spawn_file_actions_destroy(&actions);
  if (error != 0) throw RigError("cannot start " + program);
}

void Child::Signal(int signal) const {
  if (id_ != 0) kill(id_, signal);
}

void Child::Kill() {
  if (!Running()) return;
  kill(id_, SIGKILL);
  waitpid(id_, nullptr, 0);
  id_ = 0;
}

bool Child::Running() {
  if (id_ == 0) return false;
  if (waitpid(id_, nullptr, WNOHANG) == 0) return true;
  id_ = 0;
  return false;
}

Fleet::Fleet(Record& record, std::size_t machines, Paths paths)
    : record_(record), paths_(paths), machines_(machines) {
  std::string folder = fs::temp_directory_path().string() + "/briarwood-review-XXXXXX";
  if (mkdtemp(folder.data()) == nullptr) throw RigError("cannot create a temporary folder");
  folder_ = folder;
  std::mt19937 random(std::random_device{}());
  constexpr int kAttempts = 20;
  for (int attempt = 0; attempt < kAttempts; ++attempt) {
    network_ = "127." + std::to_string(random() % 200 + 20) + "." +
               std::to_string(random() % 250 + 1) + ".";
    first_port_ = static_cast<int>(random() % 8000) + 20'000;
    bool free = true;
    for (std::size_t machine = 0; machine < machines; ++machine) {
      for (int port = 0; port < kPorts; ++port) {
        free = free && IsFree(Ip(machine), first_port_ + port);
      }
    }
    if (!free) continue;
    platform_ = std::make_unique<Listener>(network_ + std::to_string(kPlatformHost) + ":" +
                                               std::to_string(first_port_ + kPlatformPort),
                                           [this](Channel& channel) { ServePlatform(channel); });
    if (paths_ == Paths::kDirect) return;
    const std::string port = ":" + std::to_string(first_port_ + kFirstRangePort);
    for (std::size_t machine = 0; machine < machines; ++machine) {
      links_.push_back(std::make_unique<Link>(
          Ip(machine) + port, network_ + std::to_string(kFirstHostBehindLink + machine) + port,
          [this, machine](std::uint16_t peer_port) { return Crosses(peer_port, machine); }));
    }
    return;
  }
  throw RigError("found no free ports");
}

Fleet::~Fleet() {
  for (Machine& machine : machines_) {
    if (machine.entry) machine.entry->Kill();
    if (machine.member) machine.member->Kill();
  }
  links_.clear();
  platform_.reset();
  if (std::getenv("KEEP") != nullptr) {
    std::cerr << "logs: " << folder_ << "\n";
    return;
  }
  std::error_code ignored;
  fs::remove_all(folder_, ignored);
}

std::string Fleet::Ip(std::size_t machine) const {
  return network_ + std::to_string(kFirstHost + machine);
}

std::string Fleet::Address(std::size_t machine, int port) const {
  return Ip(machine) + ":" + std::to_string(first_port_ + port);
}

std::string Fleet::Settings(const std::string& file, std::size_t machine, bool bootstrap) const {
  std::string text = ReadFile(file);
  std::string seeds;
  for (std::size_t i = 0; i < kFirstMachines; ++i) {
    seeds += (i == 0 ? "\"" : ",\"") + Address(i, kControlPort) + "\"";
  }
  ReplaceAll(text, "{{#seeds}}\"{{.}}\"{{,}}{{/seeds}}", seeds);
  const std::map<std::string, std::string> values = {
      {"dataDir", folder_ + "/data-" + std::to_string(machine)},
      {"node", "edge-" + std::to_string(machine)},
      {"zone", "zone-" + std::to_string(machine % kFirstMachines)},
      {"region", "region-1"},
      {"ip", Ip(machine)},
      {"portRange.0", std::to_string(first_port_ + kFirstRangePort)},
      {"portRange.1", std::to_string(first_port_ + kFirstRangePort + 1)},
      {"bootstrap", bootstrap ? "true" : "false"},
      {"faultTolerance.machines", "1"},
      {"listen.control", Address(machine, kControlPort)},
      {"listen.front", Address(machine, kFrontPort)},
      {"listen.ready", Address(machine, kReadyPort)},
      {"cloud.addr", network_ + std::to_string(kPlatformHost) + ":" +
                         std::to_string(first_port_ + kPlatformPort)},
      {"cloud.ratePerS", "44.0"},
      {"cloud.dutyPerS", "50.0"},
      {"bounds.usageWindowS", "5"},
      {"bounds.usageLateS", "10"},
      {"bounds.leaseMs", "3000"},
      {"bounds.graceS", "8"},
      {"bounds.retryRatio", "0.2"},
      {"bounds.retryWindowS", "10"},
      {"bounds.retryBurst", "62"},
      {"limits.maxFds", "4100"}};
  for (const auto& [name, value] : values) ReplaceAll(text, "{{" + name + "}}", value);
  if (paths_ == Paths::kThroughLinks && file.find("control") != std::string::npos) {
    const std::string advertised = Address(machine, kFirstRangePort);
    std::string listens = network_ + std::to_string(kFirstHostBehindLink + machine);
    listens += ":" + std::to_string(first_port_ + kFirstRangePort);
    ReplaceAll(text, "rpc_listen = \"" + advertised + "\"",
               "rpc_listen = \"" + listens + "\"\nrpc_advertise = \"" + advertised + "\"");
  }
  return text;
}

void Fleet::Start(std::size_t machine, bool bootstrap) {
  const std::string number = std::to_string(machine);
  fs::create_directories(folder_ + "/data-" + number);
  const auto make = [&](const std::string& role) {
    std::string file = folder_;
    file.append("/").append(role).append("-").append(number);
    std::ofstream(file + ".toml") << Settings("platform/" + role + ".toml", machine, bootstrap);
    return std::make_unique<Child>("target/briarwood-platform-" + role, file + ".toml",
                                   file + ".log");
  };
  auto member = make("control");
  auto entry = make("entry");
  const std::lock_guard lock(mutex_);
  machines_[machine] = {.member = std::move(member), .entry = std::move(entry)};
}

void Fleet::StartFirst() {
  for (std::size_t machine = 0; machine < kFirstMachines; ++machine) {
    Start(machine, /*bootstrap=*/true);
  }
}

void Fleet::StartSuccessor(std::size_t machine) {
  Start(machine, /*bootstrap=*/false);
  record_.Line("machine " + std::to_string(machine) + " is added with an empty disk");
}

void Fleet::Remove(std::size_t machine) {
  machines_[machine].entry->Signal(SIGTERM);
  machines_[machine].member->Signal(SIGTERM);
  record_.Line("machine " + std::to_string(machine) + " is removed: SIGTERM");
}

void Fleet::AwaitEnd(std::size_t machine) {
  const auto end = Clock::now() + kGracePeriod;
  Machine& removed = machines_[machine];
  while ((removed.member->Running() || removed.entry->Running()) && Clock::now() < end) {
    std::this_thread::sleep_for(kPollInterval);
  }
  removed.member->Kill();
  removed.entry->Kill();
  record_.Line("machine " + std::to_string(machine) + " is gone");
}

bool Fleet::Running(std::size_t machine) {
  return machines_[machine].member->Running() && machines_[machine].entry->Running();
}

int Fleet::Put(const std::vector<std::size_t>& machines, const std::string& content,
               milliseconds timeout) {
  const auto end = Clock::now() + timeout;
  for (std::size_t attempt = 0; Clock::now() < end; ++attempt) {
    const std::string address = Address(machines[attempt % machines.size()], kControlPort);
    const Reply reply =
        Call(address, "PUT", "/briarwood/config",
             {{"Host", address}, {"Content-Type", "application/json"}}, content, kOperatorTimeout);
    if (reply.status == 200 || (reply.status >= 400 && reply.status < 500)) return reply.status;
    std::this_thread::sleep_for(kPollInterval);
  }
  return 0;
}

int Fleet::Get(std::size_t machine, std::string& content) const {
  const std::string address = Address(machine, kControlPort);
  const Reply reply =
      Call(address, "GET", "/briarwood/config", {{"Host", address}}, {}, kOperatorTimeout);
  if (reply.status == 200) content = reply.body;
  return reply.status;
}

std::string Fleet::AddEngine(const std::string& id, const std::string& service, unsigned slots) {
  const std::lock_guard lock(mutex_);
  const std::size_t number = engines_.size();
  Engine& engine = engines_.emplace_back();
  engine.id = id;
  engine.service = service;
  engine.address = network_ + std::to_string(kFirstEngineHost + number) + ":" +
                   std::to_string(first_port_ + kEnginePort);
  engine.zone = "zone-" + std::to_string(number % kFirstMachines);
  engine.slots = slots;
  engine.born_ms = UnixMillis();
  return engine.address;
}

void Fleet::ListRestart(const std::string& id, const std::string& version) {
  const std::lock_guard lock(mutex_);
  for (Engine& engine : engines_) {
    if (engine.id != id) continue;
    engine.version = version;
    engine.born_ms = UnixMillis();
  }
}

std::string Fleet::ListEngines() {
  const std::lock_guard lock(mutex_);
  std::ostringstream list;
  list << R"({"instances":[)";
  for (const Engine& engine : engines_) {
    list << (&engine == engines_.data() ? "" : ",") << R"({"service":")" << engine.service
         << R"(","addr":")" << engine.address << R"(","zone":")" << engine.zone
         << R"(","version":")" << engine.version << R"(","slots":)" << engine.slots
         << R"(,"state":"ready","coldLeftMs":0,"id":")" << engine.id << R"(","born":)"
         << engine.born_ms << "}";
  }
  list << R"(],"next":null})";
  return list.str();
}

bool Fleet::Crosses(std::uint16_t peer_port, std::size_t machine) {
  const std::lock_guard lock(mutex_);
  if (cut_off_.empty()) return false;
  for (std::size_t from = 0; from < machines_.size(); ++from) {
    for (const Child* process : {machines_[from].member.get(), machines_[from].entry.get()}) {
      if (process == nullptr || !OwnsLocalPort(process->id(), peer_port)) continue;
      return cut_off_.contains(from) != cut_off_.contains(machine);
    }
  }
  return false;
}

void Fleet::Cut(const std::set<std::size_t>& side) {
  {
    const std::lock_guard lock(mutex_);
    cut_off_ = side;
  }
  for (const auto& link : links_) link->Update();
  record_.Line("the cut begins");
}

void Fleet::Heal() {
  {
    const std::lock_guard lock(mutex_);
    cut_off_.clear();
  }
  for (const auto& link : links_) link->Update();
  record_.Line("the cut ends");
}

std::string Fleet::Front(std::size_t machine) const { return Address(machine, kFrontPort); }

void Fleet::AwaitReady(std::size_t machine) const {
  constexpr milliseconds kStartTimeout{20'000};
  const auto end = Clock::now() + kStartTimeout;
  const std::string address = Address(machine, kReadyPort);
  while (
      Call(address, "GET", "/briarwood/readyz", {{"Host", address}}, {}, kOperatorTimeout).status !=
      200) {
    if (Clock::now() > end) throw RigError("an entry is not ready");
    std::this_thread::sleep_for(kPollInterval);
  }
}

void Fleet::ServePlatform(Channel& channel) {
  while (const auto head = channel.ReadHead()) {
    if (!channel.ReadBody(*head)) return;
    const std::string content = head->Word(0) == "GET" ? ListEngines() : std::string("{}");
    if (!channel.Write("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " +
                       std::to_string(content.size()) + "\r\n\r\n" + content)) {
      return;
    }
  }
}

std::string MakePlainState(unsigned version) {
  return MakeState(version, R"([{"name":"t1","apiKeys":["n2ctnfzs989anu6wsjnb"],"priority":1}])");
}

bool HasVersion(const std::string& content, unsigned version) {
  return content == MakePlainState(version);
}

}  // namespace briarwood::review
