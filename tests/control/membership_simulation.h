#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "briarwood/common/random.h"
#include "briarwood/consensus/raft.h"
#include "briarwood/control/membership_manager.h"

namespace briarwood::control {

/// Runs a group whose members are added, removed, restarted and wiped, and cut into two parts, in
/// virtual time with events derived from a seed. The losses stay within the tolerated number.
class MembershipSimulation {
 public:
  explicit MembershipSimulation(std::uint64_t seed);

  /// \returns the first violation, if any.
  [[nodiscard]] std::optional<std::string> Run();

  struct Coverage {
    std::uint64_t acknowledged = 0;
    std::uint64_t cuts = 0;
    std::uint64_t added = 0;
    std::uint64_t removed = 0;
    std::uint64_t replaced = 0;
    std::uint64_t restarts = 0;
    std::uint64_t wipes = 0;
    std::uint64_t max_core = 0;
  };
  [[nodiscard]] const Coverage& coverage() const { return coverage_; }

 private:
  using Milliseconds = std::chrono::milliseconds;

  enum class EventKind : std::uint8_t { kAdd, kRemove, kReplace, kRestart, kWipe, kCut };

  struct Refusals {
    common::Time first;
    common::Time last;
  };
  struct Machine {
    std::string address;
    /// Zero until the group has admitted the machine.
    common::MemberId id;
    /// Id that a wiped machine had; it joins under a higher one.
    common::MemberId previous_id;
    schema::Membership initial_membership;
    consensus::DurableState durable;
    std::optional<consensus::Raft> raft;
    std::unique_ptr<MembershipManager> manager;
    std::map<std::uint64_t, Refusals> refusals;
    std::set<std::uint64_t> applied_writes;
    /// Writes that this machine proposed as the leader, by the index and term of their entry.
    std::map<std::pair<std::uint64_t, std::uint64_t>, std::uint64_t> proposed;
    bool removed = false;
    /// Whether connections are refused while the process is down; a machine without power is
    /// silent.
    bool refuses = true;
    bool leaving = false;
    /// A learner can take the vote of the machine, which is removed.
    bool replaceable = false;
    common::Time leave_deadline;
    common::Duration downtime{};
    std::optional<common::Time> starts_at;
    std::optional<common::Time> join_sent_at;
    /// Counts as lost until then.
    common::Time lost_until;
    int side = 0;

    [[nodiscard]] bool running() const { return raft.has_value(); }
  };
  struct Message {
    common::Time due;
    std::size_t from = 0;
    schema::ConsensusMessage message;
  };

  void Step();
  void StartFounders(std::size_t count);
  std::size_t AddMachine();
  void StartProcess(Machine& machine);
  void StopProcess(Machine& machine);
  void Join(Machine& machine);
  void Leave(Machine& machine);
  void Pump(std::size_t index);
  void Execute(std::size_t index, consensus::Action& action);
  void Send(std::size_t from, const schema::ConsensusMessage& message);
  void Apply(Machine& machine, const consensus::ApplyEntries& action);
  [[nodiscard]] EventKind RandomKind();
  /// Plans an event right after another one, which random times rarely give.
  void FollowUp(EventKind kind, common::Duration delay);
  void RandomEvent();
  void Restart(Machine& machine, bool announced, bool wipe);
  void RemoveForGood(Machine& machine, bool announced);
  /// Removes a machine without an announcement; an empty one joins at another address.
  void Replace(Machine& machine);
  void Cut();
  void Heal();

  void CheckAcknowledgement(const Machine& leader);
  void CheckProgress();
  void CheckEnd();
  void Fail(const std::string& what);
  [[nodiscard]] std::string Time() const;
  /// Adds an event to the text of a violation.
  void Note(const std::string& event);

  [[nodiscard]] NodeStatus StatusOf(const Machine& machine) const;
  [[nodiscard]] Machine* MachineOf(std::uint64_t member);
  [[nodiscard]] Machine* LeaderOfSide(int side);
  /// \returns true if a learner that runs can take the vote of a machine.
  [[nodiscard]] bool IsReplaceable(const Machine& machine);
  [[nodiscard]] std::size_t CoreSize() const;
  [[nodiscard]] std::size_t RunningOnSide(int side) const;
  [[nodiscard]] std::size_t Lost() const;
  [[nodiscard]] std::vector<Machine*> Candidates();
  [[nodiscard]] common::Duration RandomMs(std::uint64_t low, std::uint64_t high);

  common::Random random_;
  std::size_t tolerated_ = 1;
  common::Time now_{std::chrono::hours(1)};
  common::Time end_;
  common::Time next_event_;
  std::optional<EventKind> follow_up_;
  /// Time of the last event that makes the core unstable.
  common::Time disturbed_at_;
  common::Time acknowledged_at_;
  std::optional<common::Time> cut_until_;
  std::vector<std::unique_ptr<Machine>> machines_;
  std::vector<Message> messages_;
  std::uint64_t next_write_ = 1;
  std::uint64_t step_ = 0;
  std::set<std::uint64_t> acknowledged_;
  std::optional<std::string> violation_;
  std::string history_;
  Coverage coverage_;
};

}  // namespace briarwood::control
