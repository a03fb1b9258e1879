#include "links.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <set>
#include <sstream>

#include "rig.h"

namespace briarwood::review {
namespace {

namespace fs = std::filesystem;

constexpr int kPollMs = 20;

sockaddr_in ToSocketAddress(const std::string& address) {
  const std::size_t colon = address.rfind(':');
  sockaddr_in result{};
  result.sin_family = AF_INET;
  result.sin_port = htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
  inet_pton(AF_INET, address.substr(0, colon).c_str(), &result.sin_addr);
  return result;
}

bool Pump(int from, int to) {
  constexpr std::size_t kBytes = std::size_t{16} * 1024;
  std::array<char, kBytes> bytes{};
  const ssize_t received = recv(from, bytes.data(), bytes.size(), 0);
  if (received <= 0) return false;
  for (ssize_t sent = 0; sent < received;) {
    const ssize_t more =
        send(to, bytes.data() + sent, static_cast<std::size_t>(received - sent), MSG_NOSIGNAL);
    if (more <= 0) return false;
    sent += more;
  }
  return true;
}

/// \returns the inodes of the TCP sockets with this local port.
std::set<std::string> InodesOf(std::uint16_t port) {
  char wanted[8];
  std::snprintf(wanted, sizeof(wanted), ":%04X", port);
  std::set<std::string> inodes;
  std::ifstream table("/proc/self/net/tcp");
  std::string line;
  while (std::getline(table, line)) {
    std::istringstream words(line);
    std::string word;
    std::string local;
    constexpr int kInodeColumn = 9;
    words >> word >> local;
    if (!local.ends_with(wanted)) continue;
    for (int column = 2; column <= kInodeColumn; ++column) words >> word;
    inodes.insert("socket:[" + word + "]");
  }
  return inodes;
}

}  // namespace

bool OwnsLocalPort(pid_t process, std::uint16_t port) {
  if (process == 0) return false;
  const std::set<std::string> inodes = InodesOf(port);
  std::error_code error;
  fs::directory_iterator file("/proc/" + std::to_string(process) + "/fd", error);
  for (; !error && file != fs::directory_iterator(); file.increment(error)) {
    std::error_code ignored;
    if (inodes.contains(fs::read_symlink(file->path(), ignored).string())) return true;
  }
  return false;
}

Link::Link(const std::string& listen, const std::string& target,
           std::function<bool(std::uint16_t)> blocks)
    : target_(target), blocks_(std::move(blocks)) {
  descriptor_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int enabled = 1;
  setsockopt(descriptor_, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof(enabled));
  const sockaddr_in address = ToSocketAddress(listen);
  constexpr int kBacklog = 256;
  if (bind(descriptor_, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0 ||
      ::listen(descriptor_, kBacklog) != 0) {
    close(descriptor_);
    throw RigError("cannot listen on " + listen);
  }
  thread_ = std::thread([this] { Run(); });
}

Link::~Link() {
  stopping_ = true;
  shutdown(descriptor_, SHUT_RDWR);
  thread_.join();
  close(descriptor_);
  JoinEnded(/*all=*/true);
}

void Link::Run() {
  while (!stopping_) {
    sockaddr_in peer{};
    socklen_t size = sizeof(peer);
    const int accepted =
        accept4(descriptor_, reinterpret_cast<sockaddr*>(&peer), &size, SOCK_CLOEXEC);
    if (accepted < 0) continue;
    const std::uint16_t port = ntohs(peer.sin_port);
    const int target = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = ToSocketAddress(target_);
    const bool blocked = blocks_(port);
    if (!blocked &&
        connect(target, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0) {
      close(target);
      close(accepted);
      continue;
    }
    const int enabled = 1;
    setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
    setsockopt(target, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
    JoinEnded(/*all=*/false);
    const std::lock_guard lock(mutex_);
    Connection& connection = connections_.emplace_back();
    connection.peer = accepted;
    connection.target = target;
    connection.peer_port = port;
    connection.blocked = blocked;
    connection.thread = std::thread([this, &connection] { Forward(connection); });
  }
}

void Link::Forward(Connection& connection) const {
  bool open = true;
  while (open && !stopping_ && !connection.lost) {
    if (connection.blocked) {
      std::this_thread::sleep_for(milliseconds(kPollMs));
      continue;
    }
    std::array<pollfd, 2> ready{{{connection.peer, POLLIN, 0}, {connection.target, POLLIN, 0}}};
    poll(ready.data(), ready.size(), kPollMs);
    if (connection.blocked) continue;
    if (ready[0].revents != 0) open = Pump(connection.peer, connection.target);
    if (open && ready[1].revents != 0) open = Pump(connection.target, connection.peer);
  }
  close(connection.peer);
  close(connection.target);
  connection.ended = true;
}

void Link::Update() {
  const std::lock_guard lock(mutex_);
  for (Connection& connection : connections_) {
    if (connection.ended) continue;
    if (connection.blocked) {
      connection.lost = true;
    } else {
      connection.blocked = blocks_(connection.peer_port);
    }
  }
}

void Link::JoinEnded(bool all) {
  const std::lock_guard lock(mutex_);
  for (auto connection = connections_.begin(); connection != connections_.end();) {
    if (!all && !connection->ended) {
      ++connection;
      continue;
    }
    connection->thread.join();
    connection = connections_.erase(connection);
  }
}

}  // namespace briarwood::review
