#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <utility>
#include <vector>

#include "briarwood/common/time.h"
#include "briarwood/proposals/proposer.h"

namespace briarwood::proposals {

/// \returns the wall clock time in milliseconds since the Unix epoch, for the time fields of
/// commands.
[[nodiscard]] std::uint64_t WallClockMillis();

/// Proposes commands on its own threads, for calling threads that must not block.
class BackgroundProposer {
 public:
  using Callback = std::function<void(const schema::ProposeResponse& response)>;

  /// \param threads  number of threads, and so of concurrent proposals
  BackgroundProposer(ProposerOptions options, unsigned threads);
  ~BackgroundProposer();
  BackgroundProposer(const BackgroundProposer&) = delete;
  BackgroundProposer& operator=(const BackgroundProposer&) = delete;

  /// Calls `done` exactly once: on one of the threads, with the outcome that is known by
  /// `deadline`; or, after Stop, on the calling thread with STATUS_NOT_LEADER.
  void Propose(schema::Command command, common::Time deadline, Callback done);

  /// Replaces the control members that are called.
  void SetMembers(std::vector<std::string> members) { proposer_.SetMembers(std::move(members)); }

  /// Waits for the proposals in progress; those in the queue end with STATUS_NOT_LEADER.
  void Stop();

 private:
  struct Job {
    schema::Command command;
    common::Time deadline;
    Callback done;
  };

  void Run();

  Proposer proposer_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::deque<Job> jobs_;
  bool stopping_ = false;
  std::vector<std::thread> threads_;
};

}  // namespace briarwood::proposals
