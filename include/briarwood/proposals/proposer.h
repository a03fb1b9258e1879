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
  /// Longest wait for one answer.
  std::chrono::milliseconds call_timeout{1000};
};

/// Proposes commands to the control leader and finds it again after a change. Thread-safe.
///
/// A command is proposed again when its answer is lost, so it must carry its own identity.
class Proposer {
 public:
  explicit Proposer(ProposerOptions options);

  /// Replaces the control members that are asked.
  void SetMembers(std::vector<std::string> members);

  /// Blocks until the command is applied or `deadline` has passed. Not for threads of the HTTP
  /// library.
  /// \returns STATUS_APPLIED with the result; STATUS_UNKNOWN when the command may have reached a
  /// leader; STATUS_NOT_LEADER when it certainly has not.
  [[nodiscard]] schema::ProposeResponse Propose(const schema::Command& command,
                                                common::Time deadline);

 private:
  [[nodiscard]] std::shared_ptr<rpc::Client> Target();
  void MoveOn(const std::string& from, const std::string& leader);

  ProposerOptions options_;
  std::mutex mutex_;
  std::size_t next_member_ = 0;
  std::string leader_;
  std::map<std::string, std::shared_ptr<rpc::Client>> clients_;
};

}  // namespace briarwood::proposals
