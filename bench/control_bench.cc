// Benchmarks a group of three control members, each in its own process, over loopback:
//   control_bench commits [seconds]   durable commits per second with 1 and with 64 writers
//   control_bench failover [rounds]   time without a leader after kill -9 of the leader
//   control_bench restart [changes]   restart time of a member after that many changes
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <functional>
#include <iostream>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "briarwood/common/digest.h"
#include "briarwood/common/timer_service.h"
#include "briarwood/control/control_node.h"
#include "briarwood/rpc/client.h"
#include "briarwood/rpc/error.h"

namespace briarwood::control {
namespace {

using common::TimerService;
using std::chrono::milliseconds;

constexpr std::size_t kMembers = 3;
constexpr milliseconds kProposeTimeout{2000};

double SecondsSince(common::Time start) { return common::ToSeconds(TimerService::Now() - start); }

/// Parser that returns one customer with the id "c" for every document.
ConfigurationParser OneCustomerParser() {
  ConfigurationParser parser;
  parser.parse = [](const std::string& /*document*/, const std::string& /*content*/) {
    schema::Configuration configuration;
    configuration.add_customers()->set_id("c");
    return common::Result<schema::Configuration, Problems>::Success(std::move(configuration));
  };
  parser.validate = [](const schema::Configuration& /*merged*/) { return Problems(); };
  return parser;
}

schema::Command MakeGrantCommand(const std::string& operation) {
  schema::Command command;
  schema::GrantKey& grant = *command.mutable_grant_key();
  grant.set_operation_id(operation);
  grant.set_customer("c");
  grant.set_key_sha256(common::Sha256(operation));
  grant.set_label("bench");
  grant.set_operator_name("bench");
  return command;
}

/// Times from the start of a member until it listens and until a majority has confirmed its state.
struct StartReport {
  double opened_seconds = 0;
  double confirmed_seconds = 0;
  std::uint64_t applied_index = 0;
};

class Group {
 public:
  explicit Group(std::uint64_t snapshot_every) : snapshot_every_(snapshot_every) {
    folder_ = (std::filesystem::temp_directory_path() / "briarwood-bench-XXXXXX").string();
    if (mkdtemp(folder_.data()) == nullptr) throw common::Error("cannot create a temporary folder");
    for (std::size_t slot = 0; slot < kMembers; ++slot) Fork(slot);
    for (std::size_t slot = 0; slot < kMembers; ++slot) SendPorts(slot);
    for (std::size_t slot = 0; slot < kMembers; ++slot) static_cast<void>(ReadReport(slot));
  }
  Group(const Group&) = delete;
  Group& operator=(const Group&) = delete;
  ~Group() {
    for (std::size_t slot = 0; slot < kMembers; ++slot) Kill(slot);
    std::filesystem::remove_all(folder_);
  }

  void Kill(std::size_t slot) {
    kill(members_[slot].process, SIGKILL);
    waitpid(members_[slot].process, nullptr, 0);
    close(members_[slot].to_member);
    close(members_[slot].from_member);
  }

  StartReport Restart(std::size_t slot) {
    Fork(slot);
    SendPorts(slot);
    return ReadReport(slot);
  }

  [[nodiscard]] std::string AddressOf(std::size_t slot) const {
    return "127.0.0.1:" + std::to_string(members_[slot].port);
  }

  /// Proposes the command to the members in turn until one applies it.
  /// \returns the slot of that member.
  std::size_t Write(const schema::Command& command, std::optional<std::size_t> skip = {}) {
    for (std::size_t slot = 0;; slot = (slot + 1) % kMembers) {
      if (slot == skip) continue;
      rpc::Client client({.address = AddressOf(slot), .timeout = 2 * kProposeTimeout});
      try {
        const auto response = client.Call<schema::ProposeResponse>(
            "Propose", MakeProposeRequest(command, milliseconds(300)));
        if (response.status() == schema::ProposeResponse::STATUS_APPLIED) return slot;
      } catch (const rpc::RpcError&) {
        // Another member may be the leader.
      }
      std::this_thread::sleep_for(milliseconds(5));
    }
  }

  [[nodiscard]] static schema::ProposeRequest MakeProposeRequest(const schema::Command& command,
                                                                 milliseconds timeout) {
    schema::ProposeRequest request;
    *request.mutable_command() = command;
    request.set_timeout_ms(static_cast<std::uint64_t>(timeout.count()));
    return request;
  }

