#include "member_process.h"

#include <fcntl.h>
#include <gtest/gtest.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <filesystem>
#include <memory>
#include <thread>
#include <utility>

#include "briarwood/rpc/client.h"
#include "briarwood/rpc/error.h"
#include "node_group.h"

namespace briarwood::control {

namespace {

using common::TimerService;

constexpr std::chrono::milliseconds kOrderPeriod{5};
constexpr std::chrono::milliseconds kProposeTimeout{1500};

/// Pipes between a member process and the test.
struct Pipes {
  int in = -1;
  int out = -1;
  int orders = -1;
};

bool ReadAll(int descriptor, void* target, std::size_t size) {
  auto* bytes = static_cast<char*>(target);
  while (size > 0) {
    const ssize_t bytes_read = read(descriptor, bytes, size);
    if (bytes_read <= 0) return false;
    bytes += bytes_read;
    size -= static_cast<std::size_t>(bytes_read);
  }
  return true;
}

void WriteAll(int descriptor, const void* source, std::size_t size) {
  if (write(descriptor, source, size) != static_cast<ssize_t>(size)) _exit(1);
}

std::vector<schema::ControlPeer> ReadPeers(const Pipes& pipes, std::size_t count) {
  std::vector<std::uint16_t> ports(count);
  if (!ReadAll(pipes.in, ports.data(), count * sizeof(std::uint16_t))) _exit(1);
  std::vector<schema::ControlPeer> peers(count);
  for (std::size_t i = 0; i < count; ++i) {
    peers[i].set_member_id(i + 1);
    peers[i].set_rpc_address("127.0.0.1:" + std::to_string(ports[i]));
  }
  return peers;
}

[[noreturn]] void RunMember(std::size_t slot, std::size_t count, const std::string& folder,
                            std::uint16_t port, const Pipes& pipes) {
  TimerService timers;
  rpc::Server server;
  NodeOptions options{.id = common::MemberId(slot + 1),
                      .data_folder = folder + "/" + std::to_string(slot),
                      .snapshot_every_entries = 200};
  auto node = RegisterNode::Create(std::move(options), server, timers, {}, &RegisterState::Restore);
  if (!node.ok()) _exit(1);
  auto used = server.Start({.listen = "127.0.0.1:" + std::to_string(port)});
  if (!used.ok()) _exit(1);
  const std::uint16_t used_port = used.value();
  WriteAll(pipes.out, &used_port, sizeof used_port);
  node.value()->Start(ReadPeers(pipes, count), false);
  while (true) {
    const common::Time now = TimerService::Now();
    if (const auto token = node.value()->OrderFencingToken(now)) {
      const OrderRecord order{slot + 1, token->value(), now.time_since_epoch().count()};
      // The pipe is non-blocking; orders that do not fit are missing from the record.
      static_cast<void>(!write(pipes.orders, &order, sizeof order));
    }
    std::this_thread::sleep_for(kOrderPeriod);
  }
}

}  // namespace

MemberProcesses::MemberProcesses(std::size_t count) : members_(count) {
  folder_ = (std::filesystem::temp_directory_path() / "briarwood-XXXXXX").string();
  if (mkdtemp(folder_.data()) == nullptr || pipe2(orders_, O_NONBLOCK) != 0) {
    throw common::Error("cannot prepare the member processes");
  }
  for (std::size_t slot = 0; slot < count; ++slot) Fork(slot);
  for (std::size_t slot = 0; slot < count; ++slot) SendPorts(slot);
}

MemberProcesses::~MemberProcesses() {
  for (std::size_t slot = 0; slot < members_.size(); ++slot) Kill(slot);
  close(orders_[0]);
  close(orders_[1]);
  std::filesystem::remove_all(folder_);
}

void MemberProcesses::Fork(std::size_t slot) {
  int to_member[2];
  int from_member[2];
  if (pipe(to_member) != 0 || pipe(from_member) != 0) throw common::Error("cannot create a pipe");
  Member& member = members_[slot];
  member.process = fork();
  if (member.process == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    RunMember(slot, members_.size(), folder_, member.port,
              {.in = to_member[0], .out = from_member[1], .orders = orders_[1]});
  }
  close(to_member[0]);
  close(from_member[1]);
  member.to_member = to_member[1];
  member.from_member = from_member[0];
  if (!ReadAll(member.from_member, &member.port, sizeof member.port)) {
    throw common::Error("member process did not start");
  }
}

void MemberProcesses::SendPorts(std::size_t slot) const {
  std::vector<std::uint16_t> ports;
  for (const Member& member : members_) ports.push_back(member.port);
  WriteAll(members_[slot].to_member, ports.data(), ports.size() * sizeof(std::uint16_t));
}

void MemberProcesses::Signal(std::size_t slot, int signal) const {
  kill(members_[slot].process, signal);
}

void MemberProcesses::LimitFileSize(std::size_t slot, std::uint64_t bytes) const {
  rlimit limit{};
  ASSERT_EQ(prlimit(members_[slot].process, RLIMIT_FSIZE, nullptr, &limit), 0);
  limit.rlim_cur = std::min<rlim_t>(bytes, limit.rlim_max);
  ASSERT_EQ(prlimit(members_[slot].process, RLIMIT_FSIZE, &limit, nullptr), 0);
}

bool MemberProcesses::Running(std::size_t slot) const {
  siginfo_t info{};
  return waitid(P_PID, static_cast<id_t>(members_[slot].process), &info,
                WEXITED | WNOHANG | WNOWAIT) == 0 &&
         info.si_pid == 0;
}

void MemberProcesses::Kill(std::size_t slot) {
  Member& member = members_[slot];
  if (member.process <= 0) return;
  kill(member.process, SIGKILL);
  waitpid(member.process, nullptr, 0);
  member.process = -1;
  close(member.to_member);
  close(member.from_member);
}

void MemberProcesses::Restart(std::size_t slot) {
  Fork(slot);
  SendPorts(slot);
}

std::optional<schema::ProposeResponse> MemberProcesses::Propose(
    std::size_t slot, const std::string& operation) const {
  rpc::Client client({.address = "127.0.0.1:" + std::to_string(members_[slot].port),
                      .timeout = kProposeTimeout + std::chrono::milliseconds(500)});
  schema::ProposeRequest request;
  *request.mutable_command() = RegisterCommand(operation);
  request.set_timeout_ms(kProposeTimeout.count());
  try {
    return client.Call<schema::ProposeResponse>("Propose", request);
  } catch (const rpc::RpcError&) {
    return std::nullopt;
  }
}

std::optional<std::size_t> MemberProcesses::Write(const std::string& operation,
                                                  std::uint64_t* count) {
  std::optional<std::size_t> leader;
  static_cast<void>(Eventually([&] {
    for (std::size_t slot = 0; slot < members_.size() && !leader; ++slot) {
      if (members_[slot].process <= 0) continue;
      const auto answer = Propose(slot, operation);
      if (!answer || answer->status() != schema::ProposeResponse::STATUS_APPLIED) continue;
      if (count != nullptr) *count = answer->result().current_version();
      leader = slot;
    }
    return leader.has_value();
  }));
  return leader;
}

void MemberProcesses::CollectOrders(std::vector<OrderRecord>& orders) const {
  OrderRecord order;
  while (read(orders_[0], &order, sizeof order) == static_cast<ssize_t>(sizeof order)) {
    orders.push_back(order);
  }
}

}  // namespace briarwood::control
