#pragma once

#include <sys/types.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "fleet.pb.h"

namespace briarwood::control {

/// Order that a member was allowed to send.
struct OrderRecord {
  std::uint64_t member = 0;
  std::uint64_t term = 0;
  /// Time that was passed to OrderFencingToken.
  std::int64_t checked_at_ns = 0;
};

/// Group of control members in separate processes, forked from the test. Create and restart members
/// only while the test has a single thread.
class MemberProcesses {
 public:
  explicit MemberProcesses(std::size_t count);
  MemberProcesses(const MemberProcesses&) = delete;
  MemberProcesses& operator=(const MemberProcesses&) = delete;
  /// Kills all members.
  ~MemberProcesses();

  void Signal(std::size_t slot, int signal) const;
  void Kill(std::size_t slot);
  void Restart(std::size_t slot);
  /// Lets the member write no file beyond this size, as on a disk without room; the member has to
  /// ignore SIGXFSZ.
  void LimitFileSize(std::size_t slot, std::uint64_t bytes) const;
  /// \returns false if the process has ended.
  [[nodiscard]] bool Running(std::size_t slot) const;

  /// Proposes to one member; \returns std::nullopt if the call fails.
  [[nodiscard]] std::optional<schema::ProposeResponse> Propose(std::size_t slot,
                                                               const std::string& operation) const;
  /// Proposes to all members in turn until one applies the command; \returns its slot.
  std::optional<std::size_t> Write(const std::string& operation, std::uint64_t* count = nullptr);
  /// Appends the orders recorded since the last call.
  void CollectOrders(std::vector<OrderRecord>& orders) const;

  [[nodiscard]] std::size_t size() const { return members_.size(); }

 private:
  struct Member {
    pid_t process = -1;
    int to_member = -1;
    int from_member = -1;
    std::uint16_t port = 0;
  };

  void Fork(std::size_t slot);
  void SendPorts(std::size_t slot) const;

  std::string folder_;
  int orders_[2] = {-1, -1};
  std::vector<Member> members_;
};

}  // namespace briarwood::control