 private:
  struct Member {
    pid_t process = -1;
    int to_member = -1;
    int from_member = -1;
    std::uint16_t port = 0;
  };

  void Fork(std::size_t slot) {
    int to_member[2];
    int from_member[2];
    if (pipe(to_member) != 0 || pipe(from_member) != 0) throw common::Error("cannot create a pipe");
    Member& member = members_[slot];
    member.process = fork();
    if (member.process == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      RunMember(slot, to_member[0], from_member[1]);
    }
    close(to_member[0]);
    close(from_member[1]);
    member.to_member = to_member[1];
    member.from_member = from_member[0];
    ReadOrThrow(member.from_member, &member.port, sizeof member.port);
  }

  [[noreturn]] void RunMember(std::size_t slot, int in, int out) {
    const common::Time start = TimerService::Now();
    StartReport report;
    TimerService timers;
    rpc::Server server;
    NodeOptions options{.id = common::MemberId(slot + 1),
                        .data_folder = folder_ + "/" + std::to_string(slot),
                        .snapshot_every_entries = snapshot_every_};
    auto node = ControlNode::Create(
        std::move(options), server, timers, ControlState(OneCustomerParser()),
        [](std::string_view bytes) { return ControlState::Restore(bytes, OneCustomerParser()); });
    if (!node.ok()) _exit(1);
    auto port = server.Start({.listen = "127.0.0.1:" + std::to_string(members_[slot].port)});
    if (!port.ok()) _exit(1);
    report.opened_seconds = SecondsSince(start);
    const std::uint16_t bound_port = port.value();
    WriteOrExit(out, &bound_port, sizeof bound_port);
    std::vector<std::uint16_t> ports(kMembers);
    ReadOrThrow(in, ports.data(), kMembers * sizeof(std::uint16_t));
    node.value()->Start(MakePeers(ports), false);
    while (!node.value()->confirmation()) std::this_thread::sleep_for(milliseconds(1));
    report.confirmed_seconds = SecondsSince(start);
    report.applied_index = node.value()->applied_index().value();
    WriteOrExit(out, &report, sizeof report);
    while (true) pause();
  }

  [[nodiscard]] static std::vector<schema::ControlPeer> MakePeers(
      const std::vector<std::uint16_t>& ports) {
    std::vector<schema::ControlPeer> peers(kMembers);
    for (std::size_t i = 0; i < kMembers; ++i) {
      peers[i].set_member_id(i + 1);
      peers[i].set_rpc_address("127.0.0.1:" + std::to_string(ports[i]));
    }
    return peers;
  }

  void SendPorts(std::size_t slot) const {
    std::vector<std::uint16_t> ports;
    for (const Member& member : members_) ports.push_back(member.port);
    WriteOrExit(members_[slot].to_member, ports.data(), kMembers * sizeof(std::uint16_t));
  }

  [[nodiscard]] StartReport ReadReport(std::size_t slot) const {
    StartReport report;
    ReadOrThrow(members_[slot].from_member, &report, sizeof report);
    return report;
  }

  static void ReadOrThrow(int descriptor, void* target, std::size_t size) {
    if (read(descriptor, target, size) != static_cast<ssize_t>(size)) {
      throw common::Error("a member process exited");
    }
  }
  static void WriteOrExit(int descriptor, const void* source, std::size_t size) {
    if (write(descriptor, source, size) != static_cast<ssize_t>(size)) _exit(1);
  }

