#include <gtest/gtest.h>

#include "briarwood/consensus/error.h"
#include "briarwood/consensus/raft.h"
#include "mutation/allocation_meter.h"
#include "mutation/mutator.h"

namespace briarwood::mutation {
namespace {

constexpr int kInputCount = 5000;
constexpr std::uint64_t kMembers = 3;
/// Memory that a member may allocate for a message, in addition to a multiple of the message size.
constexpr std::size_t kMaxBytesPerMessage = std::size_t{4} * 1024 * 1024;

consensus::Raft MakeMember() {
  consensus::Options options{.id = common::MemberId(1), .seed = 1};
  for (std::uint64_t id = 1; id <= kMembers; ++id) {
    schema::Member& member = *options.initial_membership.add_members();
    member.set_id(id);
    member.set_rpc_address("127.0.0.1:" + std::to_string(id));
    member.set_voter(true);
  }
  options.initial_membership.set_highest_id(kMembers);
  auto raft = consensus::Raft::Create(options, {}, common::Time{});
  EXPECT_TRUE(raft.ok()) << raft.error();
  return std::move(raft).value();
}

schema::ConsensusMessage MakeHeader() {
  schema::ConsensusMessage message;
  message.set_from(2);
  message.set_to(1);
  message.set_term(1);
  return message;
}

std::vector<std::string> SampleMessages() {
  std::vector<schema::ConsensusMessage> messages(7, MakeHeader());
  messages[0].mutable_vote_request()->set_last_index(1);
  messages[1].mutable_vote_response()->set_granted(true);
  auto* append = messages[2].mutable_append_request();
  append->set_round(1);
  auto* entry = append->add_entries();
  entry->set_index(1);
  entry->set_term(1);
  entry->set_kind(schema::ENTRY_KIND_COMMAND);
  entry->set_payload("command");
  messages[3].mutable_append_response()->set_success(true);
  auto* chunk = messages[4].mutable_snapshot_chunk();
  chunk->mutable_metadata()->set_index(9);
  chunk->mutable_metadata()->set_term(1);
  chunk->mutable_metadata()->set_size_bytes(4);
  chunk->mutable_metadata()->mutable_membership()->add_members()->set_id(1);
  chunk->set_data("data");
  chunk->set_last(true);
  messages[5].mutable_snapshot_chunk_response()->set_installed(true);
  messages[6].mutable_transfer_leadership();
  std::vector<std::string> samples;
  samples.reserve(messages.size());
  for (const auto& message : messages) samples.push_back(message.SerializeAsString());
  return samples;
}

/// Reports all requested writes as durable, as a driver does.
void CompleteWrites(consensus::Raft& raft, common::Time now) {
  for (const consensus::Action& action : raft.TakeActions()) {
    std::visit(
        [&](const auto& value) {
          if constexpr (requires { value.ticket; }) raft.Persisted(value.ticket, now);
        },
        action);
  }
}

// Guards against a message that crashes a member or makes it allocate unbounded memory. A member
// may stop with an error if a message contradicts committed entries.
TEST(MutationTest, ConsensusMessages) {
  Mutator mutator(10, SampleMessages(),
                  {std::string(1, '\0'), "\xff\xff\xff\xff\xff\xff\xff\xff\xff\x01",
                   "\xff\xff\xff\xff\x0f", "\x08\x02\x10\x01\x18\x01"});
  consensus::Raft raft = MakeMember();
  common::Time now;
  int received = 0;
  for (int i = 0; i < kInputCount; ++i) {
    const std::string input = mutator.Next();
    schema::ConsensusMessage message;
    if (!message.ParseFromString(input)) continue;
    ++received;
    now += std::chrono::milliseconds(50);
    const AllocationMeter meter;
    try {
      raft.Tick(now);
      raft.Receive(message, now);
      CompleteWrites(raft, now);
    } catch (const consensus::ConsensusError& error) {
      ASSERT_STRNE(error.what(), "");
      raft = MakeMember();
    }
    ASSERT_LE(meter.peak_bytes(), kMaxBytesPerMessage + 16 * input.size()) << "input " << i;
  }
  EXPECT_GT(received, kInputCount / 100);
}

}  // namespace
}  // namespace briarwood::mutation
