#include "rig.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <signal.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <random>
#include <sstream>

namespace briarwood::review {
namespace {

namespace fs = std::filesystem;

constexpr std::size_t kMaxHeadBytes = std::size_t{64} * 1024;
constexpr std::size_t kReadBytes = std::size_t{16} * 1024;
constexpr int kBacklog = 1024;
constexpr milliseconds kOperatorTimeout{1000};
constexpr milliseconds kStartTimeout{20'000};
constexpr milliseconds kPollInterval{50};

// Offsets of the ports of one machine; all machines have the same ports.
constexpr int kFrontPort = 0;
constexpr int kReadyPort = 1;
constexpr int kControlPort = 2;
constexpr int kPlatformPort = 3;
constexpr int kEnginePort = 4;
constexpr int kFirstRangePort = 5;
constexpr int kPorts = 7;
// Last octets of the loopback addresses.
constexpr std::size_t kFirstMachine = 10;
constexpr std::size_t kPlatformHost = 100;
constexpr unsigned kFirstEngine = 110;

std::mt19937_64& Random() {
  static std::mt19937_64 random(std::random_device{}());
  return random;
}

std::uint64_t NextRandom() {
  static std::mutex mutex;
  const std::lock_guard lock(mutex);
  return Random()();
}

sockaddr_in ToSocketAddress(const std::string& address) {
  const std::size_t colon = address.rfind(':');
  sockaddr_in result{};
  result.sin_family = AF_INET;
  result.sin_port = htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
  if (inet_pton(AF_INET, address.substr(0, colon).c_str(), &result.sin_addr) != 1) {
    throw RigError("invalid address " + address);
  }
  return result;
}

/// \returns a listening socket, or -1.
int OpenListener(const std::string& address) {
  const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int enabled = 1;
  setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof(enabled));
  const sockaddr_in target = ToSocketAddress(address);
  if (bind(descriptor, reinterpret_cast<const sockaddr*>(&target), sizeof(target)) != 0 ||
      listen(descriptor, kBacklog) != 0) {
    close(descriptor);
    return -1;
  }
  return descriptor;
}

std::string ReadFile(const std::string& name) {
  const std::ifstream file(name);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

void ReplaceAll(std::string& text, const std::string& from, const std::string& to) {
  for (std::size_t at = text.find(from); at != std::string::npos;
       at = text.find(from, at + to.size())) {
    text.replace(at, from.size(), to);
  }
}

std::string ToLower(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(),
                 [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
  return text;
}

}  // namespace

bool WithTrouble() {
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

Record::Record(const std::string& file_name) : file_(std::fopen(file_name.c_str(), "w")) {
  if (file_ == nullptr) throw RigError("cannot write " + file_name);
}

Record::~Record() { std::fclose(file_); }

void Record::Line(const std::string& text) {
  const std::lock_guard lock(mutex_);
  const auto since = std::chrono::duration_cast<milliseconds>(Clock::now() - start_);
  std::fprintf(file_, "%8.3f %s\n", static_cast<double>(since.count()) / 1000, text.c_str());
  std::fflush(file_);
}

std::string Head::Find(const std::string& name) const {
  const auto found = headers.find(name);
  return found == headers.end() ? std::string() : found->second;
}

std::string Head::Word(std::size_t index) const {
  std::istringstream words(first_line);
  std::string word;
  for (std::size_t i = 0; i <= index; ++i) {
    if (!(words >> word)) return {};
  }
  return word;
}

Channel::~Channel() { close(descriptor_); }

std::unique_ptr<Channel> Channel::Connect(const std::string& address, milliseconds timeout) {
  const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (descriptor < 0) return nullptr;
  auto channel = std::make_unique<Channel>(descriptor);
  channel->SetTimeout(timeout);
  const int enabled = 1;
  setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
  const sockaddr_in target = ToSocketAddress(address);
  if (connect(descriptor, reinterpret_cast<const sockaddr*>(&target), sizeof(target)) != 0) {
    return nullptr;
  }
  return channel;
}

void Channel::SetTimeout(milliseconds timeout) const {
  const auto micros = std::chrono::duration_cast<std::chrono::microseconds>(timeout).count();
  timeval value{};
  value.tv_sec = micros / 1'000'000;
  value.tv_usec = micros % 1'000'000;
  setsockopt(descriptor_, SOL_SOCKET, SO_RCVTIMEO, &value, sizeof(value));
  setsockopt(descriptor_, SOL_SOCKET, SO_SNDTIMEO, &value, sizeof(value));
}

bool Channel::Fill() {
  char bytes[kReadBytes];
  const ssize_t received = recv(descriptor_, bytes, sizeof(bytes), 0);
  if (received <= 0) return false;
  buffer_.append(bytes, static_cast<std::size_t>(received));
  return true;
}

std::optional<std::string> Channel::ReadLine() {
  std::size_t end = buffer_.find("\r\n");
  while (end == std::string::npos) {
    if (buffer_.size() > kMaxHeadBytes || !Fill()) return std::nullopt;
    end = buffer_.find("\r\n");
  }
  std::string line = buffer_.substr(0, end);
  buffer_.erase(0, end + 2);
  return line;
}

std::optional<Head> Channel::ReadHead() {
  Head head;
  const auto first = ReadLine();
  if (!first) return std::nullopt;
  head.first_line = *first;
  while (true) {
    const auto line = ReadLine();
    if (!line) return std::nullopt;
    if (line->empty()) return head;
    const std::size_t colon = line->find(':');
    if (colon == std::string::npos) return std::nullopt;
    const std::size_t start = std::min(line->find_first_not_of(' ', colon + 1), line->size());
    head.headers[ToLower(line->substr(0, colon))] = line->substr(start);
  }
}

std::optional<std::string> Channel::ReadBytes(std::size_t count) {
  while (buffer_.size() < count) {
    if (!Fill()) return std::nullopt;
  }
  std::string bytes = buffer_.substr(0, count);
  buffer_.erase(0, count);
  return bytes;
}

std::optional<std::string> Channel::ReadBody(const Head& head) {
  if (const std::string length = head.Find("content-length"); !length.empty()) {
    return ReadBytes(std::stoul(length));
  }
  std::string body;
  if (head.Find("transfer-encoding") != "chunked") return body;
  while (true) {
    const auto size = ReadLine();
    if (!size) return std::nullopt;
    const std::size_t bytes = std::stoul(*size, nullptr, 16);
    const auto chunk = ReadBytes(bytes);
    if (!chunk || !ReadLine()) return std::nullopt;
    if (bytes == 0) return body;
    body += *chunk;
  }
}

bool Channel::Write(std::string_view bytes) const {
  while (!bytes.empty()) {
    const ssize_t sent = send(descriptor_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (sent <= 0) return false;
    bytes.remove_prefix(static_cast<std::size_t>(sent));
  }
  return true;
}

void Channel::Shutdown() const { shutdown(descriptor_, SHUT_RDWR); }

void Channel::Reset() const {
  const linger now{.l_onoff = 1, .l_linger = 0};
  setsockopt(descriptor_, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
}

Listener::Listener(const std::string& address, Handler handler)
    : descriptor_(OpenListener(address)), handler_(std::move(handler)) {
  if (descriptor_ < 0) throw RigError("cannot listen on " + address);
  thread_ = std::thread([this] { Run(); });
}

Listener::~Listener() {
  stopping_ = true;
  shutdown(descriptor_, SHUT_RDWR);
  thread_.join();
  close(descriptor_);
  std::unique_lock lock(mutex_);
  for (const auto& channel : channels_) channel->Shutdown();
  ended_.wait(lock, [this] { return channels_.empty(); });
}

void Listener::Run() {
  while (!stopping_) {
    const int accepted = accept4(descriptor_, nullptr, nullptr, SOCK_CLOEXEC);
    if (accepted < 0) continue;
    const int enabled = 1;
    setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
    auto channel = std::make_shared<Channel>(accepted);
    const std::lock_guard lock(mutex_);
    channels_.push_back(channel);
    std::thread([this, channel] {
      handler_(*channel);
      channel->Shutdown();
      const std::lock_guard inner(mutex_);
      std::erase(channels_, channel);
      ended_.notify_all();
    }).detach();
  }
}

Reply Call(const std::string& address, const std::string& method, const std::string& target,
           const std::vector<std::pair<std::string, std::string>>& headers, const std::string& body,
           milliseconds timeout) {
  Reply reply;
  const auto channel = Channel::Connect(address, timeout);
  if (channel == nullptr) return reply;
  std::string text = method + " " + target + " HTTP/1.1\r\n";
  for (const auto& [name, value] : headers) {
    text.append(name).append(": ").append(value).append("\r\n");
  }
  if (method != "GET") text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  text += "\r\n" + body;
  if (!channel->Write(text)) return reply;
  const auto head = channel->ReadHead();
  if (!head) return reply;
  const auto content = channel->ReadBody(*head);
  if (!content) return reply;
  reply.head = *head;
  reply.body = *content;
  reply.status = std::stoi(head->Word(1));
  return reply;
}

void Runs::Add(const std::string& attempt_id) {
  const std::lock_guard lock(mutex_);
  ++runs_[attempt_id];
}

int Runs::Of(const std::string& attempt_id) const {
  const std::lock_guard lock(mutex_);
  const auto found = runs_.find(attempt_id);
  return found == runs_.end() ? 0 : found->second;
}

void ServePlain(Channel& channel, Runs& runs,
                const std::function<std::string(const Head&)>& status_of) {
  while (const auto head = channel.ReadHead()) {
    if (!channel.ReadBody(*head)) return;
    const std::string id = head->Find("briarwood-attempt-id");
    runs.Add(id);
    constexpr milliseconds kWork{20};
    std::this_thread::sleep_for(kWork);
    if (!channel.Write(
            Join({"HTTP/1.1 ", status_of(*head), "\r\nBriarwood-Attempt-Id: ", id,
                  "\r\nBriarwood-Signature: s.", id, "\r\nContent-Length: 2\r\n\r\nok"}))) {
      return;
    }
  }
}

std::string Join(std::initializer_list<std::string_view> parts) {
  std::string text;
  for (const std::string_view part : parts) text.append(part);
  return text;
}

std::string Describe(const std::string& attempt_id, int status, int runs) {
  return Join({attempt_id, " status ", std::to_string(status), " runs ", std::to_string(runs)});
}

std::string NewAttemptId() {
  char text[17];
  std::snprintf(text, sizeof(text), "%08x%08x", static_cast<unsigned>(NextRandom()),
                static_cast<unsigned>(NextRandom()));
  return text;
}

Process::Process(std::string program, std::string settings, std::string log)
    : program_(std::move(program)), settings_(std::move(settings)), log_(std::move(log)) {}

void Process::Start() {
  std::string variable = "BRIARWOOD_NODE_FILE=" + settings_;
  std::vector<std::string> kept;
  for (const char* name : {"PATH", "HOME", "LANG"}) {
    if (const char* value = std::getenv(name)) kept.push_back(std::string(name) + "=" + value);
  }
  std::vector<char*> environment{variable.data()};
  for (std::string& item : kept) environment.push_back(item.data());
  environment.push_back(nullptr);
  char* arguments[] = {program_.data(), nullptr};
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  constexpr mode_t kLogMode = 0644;
  posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log_.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, kLogMode);
  posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  const int error =
      posix_spawn(&id_, program_.c_str(), &actions, nullptr, arguments, environment.data());
  posix_spawn_file_actions_destroy(&actions);
  if (error != 0) throw RigError("cannot start " + program_);
}

void Process::Kill() {
  if (!Running()) return;
  kill(id_, SIGKILL);
  waitpid(id_, nullptr, 0);
  id_ = 0;
}

void Process::Signal(int signal) const {
  if (id_ != 0) kill(id_, signal);
}

bool Process::Running() {
  if (id_ == 0) return false;
  if (waitpid(id_, nullptr, WNOHANG) == 0) return true;
  id_ = 0;
  return false;
}

std::size_t Process::MemoryMb() const {
  if (id_ == 0) return 0;
  std::istringstream pages(ReadFile("/proc/" + std::to_string(id_) + "/statm"));
  std::size_t total = 0;
  std::size_t resident = 0;
  pages >> total >> resident;
  constexpr std::size_t kBytesPerMb = std::size_t{1024} * 1024;
  return resident * static_cast<std::size_t>(sysconf(_SC_PAGESIZE)) / kBytesPerMb;
}

Deployment::Deployment(Record& record) : record_(record) {
  std::string folder = fs::temp_directory_path().string() + "/briarwood-review-XXXXXX";
  if (mkdtemp(folder.data()) == nullptr) throw RigError("cannot create a temporary folder");
  folder_ = folder;
  constexpr int kAttempts = 20;
  for (int attempt = 0; attempt < kAttempts && platform_ == nullptr; ++attempt) {
    network_ = "127." + std::to_string(NextRandom() % 200 + 20) + "." +
               std::to_string(NextRandom() % 250 + 1) + ".";
    first_port_ = static_cast<int>(NextRandom() % 8000) + 20'000;
    bool free = true;
    for (std::size_t machine = 0; machine < kMachines; ++machine) {
      for (int port = 0; port < kPorts; ++port) {
        const int probe = OpenListener(Ip(machine) + ":" + std::to_string(first_port_ + port));
        free = free && probe >= 0;
        if (probe >= 0) close(probe);
      }
    }
    if (!free) continue;
    platform_ = std::make_unique<Listener>(network_ + std::to_string(kPlatformHost) + ":" +
                                               std::to_string(first_port_ + kPlatformPort),
                                           [this](Channel& channel) { ServePlatform(channel); });
  }
  if (platform_ == nullptr) throw RigError("found no free ports");
}

Deployment::~Deployment() {
  for (const auto& process : entries_) process->Kill();
  for (const auto& process : members_) process->Kill();
  platform_.reset();
  const char* keep = std::getenv("KEEP");
  if (keep != nullptr) {
    std::cerr << "logs: " << folder_ << "\n";
    return;
  }
  std::error_code ignored;
  fs::remove_all(folder_, ignored);
}

std::string Deployment::Ip(std::size_t machine) const {
  return network_ + std::to_string(kFirstMachine + machine);
}

std::string Deployment::Front(std::size_t machine) const {
  return Ip(machine) + ":" + std::to_string(first_port_ + kFrontPort);
}

std::string Deployment::Settings(const std::string& file, std::size_t machine,
                                 bool bootstrap) const {
  std::string text = ReadFile(file);
  if (text.empty()) throw RigError("cannot read " + file);
  const auto port = [&](int offset) { return std::to_string(first_port_ + offset); };
  std::string seeds;
  for (std::size_t i = 0; i < kMachines; ++i) {
    seeds += (i == 0 ? "\"" : ",\"") + Ip(i) + ":" + port(kControlPort) + "\"";
  }
  ReplaceAll(text, "{{#seeds}}\"{{.}}\"{{,}}{{/seeds}}", seeds);
  const std::map<std::string, std::string> values = {
      {"dataDir", folder_ + "/data-" + std::to_string(machine)},
      {"node", "edge-" + std::to_string(machine)},
      {"zone", "zone-" + std::to_string(machine)},
      {"region", "region-1"},
      {"ip", Ip(machine)},
      {"portRange.0", port(kFirstRangePort)},
      {"portRange.1", port(kFirstRangePort + 1)},
      {"bootstrap", bootstrap ? "true" : "false"},
      {"faultTolerance.machines", "1"},
      {"listen.control", Ip(machine) + ":" + port(kControlPort)},
      {"listen.front", Front(machine)},
      {"listen.ready", Ip(machine) + ":" + port(kReadyPort)},
      {"cloud.addr", network_ + std::to_string(kPlatformHost) + ":" + port(kPlatformPort)},
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
  for (const auto& [name, value] : values) ReplaceAll(text, "{{" + name + "}}", value);
  return text;
}

void Deployment::WriteMemberSettings(std::size_t machine, bool bootstrap) const {
  std::ofstream(folder_ + "/control-" + std::to_string(machine) + ".toml")
      << Settings("platform/control.toml", machine, bootstrap);
}

void Deployment::Start() {
  for (std::size_t machine = 0; machine < kMachines; ++machine) {
    const std::string number = std::to_string(machine);
    fs::create_directories(folder_ + "/data-" + number);
    WriteMemberSettings(machine, /*bootstrap=*/true);
    std::ofstream(folder_ + "/entry-" + number + ".toml")
        << Settings("platform/entry.toml", machine, /*bootstrap=*/true);
    members_.push_back(std::make_unique<Process>("target/briarwood-platform-control",
                                                 folder_ + "/control-" + number + ".toml",
                                                 folder_ + "/control-" + number + ".log"));
    entries_.push_back(std::make_unique<Process>("target/briarwood-platform-entry",
                                                 folder_ + "/entry-" + number + ".toml",
                                                 folder_ + "/entry-" + number + ".log"));
  }
  for (std::size_t machine = 0; machine < kMachines; ++machine) {
    members_[machine]->Start();
    entries_[machine]->Start();
  }
}

std::string Deployment::AddEngine(const std::string& id, const std::string& service,
                                  unsigned slots) {
  const std::lock_guard lock(mutex_);
  std::string address = network_ + std::to_string(kFirstEngine + engines_) + ":" +
                        std::to_string(first_port_ + kEnginePort);
  const auto born =
      std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch())
          .count();
  std::ostringstream entry;
  entry << R"({"service":")" << service << R"(","addr":")" << address << R"(","zone":"zone-)"
        << engines_ % kMachines << R"(","version":"v1","slots":)" << slots
        << R"(,"state":"ready","coldLeftMs":0,"id":")" << id << R"(","born":)" << born << "}";
  instances_ += (instances_.empty() ? "" : ",") + entry.str();
  ++engines_;
  return address;
}

void Deployment::ServePlatform(Channel& channel) {
  while (const auto head = channel.ReadHead()) {
    const auto body = channel.ReadBody(*head);
    if (!body) return;
    std::string content = "{}";
    if (head->Word(0) == "GET") {
      const std::lock_guard lock(mutex_);
      content = R"({"instances":[)" + instances_ + R"(],"next":null})";
    }
    if (!channel.Write("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " +
                       std::to_string(content.size()) + "\r\n\r\n" + content)) {
      return;
    }
  }
}

int Deployment::PutConfiguration(const std::string& content) {
  const auto end = Clock::now() + kStartTimeout;
  for (std::size_t attempt = 0; Clock::now() < end; ++attempt) {
    const std::string address =
        Ip(attempt % kMachines) + ":" + std::to_string(first_port_ + kControlPort);
    const Reply reply =
        Call(address, "PUT", "/briarwood/config",
             {{"Host", address}, {"Content-Type", "application/json"}}, content, kOperatorTimeout);
    if (reply.status == 200 || (reply.status >= 400 && reply.status < 500)) return reply.status;
    std::this_thread::sleep_for(kPollInterval);
  }
  return 0;
}

Reply Deployment::ReadConfiguration(std::size_t machine) const {
  const std::string address = Ip(machine) + ":" + std::to_string(first_port_ + kControlPort);
  return Call(address, "GET", "/briarwood/config", {{"Host", address}}, {}, kOperatorTimeout);
}

void Deployment::AwaitReady() {
  const auto end = Clock::now() + kStartTimeout;
  for (std::size_t machine = 0; machine < kMachines;) {
    const std::string address = Ip(machine) + ":" + std::to_string(first_port_ + kReadyPort);
    const Reply reply =
        Call(address, "GET", "/briarwood/readyz", {{"Host", address}}, {}, kOperatorTimeout);
    if (reply.status == 200) {
      ++machine;
      continue;
    }
    if (Clock::now() > end) throw RigError("an entry is not ready");
    std::this_thread::sleep_for(kPollInterval);
  }
  record_.Line("all entries are ready");
}

std::string MakeState(unsigned version, const std::string& tenants, unsigned more_routes) {
  std::ostringstream state;
  state << R"({"version":)" << version << R"(,"routes":[)";
  for (unsigned route = 0; route <= more_routes; ++route) {
    const std::string name = route == 0 ? "u" : "u" + std::to_string(route);
    state << (route == 0 ? "" : ",") << R"({"name":"r-)" << name
          << R"(","host":"a.example","pathPrefix":"/)" << name
          << R"(/","type":"unsafe","timeoutMs":1500,"sloMs":300,"priority":1,"service":"app",)"
          << R"("attempts":1,"public":false,"affinity":false})";
  }
  state << R"(],"services":[{"name":"app","healthPath":"/healthz","maxConns":120,"protocol":"h1",)"
        << R"("tls":false}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,)"
        << R"("headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":)" << tenants << "}";
  return state.str();
}

Reply Book(const std::string& front, const std::string& key, const std::string& attempt_id) {
  constexpr milliseconds kTimeLimit{1500};
  return Call(front, "POST", "/u/booking",
              {{"Host", "a.example"},
               {"Briarwood-Attempt-Id", attempt_id},
               {"Briarwood-Deadline-Ms", std::to_string(kTimeLimit.count())},
               {"Authorization", "Bearer " + key}},
              "{}", kTimeLimit);
}

int RunCase(const std::function<bool(Record& record)>& rule_held, int argc, char** argv) {
  if (argc != 2) {
    std::cerr << "usage: " << argv[0] << " RECORD_FILE\n";
    return kCannotRun;
  }
  try {
    Record record(argv[1]);
    record.Line(WithTrouble() ? "with the disruption" : "without the disruption");
    const bool held = rule_held(record);
    record.Line(held ? "result: the rule held" : "result: the rule was broken");
    std::cout << (held ? "the rule held" : "the rule was broken") << std::endl;
    return held ? kRuleHeld : kRuleBroken;
  } catch (const std::exception& error) {
    std::cerr << "cannot run: " << error.what() << "\n";
    return kCannotRun;
  }
}

}  // namespace briarwood::review
