#pragma once

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "briarwood/common/time.h"
#include "briarwood/rpc/client.h"
#include "fleet.pb.h"

namespace briarwood::proposals {

struct ProposerOptions {
  /// RPC addresses of the control members.
  std::vector<std::string> members;
  std::string credential;
  std::string ca_file;
  /// Timeout of one call.
  std::chrono::milliseconds call_timeout{1000};
};

/// Proposes commands to the control leader, and finds the new leader after a change. Thread-safe.
///
/// A command is proposed again when no response arrives, so it must carry an identity by which the
/// control state detects duplicates.
class Proposer {
 public:
  explicit Proposer(ProposerOptions options);

  /// Replaces the control members that are called.
  void SetMembers(std::vector<std::string> members);

  /// Blocks until the command is applied or `deadline` has passed. Must not be called on threads of
  /// the HTTP library.
  /// \returns STATUS_APPLIED with the result; STATUS_UNKNOWN when the command may have reached a
  /// leader; STATUS_NOT_LEADER when it has not reached one.
  [[nodiscard]] schema::ProposeResponse Propose(const schema::Command& command,
                                                common::Time deadline);

 private:
  /// \returns a client of the last reported leader, or of one of the members; null without members.
  [[nodiscard]] std::shared_ptr<rpc::Client> TargetClient();
  /// Selects the next target after a call to `from` without an applied command: the leader that it
  /// reported, or one of the members when `leader` is empty.
  void SelectNextTarget(const std::string& from, const std::string& leader);

  ProposerOptions options_;
  std::mutex mutex_;
  std::size_t next_member_ = 0;
  std::string leader_;
  std::map<std::string, std::shared_ptr<rpc::Client>> clients_;
};

}  // namespace briarwood::proposals
