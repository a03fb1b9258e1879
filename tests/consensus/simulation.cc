#include "simulation.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "briarwood/consensus/error.h"
#include "briarwood/consensus/membership.h"

namespace briarwood::consensus {

namespace {

constexpr TrueTime kMillisecond = 1000;
constexpr TrueTime kTickInterval = 20 * kMillisecond;
constexpr TrueTime kFaultPeriod = 15'000 * kMillisecond;
constexpr TrueTime kRecoveryPeriod = 8'000 * kMillisecond;
constexpr double kMaxClockDrift = 0.01;
/// Share of the crashes in which only the process ends; the others are losses of power.
constexpr double kKillProbability = 0.5;

}  // namespace

Simulation::Simulation(std::uint64_t seed) : random_(seed) {
  profile_.loss_probability = random_.Chance(0.5) ? random_.Uniform() * 0.2 : 0;
  profile_.duplicate_probability = random_.Chance(0.5) ? random_.Uniform() * 0.2 : 0;
  profile_.slow_probability = random_.Chance(0.5) ? random_.Uniform() * 0.3 : 0;
  profile_.slow_delay = RandomBetween(20, 1500) * kMillisecond;
  profile_.write_interval = RandomBetween(10, 60) * kMillisecond;
  profile_.fault_interval = RandomBetween(random_.Chance(0.5) ? 60 : 300, 900) * kMillisecond;
  profile_.disk_delay = RandomBetween(1, 30) * kMillisecond;
  // A short timeout causes more elections, and messages that are delayed across several of them.
  if (random_.Chance(0.5)) {
    profile_.timing.heartbeat = std::chrono::milliseconds(50);
    profile_.timing.election_timeout = std::chrono::milliseconds(200);
  }
  schema::Membership initial;
  const std::uint64_t voters = random_.Chance(0.4) ? 5 : 3;
  for (std::uint64_t id = 1; id <= voters; ++id) {
    schema::Member& member = *initial.add_members();
    member.set_id(id);
    member.set_voter(true);
  }
  for (std::uint64_t id = 1; id <= voters; ++id) AddMember(initial);
  Schedule(profile_.write_interval, [this] { ClientStep(); });
  Schedule(kTickInterval, [this] { ReadStep(); });
  Schedule(profile_.fault_interval, [this] { FaultStep(); });
  Schedule(kTickInterval, [this] { OperatorStep(); });
}

TrueTime Simulation::RandomBetween(TrueTime low, TrueTime high) {
  return low + static_cast<TrueTime>(random_.Below(static_cast<std::uint64_t>(high - low + 1)));
}

void Simulation::Schedule(TrueTime at, std::function<void()> run) {
  events_.push({at, next_sequence_++, 0, 0, std::move(run)});
}

void Simulation::ScheduleForMember(TrueTime at, const SimulatedMember& member,
                                   std::function<void()> run) {
  events_.push({at, next_sequence_++, member.id, member.process, std::move(run)});
}

std::optional<std::string> Simulation::Run() {
  RunUntil(kFaultPeriod);
  if (!violation_) {
    Heal();
    RunUntil(kFaultPeriod + kRecoveryPeriod);
  }
  if (!violation_) CheckEnd();
  return violation_;
}

void Simulation::RunUntil(TrueTime end) {
  while (!violation_ && !events_.empty() && events_.top().at <= end) {
    Event event = events_.top();
    events_.pop();
    RunEvent(std::move(event));
  }
}

void Simulation::RunEvent(Event event) {
  now_ = std::max(now_, event.at);
  if (event.member == 0) {
    event.run();
    return;
  }
  SimulatedMember& member = *members_[event.member];
  if (!member.running() || member.process != event.process) return;
  if (member.paused_until > now_) {
    event.at = member.paused_until;
    events_.push(std::move(event));
    return;
  }
  try {
    event.run();
    if (member.running()) ExecuteActions(member);
  } catch (const ConsensusError& error) {
    Fail(error.what());
  }
  CheckLeases();
}

std::uint64_t Simulation::AddMember(const schema::Membership& initial) {
  const std::uint64_t id = members_.size() + 1;
  auto member = std::make_unique<SimulatedMember>();
  member->id = id;
  member->clock_rate = 1 + kMaxClockDrift * (2 * random_.Uniform() - 1);
  member->clock_offset = RandomBetween(1, 1000) * kMillisecond * 1000;
  member->snapshot_every = random_.Below(60) + 10;
  member->snapshot_padding = random_.Chance(0.1) ? 600'000 : 0;
  member->timing = profile_.timing;
  member->initial_membership = initial;
  SimulatedMember& added = *member;
  members_[id] = std::move(member);
  StartMember(added);
  return id;
}

void Simulation::StartMember(SimulatedMember& member) {
  if (member.disk_lost || member.running()) return;
  member.disk->set_capacity(UINT64_MAX);
  if (const auto problem = member.Start(now_, random_.Next())) {
    Fail("member " + std::to_string(member.id) + " cannot start: " + *problem);
    return;
  }
  ScheduleForMember(now_ + kTickInterval, member, [this, &member] { Tick(member); });
}

void Simulation::CrashMember(SimulatedMember& member) {
  if (!member.running()) return;
  ++coverage_.crashes;
  if (random_.Chance(kKillProbability)) {
    member.Kill(random_);
  } else {
    member.Crash(random_);
  }
  proposed_.erase(member.id);
  const TrueTime downtime = RandomBetween(10, random_.Chance(0.5) ? 300 : 2500) * kMillisecond;
  Schedule(now_ + downtime, [this, &member] { StartMember(member); });
}

void Simulation::Tick(SimulatedMember& member) {
  member.raft->Tick(member.LocalTime(now_));
  ScheduleForMember(now_ + kTickInterval, member, [this, &member] { Tick(member); });
}

void Simulation::ExecuteActions(SimulatedMember& member) {
  for (Action& action : member.raft->TakeActions()) {
    std::visit([&](auto& one) { Execute(member, std::move(one)); }, action);
  }
  member.TakeSnapshotWhenDue();
  ScheduleDisk(member);
  CheckState(member);
}

void Simulation::ScheduleDisk(SimulatedMember& member) {
  if (member.disk_busy || member.writes.empty()) return;
  member.disk_busy = true;
  const bool stalls = faults_ && random_.Chance(0.005);
  const TrueTime delay = stalls ? RandomBetween(100, 900) * kMillisecond
                                : RandomBetween(kMillisecond / 10, profile_.disk_delay);
  ScheduleForMember(now_ + delay, member, [this, &member] {
    member.disk_busy = false;
    if (member.FlushDisk(now_)) return;
    // The process ends when the disk fails; an operator frees space and restarts it.
    ++coverage_.disk_failures;
    CrashMember(member);
  });
}

void Simulation::Execute(SimulatedMember& /*member*/, const SendMessage& action) {
  if (faults_ && random_.Chance(profile_.loss_probability)) return;
  const auto delay = [this] {
    const bool slow = faults_ && random_.Chance(profile_.slow_probability);
    return slow ? RandomBetween(kMillisecond, profile_.slow_delay)
                : RandomBetween(200, 2 * kMillisecond);
  };
  if (faults_ && random_.Chance(profile_.duplicate_probability)) Transmit(action.message, delay());
  Transmit(action.message, delay());
}

void Simulation::Transmit(const schema::ConsensusMessage& message, TrueTime delay) {
  if (blocked_.contains({message.from(), message.to()}) || !members_.contains(message.to())) return;
  // The receiver may restart while the message is in flight.
  Schedule(now_ + delay, [this, message] {
    SimulatedMember& receiver = *members_[message.to()];
    if (!receiver.running()) return;
    ScheduleForMember(now_, receiver, [this, message, &receiver] {
      receiver.raft->Receive(message, receiver.LocalTime(now_));
    });
  });
}

void Simulation::Execute(SimulatedMember& member, const ApplyEntries& action) {
  std::vector<Write>& waiting = proposed_[member.id];
  for (const schema::LogEntry& entry : action.entries) {
    member.state.Apply(entry);
    const auto [known, inserted] = committed_.try_emplace(
        entry.index(), Committed{member.state, entry.term(), member.raft->term().value()});
    if (!inserted && known->second.state != member.state) {
      Fail("member " + std::to_string(member.id) + " applied a different entry at index " +
           std::to_string(entry.index()));
    }
    std::erase_if(waiting, [&](const Write& write) {
      if (write.index != entry.index()) return false;
      if (write.term == entry.term()) {
        highest_acknowledged_ = std::max(highest_acknowledged_, write.index);
        ++coverage_.acknowledged;
      }
      return true;
    });
  }
}

void Simulation::Execute(SimulatedMember& member, const RestoreSnapshot& action) {
  ++coverage_.snapshots_received;
  member.state = ChainState::Restore(*action.data);
  member.snapshot_index = member.state.index;
  const auto known = committed_.find(member.state.index);
  if (known == committed_.end() || known->second.state != member.state) {
    Fail("member " + std::to_string(member.id) + " restored a snapshot that was never committed");
  }
}

void Simulation::Execute(SimulatedMember& member, const ReadConfirmed& action) {
  ++coverage_.reads;
  if (action.index.value() < min_read_index_[action.id]) {
    Fail("member " + std::to_string(member.id) + " confirmed a read at " +
         std::to_string(action.index.value()) + " after a write was acknowledged at " +
         std::to_string(min_read_index_[action.id]));
  }
}

void Simulation::Execute(SimulatedMember& /*member*/, const ReadFailed& action) {
  min_read_index_.erase(action.id);
}

SimulatedMember* Simulation::RandomMember(const std::function<bool(SimulatedMember&)>& accept) {
  std::vector<SimulatedMember*> accepted;
  for (const auto& [id, member] : members_) {
    if (member->running() && member->paused_until <= now_ && accept(*member)) {
      accepted.push_back(member.get());
    }
  }
  return accepted.empty() ? nullptr : accepted[random_.Below(accepted.size())];
}

SimulatedMember* Simulation::RandomLeader() {
  return RandomMember([](SimulatedMember& member) { return member.raft->role() == Role::kLeader; });
}

void Simulation::ClientStep() {
  Schedule(now_ + profile_.write_interval, [this] { ClientStep(); });
  SimulatedMember* leader = RandomLeader();
  if (leader == nullptr) return;
  const auto position = leader->raft->Propose("write " + std::to_string(next_write_++));
  if (position) {
    proposed_[leader->id].push_back({position->index.value(), position->term.value()});
  }
  ExecuteActions(*leader);
}

void Simulation::ReadStep() {
  Schedule(now_ + RandomBetween(10, 100) * kMillisecond, [this] { ReadStep(); });
  SimulatedMember* leader = RandomLeader();
  if (leader == nullptr) return;
  const ReadId id(next_read_++);
  min_read_index_[id] = highest_acknowledged_;
  leader->raft->Read(id, leader->LocalTime(now_));
  ExecuteActions(*leader);
}

void Simulation::FaultStep() {
  Schedule(now_ + RandomBetween(1, 2 * profile_.fault_interval), [this] { FaultStep(); });
  if (!faults_) return;
  SimulatedMember* any = RandomMember([](SimulatedMember&) { return true; });
  SimulatedMember* leader = RandomLeader();
  if (any == nullptr) return;
  SimulatedMember& target = leader != nullptr && random_.Chance(0.5) ? *leader : *any;
  switch (random_.Below(8)) {
    case 0:
      CrashMember(target);
      break;
    case 1:
      if (random_.Chance(0.5)) {
        CrashMember(target);
        break;
      }
      // All members lose power at the same time, also those whose processes are down.
      for (const auto& [id, member] : members_) {
        CrashMember(*member);
        member->disk->Crash(random_);
      }
      break;
    case 2:
      target.paused_until =
          now_ + RandomBetween(50, random_.Chance(0.5) ? 800 : 3000) * kMillisecond;
      break;
    case 3:
    case 4:
      Partition();
      break;
    case 5:
      if (random_.Chance(0.5)) {
        target.disk->set_capacity(target.disk->size() + random_.Below(2000));
      } else {
        target.disk->set_sync_fails(true);
      }
      break;
    case 6:
      if (leader != nullptr) {
        const bool started = leader->raft->TransferLeadership({}, leader->LocalTime(now_));
        coverage_.transfers += started ? 1 : 0;
        ExecuteActions(*leader);
      }
      break;
    default:
      LoseDisk(target);
      break;
  }
}

void Simulation::Partition() {
  const std::uint64_t isolated = random_.Below(members_.size()) + 1;
  const std::uint64_t direction = random_.Below(3);
  std::vector<std::pair<std::uint64_t, std::uint64_t>> links;
  for (const auto& [id, member] : members_) {
    if (id == isolated || random_.Chance(0.2)) continue;
    if (direction != 0) links.emplace_back(id, isolated);
    if (direction != 1) links.emplace_back(isolated, id);
  }
  blocked_.insert(links.begin(), links.end());
  Schedule(now_ + RandomBetween(100, random_.Chance(0.5) ? 1500 : 4000) * kMillisecond,
           [this, links] {
             for (const auto& link : links) blocked_.erase(link);
           });
}

// Only one disk is lost at a time: the next one after the replacement's promotion is committed.
void Simulation::LoseDisk(SimulatedMember& member) {
  const schema::Member* known = FindMember(member.raft->membership(), member.id);
  if (failed_member_ != 0 || known == nullptr || !known->voter()) return;
  CrashMember(member);
  member.disk->Wipe();
  member.disk_lost = true;
  failed_member_ = member.id;
  replacement_ = 0;
}

void Simulation::OperatorStep() {
  Schedule(now_ + 100 * kMillisecond, [this] { OperatorStep(); });
  SimulatedMember* leader = RandomLeader();
  if (failed_member_ == 0 || leader == nullptr) return;
  Raft& raft = *leader->raft;
  if (FindMember(raft.membership(), failed_member_) != nullptr) {
    static_cast<void>(raft.ChangeMembership(RemoveMember{common::MemberId(failed_member_)}));
  } else if (replacement_ == 0) {
    replacement_ = AddMember({});
  } else if (const schema::Member* added = FindMember(raft.membership(), replacement_);
             added == nullptr) {
    schema::Member member;
    member.set_id(replacement_);
    static_cast<void>(raft.ChangeMembership(AddLearner{member}));
  } else if (!added->voter()) {
    static_cast<void>(raft.ChangeMembership(PromoteLearner{common::MemberId(replacement_)}));
  } else if (FindMember(raft.MembershipAt(raft.commit_index()), replacement_) != nullptr &&
             FindMember(raft.MembershipAt(raft.commit_index()), replacement_)->voter()) {
    ++coverage_.replacements;
    failed_member_ = 0;
    SimulatedMember* second =
        RandomMember([&](SimulatedMember& m) { return m.id != replacement_; });
    if (faults_ && second != nullptr && random_.Chance(0.5)) LoseDisk(*second);
  }
  if (leader->running()) ExecuteActions(*leader);
}

void Simulation::Heal() {
  faults_ = false;
  blocked_.clear();
  for (const auto& [id, member] : members_) {
    member->paused_until = 0;
    member->disk->set_capacity(UINT64_MAX);
    member->disk->set_sync_fails(false);
    StartMember(*member);
  }
}

void Simulation::Fail(const std::string& what) {
  if (!violation_) violation_ = "at " + std::to_string(now_ / kMillisecond) + " ms: " + what;
}

void Simulation::CheckState(SimulatedMember& member) {
  if (member.raft->role() == Role::kLeader) CheckLeader(member);
}

void Simulation::CheckLeader(SimulatedMember& member) {
  const std::uint64_t term = member.raft->term().value();
  const auto [known, inserted] = leader_of_term_.try_emplace(term, member.id);
  if (known->second != member.id) {
    Fail("members " + std::to_string(known->second) + " and " + std::to_string(member.id) +
         " are both leaders in term " + std::to_string(term));
  }
  if (!inserted) return;
  ++coverage_.leaders;
  for (const auto& [index, entry] : committed_) {
    // A leader of an earlier term may be elected late, by a delayed vote.
    if (entry.committed_in >= term || index <= member.state.index) continue;
    const auto held = member.raft->TermAt(common::LogIndex(index));
    if (!held || held->value() != entry.term) {
      Fail("leader " + std::to_string(member.id) + " of term " + std::to_string(term) +
           " lacks committed entry " + std::to_string(index));
      return;
    }
  }
}

void Simulation::CheckLeases() {
  std::uint64_t holder = 0;
  for (const auto& [id, member] : members_) {
    if (!member->running()) continue;
    const std::optional<common::Time> end = member->raft->lease_end();
    if (!end || member->LocalTime(now_) >= *end) continue;
    if (holder != 0) {
      Fail("members " + std::to_string(holder) + " and " + std::to_string(id) +
           " hold a lease at the same time");
    }
    holder = id;
  }
}

void Simulation::CheckEnd() {
  SimulatedMember* leader = RandomLeader();
  if (leader == nullptr) {
    Fail("no leader after all faults were healed");
    return;
  }
  if (failed_member_ != 0) Fail("a member with a lost disk was not replaced after the faults");
  // Writes may be in flight at the end, so members may differ in the last few entries only.
  constexpr std::uint64_t kMaxEntriesInFlight = 12;
  const std::uint64_t expected = committed_.empty() ? 0 : committed_.rbegin()->first;
  if (highest_acknowledged_ + kMaxEntriesInFlight < expected) {
    Fail("writes are not acknowledged after all faults were healed");
  }
  for (const schema::Member& member : leader->raft->membership().members()) {
    const std::uint64_t applied = members_[member.id()]->state.index;
    if (applied + kMaxEntriesInFlight < expected) {
      Fail("member " + std::to_string(member.id()) + " has applied only " +
           std::to_string(applied) + " of " + std::to_string(expected));
    }
  }
}

}  // namespace briarwood::consensus