  std::uint64_t snapshot_every_;
  std::string folder_;
  std::vector<Member> members_{kMembers};
};

void Configure(Group& group) {
  schema::Command command;
  command.mutable_apply_configuration()->set_document("bench");
  command.mutable_apply_configuration()->set_version(1);
  command.mutable_apply_configuration()->set_content("customer c");
  group.Write(command);
}

/// Commits commands in `writers` threads until `done` returns true.
/// \returns the sorted latencies in milliseconds.
std::vector<double> RunWriters(Group& group, std::size_t leader, unsigned writers,
                               const std::string& name,
                               const std::function<bool(std::uint64_t started)>& done) {
  rpc::Client client({.address = group.AddressOf(leader), .timeout = 2 * kProposeTimeout});
  std::atomic<std::uint64_t> started = 0;
  std::vector<std::vector<double>> latencies(writers);
  std::vector<std::thread> threads;
  for (unsigned i = 0; i < writers; ++i) {
    threads.emplace_back([&, i] {
      for (std::uint64_t next = started++; !done(next); next = started++) {
        const common::Time begin = TimerService::Now();
        const auto response = client.Call<schema::ProposeResponse>(
            "Propose", Group::MakeProposeRequest(MakeGrantCommand(name + std::to_string(next)),
                                                 kProposeTimeout));
        if (response.status() != schema::ProposeResponse::STATUS_APPLIED ||
            response.result().code() != schema::RESULT_CODE_OK) {
          throw common::Error("a command was not applied");
        }
        constexpr double kMillisecondsPerSecond = 1000;
        latencies[i].push_back(SecondsSince(begin) * kMillisecondsPerSecond);
      }
    });
  }
  for (std::thread& thread : threads) thread.join();
  std::vector<double> all;
  for (const auto& part : latencies) all.insert(all.end(), part.begin(), part.end());
  std::sort(all.begin(), all.end());
  return all;
}

void MeasureCommits(double seconds) {
  for (const unsigned writers : {1U, 64U}) {
    Group group(NodeOptions().snapshot_every_entries);
    Configure(group);
    const std::size_t leader = group.Write(MakeGrantCommand("first"));
    const common::Time start = TimerService::Now();
    const std::vector<double> latencies = RunWriters(
        group, leader, writers, "k", [&](std::uint64_t) { return SecondsSince(start) >= seconds; });
    const double elapsed = SecondsSince(start);
    std::cout << writers << " writers: " << static_cast<double>(latencies.size()) / elapsed
              << " commits/s, latency ms p50 " << latencies[latencies.size() / 2] << " p99 "
              << latencies[latencies.size() * 99 / 100] << " (" << latencies.size()
              << " commits in " << elapsed << " s)\n";
  }
}

void MeasureFailover(int rounds) {
  Group group(NodeOptions().snapshot_every_entries);
  Configure(group);
  std::vector<double> downtimes;
  for (int round = 0; round < rounds; ++round) {
    const std::string name = std::to_string(round);
    const std::size_t leader = group.Write(MakeGrantCommand("before" + name));
    group.Kill(leader);
    const common::Time killed = TimerService::Now();
    group.Write(MakeGrantCommand("after" + name), leader);
    downtimes.push_back(SecondsSince(killed));
    static_cast<void>(group.Restart(leader));
  }
  std::sort(downtimes.begin(), downtimes.end());
  std::cout << "seconds from kill -9 of the leader to the next applied command: min "
            << downtimes.front() << " median " << downtimes[downtimes.size() / 2] << " max "
            << downtimes.back() << " (" << rounds << " rounds)\n";
}

void MeasureRestart(std::uint64_t changes) {
  constexpr unsigned kWriters = 64;
  for (const std::uint64_t snapshot_every : {changes * 2, changes / 2}) {
    Group group(snapshot_every);
    Configure(group);
    const std::size_t leader = group.Write(MakeGrantCommand("first"));
    static_cast<void>(RunWriters(group, leader, kWriters, "k",
                                 [&](std::uint64_t next) { return next >= changes; }));
    const std::size_t restarted = (leader + 1) % kMembers;
    group.Kill(restarted);
    const StartReport report = group.Restart(restarted);
    std::cout << "restart after " << changes << " changes, snapshot every " << snapshot_every
              << ": opened after " << report.opened_seconds << " s, confirmed after "
              << report.confirmed_seconds << " s at index " << report.applied_index << "\n";
  }
}

int Run(const std::vector<std::string>& arguments) {
  const std::string mode = arguments.empty() ? "" : arguments[0];
  const auto number = [&](int fallback) {
    return arguments.size() > 1 ? std::stoi(arguments[1]) : fallback;
  };
  constexpr int kDefaultSeconds = 10;
  constexpr int kDefaultRounds = 20;
  constexpr int kDefaultChanges = 10'000;
  if (mode == "commits") {
    MeasureCommits(number(kDefaultSeconds));
  } else if (mode == "failover") {
    MeasureFailover(number(kDefaultRounds));
  } else if (mode == "restart") {
    MeasureRestart(static_cast<std::uint64_t>(number(kDefaultChanges)));
  } else {
    std::cerr << "usage: control_bench commits [seconds] | failover [rounds] | restart [changes]\n";
    return EXIT_FAILURE;
  }
  return EXIT_SUCCESS;
}

}  // namespace
}  // namespace briarwood::control

int main(int argc, char** argv) {
  try {
    return briarwood::control::Run({argv + 1, argv + argc});
  } catch (const std::exception& error) {
    std::cerr << "control_bench: " << error.what() << "\n";
    return EXIT_FAILURE;
  }
}
