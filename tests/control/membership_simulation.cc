#include "membership_simulation.h"

#include <algorithm>
#include <iterator>
#include <type_traits>
#include <utility>
#include <variant>

namespace briarwood::control {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kStep{4};
constexpr std::uint64_t kStepsPerTick = 3;
constexpr std::uint64_t kStepsPerUpdate = 13;
constexpr std::uint64_t kStepsPerWrite = 10;
constexpr milliseconds kDuration{60'000};
constexpr milliseconds kQuietEnd{15'000};
constexpr milliseconds kLeaveTimeout{1000};
constexpr milliseconds kJoinRetry{700};
constexpr milliseconds kMaxRefusalInterval{500};
/// The core is stable this long after the last event.
constexpr milliseconds kContact{3000};
/// A stable core acknowledges within this time.
constexpr milliseconds kAcknowledge{4000};
/// A machine remains lost for this long after its start.
constexpr milliseconds kCatchUp{4000};
/// A removed machine that still votes is lost until the group has demoted it: after an announcement
/// or refused connections, and after silence.
constexpr milliseconds kDepartureSettled{6500};
constexpr milliseconds kAbsenceSettled{31'500};
/// A removed machine whose vote a learner takes over without an announcement.
constexpr milliseconds kReplacementSettled{3000};
constexpr std::size_t kMaxMachines = 9;
/// Machines of a run, with those that were replaced.
constexpr std::size_t kMaxReplacedMachines = 24;
/// Time from the loss of a machine to the start of the one that replaces it.
constexpr milliseconds kReplacementDelay{1000};
constexpr double kLossProbability = 0.005;
constexpr double kFollowUpProbability = 0.7;

consensus::Timing TestTiming() {
  consensus::Timing timing;
  timing.heartbeat = milliseconds(60);
  timing.election_timeout = milliseconds(300);
  return timing;
}

}  // namespace

MembershipSimulation::MembershipSimulation(std::uint64_t seed) : random_(seed) {
  tolerated_ = random_.Chance(0.3) ? 2 : 1;
  end_ = now_ + kDuration;
  StartFounders(2 * tolerated_ + 1);
  disturbed_at_ = now_;
  acknowledged_at_ = now_;
  next_event_ = now_ + milliseconds(5000);
}

common::Duration MembershipSimulation::RandomMs(std::uint64_t low, std::uint64_t high) {
  return milliseconds(low + random_.Below(high - low + 1));
}

std::optional<std::string> MembershipSimulation::Run() {
  while (!violation_ && now_ < end_) Step();
  if (!violation_) CheckEnd();
  return violation_;
}

std::string MembershipSimulation::Time() const {
  const auto at = std::chrono::duration_cast<milliseconds>(now_ - (end_ - kDuration)).count();
  return std::to_string(at) + " ms";
}

void MembershipSimulation::Note(const std::string& event) {
  history_ += "\n  " + Time() + ": " + event;
}

void MembershipSimulation::Fail(const std::string& what) {
  if (!violation_) violation_ = "at " + Time() + ": " + what + history_;
}

void MembershipSimulation::StartFounders(std::size_t count) {
  schema::Membership initial;
  for (std::uint64_t id = 1; id <= count; ++id) {
    AddMachine();
    Machine& machine = *machines_.back();
    machine.id = common::MemberId(id);
    schema::Member& member = *initial.add_members();
    member.set_id(id);
    member.set_rpc_address(machine.address);
    member.set_voter(true);
  }
  for (auto& machine : machines_) {
    machine->initial_membership = initial;
    StartProcess(*machine);
  }
}

std::size_t MembershipSimulation::AddMachine() {
  auto machine = std::make_unique<Machine>();
  machine->address = "10.0.0." + std::to_string(machines_.size() + 1) + ":1";
  machines_.push_back(std::move(machine));
  return machines_.size() - 1;
}

void MembershipSimulation::StartProcess(Machine& machine) {
  auto created = consensus::Raft::Create({.id = machine.id,
                                          .initial_membership = machine.initial_membership,
                                          .timing = TestTiming(),
                                          .seed = random_.Next()},
                                         machine.durable, now_);
  machine.raft.emplace(std::move(created).value());
  machine.starts_at.reset();
  machine.refusals.clear();
  machine.applied_writes.clear();
  machine.proposed.clear();
  MembershipPlannerOptions options;
  options.min_voters = 2 * tolerated_ + 1;
  machine.manager = std::make_unique<MembershipManager>(
      options, MembershipContext{.status = [this, &machine] { return StatusOf(machine); },
                                 .change =
                                     [&machine](const consensus::MembershipChange& change) {
                                       using IndexResult = common::Result<common::LogIndex>;
                                       const auto changed = machine.raft->ChangeMembership(change);
                                       // Reported as a failure, so that the next change waits for
                                       // the commit of this one.
                                       return IndexResult::Failure(
                                           changed.ok() ? "not committed yet"
                                                        : consensus::ToString(changed.error()));
                                     },
                                 .log = [](const std::string&) {}});
}

void MembershipSimulation::StopProcess(Machine& machine) {
  machine.raft.reset();
  machine.leaving = false;
  machine.join_sent_at.reset();
  disturbed_at_ = now_;
  if (!machine.removed) machine.starts_at = now_ + machine.downtime;
}

NodeStatus MembershipSimulation::StatusOf(const Machine& machine) const {
  const consensus::Raft& raft = *machine.raft;
  NodeStatus status;
  status.id = machine.id;
  status.role = raft.role();
  status.term = raft.term();
  status.leader = raft.leader();
  status.commit_index = raft.commit_index();
  status.membership = raft.membership();
  for (const schema::Member& member : status.membership.members()) {
    if (member.id() == machine.id.value()) continue;
    MemberContact contact{.id = common::MemberId(member.id())};
    contact.match = raft.MatchOf(contact.id).value_or(common::LogIndex());
    contact.last_ack = raft.LastAckOf(contact.id);
    const auto refusals = machine.refusals.find(member.id());
    if (refusals != machine.refusals.end() && now_ - refusals->second.last <= kMaxRefusalInterval) {
      contact.refused_since = refusals->second.first;
    }
    status.contacts.push_back(contact);
  }
  return status;
}

MembershipSimulation::Machine* MembershipSimulation::MachineOf(std::uint64_t member) {
  for (auto& machine : machines_) {
    if (machine->id.value() == member) return machine.get();
  }
  return nullptr;
}

MembershipSimulation::Machine* MembershipSimulation::LeaderOfSide(int side) {
  Machine* leader = nullptr;
  for (auto& machine : machines_) {
    if (!machine->running() || machine->side != side) continue;
    if (machine->raft->role() != consensus::Role::kLeader) continue;
    if (leader == nullptr || machine->raft->term() > leader->raft->term()) leader = machine.get();
  }
  return leader;
}

std::size_t MembershipSimulation::CoreSize() const {
  return static_cast<std::size_t>(std::count_if(
      machines_.begin(), machines_.end(), [](const auto& machine) { return !machine->removed; }));
}

std::size_t MembershipSimulation::RunningOnSide(int side) const {
  return static_cast<std::size_t>(
      std::count_if(machines_.begin(), machines_.end(), [side](const auto& machine) {
        return !machine->removed && machine->running() && machine->side == side;
      }));
}

std::size_t MembershipSimulation::Lost() const {
  return static_cast<std::size_t>(
      std::count_if(machines_.begin(), machines_.end(), [this](const auto& machine) {
        return machine->lost_until > now_ ||
               (!machine->removed && (!machine->running() || machine->leaving));
      }));
}

void MembershipSimulation::Step() {
  now_ += kStep;
  ++step_;
  if (cut_until_ && now_ >= *cut_until_) Heal();
  if (now_ >= next_event_ && now_ < end_ - kQuietEnd) {
    next_event_ = now_ + RandomMs(300, random_.Chance(0.5) ? 1500 : 9000);
    RandomEvent();
  }
  for (auto& machine : machines_) {
    if (machine->starts_at && now_ >= *machine->starts_at) {
      disturbed_at_ = now_;
      machine->lost_until = now_ + kCatchUp;
      if (machine->id == common::MemberId()) {
        machine->starts_at.reset();
        machine->join_sent_at = now_ - kJoinRetry;
      } else {
        StartProcess(*machine);
      }
    }
    if (machine->join_sent_at) Join(*machine);
    if (machine->leaving) Leave(*machine);
  }
  std::vector<Message> due;
  std::erase_if(messages_, [&](Message& message) {
    if (message.due > now_) return false;
    due.push_back(std::move(message));
    return true;
  });
  for (Message& message : due) {
    Machine* receiver = MachineOf(message.message.to());
    if (receiver == nullptr || !receiver->running()) continue;
    if (receiver->side != machines_[message.from]->side) continue;
    receiver->raft->Receive(message.message, now_);
  }
  for (std::size_t i = 0; i < machines_.size(); ++i) {
    Machine& machine = *machines_[i];
    if (!machine.running()) continue;
    if (step_ % kStepsPerTick == 0) machine.raft->Tick(now_);
    if (step_ % kStepsPerUpdate == i % kStepsPerUpdate) machine.manager->Update(now_);
    if (step_ % kStepsPerWrite == 0 && machine.raft->role() == consensus::Role::kLeader) {
      const std::uint64_t write = next_write_++;
      if (const auto position = machine.raft->Propose(std::to_string(write))) {
        machine.proposed[{position->index.value(), position->term.value()}] = write;
      }
    }
    Pump(i);
  }
  CheckProgress();
}

void MembershipSimulation::Pump(std::size_t index) {
  Machine& machine = *machines_[index];
  for (int rounds = 0; rounds < 100; ++rounds) {
    std::vector<consensus::Action> actions = machine.raft->TakeActions();
    if (actions.empty()) return;
    for (consensus::Action& action : actions) Execute(index, action);
  }
}

void MembershipSimulation::Execute(std::size_t index, consensus::Action& action) {
  Machine& machine = *machines_[index];
  std::visit(
      [&]<typename One>(One& one) {
        if constexpr (std::is_same_v<One, consensus::SendMessage>) {
          Send(index, one.message);
        } else if constexpr (std::is_same_v<One, consensus::PersistHardState>) {
          machine.durable.hard_state = one.state;
          machine.raft->Persisted(one.ticket, now_);
        } else if constexpr (std::is_same_v<One, consensus::PersistEntries>) {
          auto& entries = machine.durable.entries;
          for (const schema::LogEntry& entry : one.entries) {
            entries.resize(std::min<std::size_t>(entries.size(), entry.index() - 1));
            entries.push_back(entry);
          }
          machine.raft->Persisted(one.ticket, now_);
        } else if constexpr (std::is_same_v<One, consensus::ApplyEntries>) {
          Apply(machine, one);
        }
      },
      action);
}

void MembershipSimulation::Send(std::size_t from, const schema::ConsensusMessage& message) {
  Machine& sender = *machines_[from];
  const Machine* receiver = MachineOf(message.to());
  const bool down = receiver == nullptr || !receiver->running();
  if (down && receiver != nullptr && receiver->refuses && receiver->side == sender.side) {
    const auto [known, added] = sender.refusals.try_emplace(message.to(), Refusals{now_, now_});
    if (now_ - known->second.last > kMaxRefusalInterval) known->second.first = now_;
    known->second.last = now_;
    return;
  }
  sender.refusals.erase(message.to());
  if (down || random_.Chance(kLossProbability)) return;
  messages_.push_back({now_ + RandomMs(1, 5), from, message});
}

void MembershipSimulation::Apply(Machine& machine, const consensus::ApplyEntries& action) {
  for (const schema::LogEntry& entry : action.entries) {
    if (entry.kind() != schema::ENTRY_KIND_COMMAND) continue;
    const std::uint64_t write = std::stoull(entry.payload());
    machine.applied_writes.insert(write);
    const auto proposed = machine.proposed.find({entry.index(), entry.term()});
    if (proposed == machine.proposed.end()) continue;
    acknowledged_.insert(write);
    acknowledged_at_ = now_;
    ++coverage_.acknowledged;
    CheckAcknowledgement(machine);
  }
}

void MembershipSimulation::Join(Machine& machine) {
  Machine* leader = LeaderOfSide(machine.side);
  if (leader == nullptr) return;
  for (const schema::Member& member :
       leader->raft->MembershipAt(leader->raft->commit_index()).members()) {
    if (member.rpc_address() != machine.address || member.voter()) continue;
    if (member.id() <= machine.previous_id.value()) continue;
    machine.id = common::MemberId(member.id());
    machine.join_sent_at.reset();
    machine.durable = {};
    // It was cut off until now if its side had no leader.
    machine.lost_until = now_ + kCatchUp;
    StartProcess(machine);
    return;
  }
  if (now_ < *machine.join_sent_at + kJoinRetry) return;
  machine.join_sent_at = now_;
  const schema::Membership& membership = leader->raft->membership();
  std::uint64_t highest = membership.highest_id();
  for (const schema::Member& member : membership.members()) {
    highest = std::max(highest, member.id());
  }
  schema::Member member;
  member.set_id(highest + 1);
  member.set_rpc_address(machine.address);
  static_cast<void>(leader->raft->ChangeMembership(consensus::AddLearner{member}));
}

void MembershipSimulation::Leave(Machine& machine) {
  bool pending = true;
  if (machine.raft->role() == consensus::Role::kLeader) {
    static_cast<void>(machine.raft->TransferLeadership({}, now_));
  } else if (Machine* leader = MachineOf(machine.raft->leader().value());
             leader != nullptr && leader->running() && leader->side == machine.side) {
    pending =
        leader->manager->HandleLeave(machine.manager->MakeLeaveRequest(machine.id), now_).pending();
  }
  if (pending && now_ < machine.leave_deadline) return;
  if (machine.removed) {
    const Machine* leader = LeaderOfSide(machine.side);
    const schema::Member* member =
        leader == nullptr ? nullptr
                          : consensus::FindMember(leader->raft->membership(), machine.id.value());
    const bool votes = member == nullptr || member->voter();
    machine.lost_until = votes && !machine.replaceable ? now_ + kDepartureSettled : now_;
  }
  StopProcess(machine);
}

std::vector<MembershipSimulation::Machine*> MembershipSimulation::Candidates() {
  std::vector<Machine*> running;
  for (auto& machine : machines_) {
    if (machine->running() && !machine->leaving && !machine->removed) {
      running.push_back(machine.get());
    }
  }
  return running;
}

MembershipSimulation::EventKind MembershipSimulation::RandomKind() {
  constexpr EventKind kKinds[] = {EventKind::kAdd,     EventKind::kAdd,     EventKind::kRemove,
                                  EventKind::kRemove,  EventKind::kReplace, EventKind::kReplace,
                                  EventKind::kRestart, EventKind::kWipe,    EventKind::kCut,
                                  EventKind::kCut,     EventKind::kCut};
  return kKinds[random_.Below(std::size(kKinds))];
}

void MembershipSimulation::FollowUp(EventKind kind, common::Duration delay) {
  if (!random_.Chance(kFollowUpProbability)) return;
  follow_up_ = kind;
  next_event_ = now_ + delay;
}

void MembershipSimulation::RandomEvent() {
  std::vector<Machine*> running = Candidates();
  if (running.empty()) return;
  Machine& target = *running[random_.Below(running.size())];
  const std::size_t lost = Lost();
  const EventKind kind = follow_up_ ? *std::exchange(follow_up_, std::nullopt) : RandomKind();
  switch (kind) {
    case EventKind::kAdd:
      if (CoreSize() >= kMaxMachines || cut_until_) break;
      ++coverage_.added;
      machines_[AddMachine()]->starts_at = now_;
      coverage_.max_core = std::max<std::uint64_t>(coverage_.max_core, CoreSize());
      Note("add");
      break;
    case EventKind::kRemove:
      if (lost > 0 || cut_until_ || CoreSize() <= 2 * tolerated_ + 1) break;
      RemoveForGood(target, random_.Chance(0.6));
      FollowUp(EventKind::kWipe, RandomMs(300, 1500));
      break;
    case EventKind::kReplace:
      if (lost > 0 || cut_until_ || machines_.size() >= kMaxReplacedMachines) break;
      Replace(target);
      break;
    case EventKind::kRestart:
      if (lost < tolerated_) Restart(target, random_.Chance(0.5), /*wipe=*/false);
      break;
    case EventKind::kWipe:
      if (lost < tolerated_) Restart(target, /*announced=*/false, /*wipe=*/true);
      break;
    case EventKind::kCut:
      if (lost == 0 && !cut_until_) Cut();
      break;
  }
}

void MembershipSimulation::Restart(Machine& machine, bool announced, bool wipe) {
  Note((wipe ? "wipe " : "restart ") + std::to_string(machine.id.value()) +
       (announced ? " announced" : ""));
  ++(wipe ? coverage_.wipes : coverage_.restarts);
  machine.downtime = RandomMs(200, 3000);
  disturbed_at_ = now_;
  if (announced) {
    machine.leaving = true;
    machine.leave_deadline = now_ + kLeaveTimeout;
    return;
  }
  StopProcess(machine);
  if (!wipe) return;
  machine.durable = {};
  // The old id stays in the group until the machine has joined again.
  machine.previous_id = std::exchange(machine.id, common::MemberId());
  machine.initial_membership = {};
}

bool MembershipSimulation::IsReplaceable(const Machine& machine) {
  const Machine* leader = LeaderOfSide(machine.side);
  const auto& membership = (leader == nullptr ? machine : *leader).raft->membership();
  return std::any_of(membership.members().begin(), membership.members().end(),
                     [this](const schema::Member& member) {
                       const Machine* learner = MachineOf(member.id());
                       return !member.voter() && learner != nullptr && learner->running() &&
                              !learner->leaving;
                     });
}

void MembershipSimulation::RemoveForGood(Machine& machine, bool announced) {
  machine.refuses = random_.Chance(0.5);
  Note("remove " + std::to_string(machine.id.value()) + (announced ? " announced" : "") +
       (machine.refuses ? "" : " silent"));
  ++coverage_.removed;
  machine.replaceable = IsReplaceable(machine);
  machine.removed = true;
  disturbed_at_ = now_;
  if (announced) {
    machine.leaving = true;
    machine.leave_deadline = now_ + kLeaveTimeout;
    machine.lost_until = machine.leave_deadline;
    return;
  }
  machine.lost_until = now_ + (machine.replaceable ? kReplacementSettled
                               : machine.refuses   ? kDepartureSettled
                                                   : kAbsenceSettled);
  StopProcess(machine);
}

void MembershipSimulation::Replace(Machine& machine) {
  ++coverage_.replaced;
  RemoveForGood(machine, /*announced=*/false);
  machine.lost_until = now_ + kReplacementDelay + kCatchUp;
  // The vector of machines may grow, but the machines stay where they are.
  machines_[AddMachine()]->starts_at = now_ + kReplacementDelay;
  FollowUp(EventKind::kReplace, kReplacementDelay + kCatchUp + RandomMs(10, 1000));
}

void MembershipSimulation::Cut() {
  ++coverage_.cuts;
  std::string cut = "cut";
  for (auto& machine : machines_) {
    machine->side = random_.Chance(0.5) ? 1 : 0;
    if (!machine->removed && machine->side == 1) cut += " " + std::to_string(machine->id.value());
  }
  Note(cut);
  cut_until_ = now_ + RandomMs(1000, 12'000);
  disturbed_at_ = now_;
}

void MembershipSimulation::Heal() {
  Note("heal");
  cut_until_.reset();
  for (auto& machine : machines_) machine->side = 0;
  disturbed_at_ = now_;
  FollowUp(EventKind::kCut, RandomMs(4, 400));
}

void MembershipSimulation::CheckAcknowledgement(const Machine& leader) {
  const int other = 1 - leader.side;
  if (2 * RunningOnSide(other) <= CoreSize() || now_ < disturbed_at_ + kContact) return;
  Fail("member " + std::to_string(leader.id.value()) + " acknowledges, and the other side has " +
       std::to_string(RunningOnSide(other)) + " of " + std::to_string(CoreSize()) + " members");
}

void MembershipSimulation::CheckProgress() {
  const std::size_t larger = std::max(RunningOnSide(0), RunningOnSide(1));
  const bool majority = 2 * larger > CoreSize();
  if (!majority || Lost() > tolerated_ || (cut_until_ && Lost() > 0)) {
    acknowledged_at_ = now_;
    return;
  }
  const common::Time since = std::max(acknowledged_at_, disturbed_at_ + kContact);
  if (now_ > since + kAcknowledge) Fail("nothing is acknowledged by a stable core");
}

void MembershipSimulation::CheckEnd() {
  Machine* leader = LeaderOfSide(0);
  if (leader == nullptr) {
    Fail("no leader at the end");
    return;
  }
  for (const std::uint64_t write : acknowledged_) {
    if (!leader->applied_writes.contains(write)) {
      Fail("acknowledged write " + std::to_string(write) + " is lost");
      return;
    }
  }
  std::size_t voters = 0;
  std::size_t listed = 0;
  for (const schema::Member& member : leader->raft->membership().members()) {
    ++listed;
    if (member.voter()) ++voters;
  }
  const std::size_t core = CoreSize();
  if (2 * (voters / 2 + 1) < core) {
    Fail(std::to_string(voters) + " voters for a core of " + std::to_string(core) + ", " +
         std::to_string(listed) + " members listed");
  }
}

}  // namespace briarwood::control
