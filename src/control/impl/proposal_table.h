#pragma once

#include <cstdint>
#include <future>
#include <map>
#include <memory>
#include <mutex>

#include "briarwood/consensus/raft.h"
#include "fleet.pb.h"

namespace briarwood::control {

/// Answer to one proposal.
using ProposalPromise = std::promise<schema::ProposeResponse>;

/// Proposals whose entries are not applied yet. Thread-safe.
class ProposalTable {
 public:
  void Add(const consensus::LogPosition& position, std::shared_ptr<ProposalPromise> promise);
  /// Completes the proposal at the index of an applied entry. If the terms differ, another entry
  /// replaced the proposal, which will never be applied; it completes with STATUS_NOT_LEADER.
  void Complete(const schema::LogEntry& entry, const schema::CommandResult& result);
  /// Completes all proposals up to `index` with STATUS_UNKNOWN, for example when a snapshot
  /// replaced their entries and their results are not known.
  void AbandonThrough(std::uint64_t index);
  [[nodiscard]] std::size_t size() const;

 private:
  struct Pending {
    std::uint64_t term = 0;
    std::shared_ptr<ProposalPromise> promise;
  };

  mutable std::mutex mutex_;
  std::multimap<std::uint64_t, Pending> pending_;
};

}  // namespace briarwood::control
