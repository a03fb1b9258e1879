#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "briarwood/common/random.h"
#include "simulated_member.h"

namespace briarwood::consensus {

/// Runs a group in virtual time with faults derived from a seed. The invariants are checked after
/// each step; at the end all faults are healed and the group must make progress again.
class Simulation {
 public:
  explicit Simulation(std::uint64_t seed);

  /// \returns the first invariant violation, if any.
  [[nodiscard]] std::optional<std::string> Run();

  /// Counts of what happened in the run, to check that the faults occur.
  struct Coverage {
    std::uint64_t leaders = 0;
    std::uint64_t acknowledged = 0;
    std::uint64_t reads = 0;
    std::uint64_t crashes = 0;
    std::uint64_t replacements = 0;
    std::uint64_t disk_failures = 0;
    std::uint64_t snapshots_received = 0;
    std::uint64_t transfers = 0;
  };
  [[nodiscard]] const Coverage& coverage() const { return coverage_; }

 private:
  struct Event {
    TrueTime at = 0;
    std::uint64_t sequence = 0;
    /// Zero for events without a member. Other events are delayed while their member is paused and
    /// dropped once its process has ended.
    std::uint64_t member = 0;
    std::uint64_t process = 0;
    std::function<void()> run;

    friend bool operator>(const Event& a, const Event& b) {
      return std::pair(a.at, a.sequence) > std::pair(b.at, b.sequence);
    }
  };
  struct FaultProfile {
    double loss_probability = 0;
    double duplicate_probability = 0;
    double slow_probability = 0;
    TrueTime slow_delay = 0;
    TrueTime write_interval = 0;
    TrueTime fault_interval = 0;
    TrueTime disk_delay = 0;
    Timing timing;
  };
  struct Committed {
    ChainState state;
    std::uint64_t term = 0;
    /// Term of the first member that applied it; at least the term in which it was committed.
    std::uint64_t committed_in = 0;
  };
  struct Write {
    std::uint64_t index = 0;
    std::uint64_t term = 0;
  };

  void Schedule(TrueTime at, std::function<void()> run);
  void ScheduleForMember(TrueTime at, const SimulatedMember& member, std::function<void()> run);
  void RunUntil(TrueTime end);
  void RunEvent(Event event);

  std::uint64_t AddMember(const schema::Membership& initial);
  void StartMember(SimulatedMember& member);
  void CrashMember(SimulatedMember& member);
  void Tick(SimulatedMember& member);
  void ExecuteActions(SimulatedMember& member);
  void Execute(SimulatedMember& member, const SendMessage& action);
  void Execute(SimulatedMember& member, const ApplyEntries& action);
  void Execute(SimulatedMember& member, const RestoreSnapshot& action);
  void Execute(SimulatedMember& member, const ReadConfirmed& action);
  void Execute(SimulatedMember& member, const ReadFailed& action);
  template <typename Persist>
  void Execute(SimulatedMember& member, Persist action) {
    member.writes.emplace_back(std::move(action));
  }
  void Transmit(const schema::ConsensusMessage& message, TrueTime delay);
  void ScheduleDisk(SimulatedMember& member);

  void ClientStep();
  void ReadStep();
  void FaultStep();
  void OperatorStep();
  void Partition();
  void LoseDisk(SimulatedMember& member);
  void Heal();

  void CheckState(SimulatedMember& member);
  void CheckLeader(SimulatedMember& member);
  void CheckLeases();
  void CheckEnd();
  void Fail(const std::string& what);
  [[nodiscard]] SimulatedMember* RandomMember(const std::function<bool(SimulatedMember&)>& accept);
  [[nodiscard]] SimulatedMember* RandomLeader();
  [[nodiscard]] TrueTime RandomBetween(TrueTime low, TrueTime high);

  common::Random random_;
  FaultProfile profile_;
  TrueTime now_ = 0;
  std::uint64_t next_sequence_ = 0;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  std::map<std::uint64_t, std::unique_ptr<SimulatedMember>> members_;
  std::set<std::pair<std::uint64_t, std::uint64_t>> blocked_;
  bool faults_ = true;
  /// Member that lost its disk, and the member that replaces it; zero if there is none.
  std::uint64_t failed_member_ = 0;
  std::uint64_t replacement_ = 0;

  std::optional<std::string> violation_;
  std::map<std::uint64_t, std::uint64_t> leader_of_term_;
  /// Entry at each index, as applied by the first member.
  std::map<std::uint64_t, Committed> committed_;
  std::map<std::uint64_t, std::vector<Write>> proposed_;
  std::uint64_t highest_acknowledged_ = 0;
  std::uint64_t next_write_ = 0;
  std::uint64_t next_read_ = 1;
  /// Highest write index that was acknowledged when the read was requested.
  std::map<ReadId, std::uint64_t> min_read_index_;
  Coverage coverage_;
};

}  // namespace briarwood::consensus
