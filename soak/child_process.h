#pragma once

#include <sys/types.h>

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "briarwood/common/result.h"

namespace briarwood::soak {

/// Child process whose output is written to a file. The destructor kills the process.
class ChildProcess {
 public:
  /// \param arguments  program and its arguments
  /// \param output     file to which standard output and standard error are appended
  /// \returns the running process, or an error that describes why it cannot be started.
  static common::Result<std::unique_ptr<ChildProcess>> Start(
      const std::vector<std::string>& arguments, const std::string& output);
  ~ChildProcess();
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  /// Sends a signal unless the process has exited.
  void Signal(int signal);
  /// Kills the process and waits for its exit.
  void Kill();
  /// Does not block.
  /// \returns the wait status if the process has exited.
  [[nodiscard]] std::optional<int> PollExitStatus();
  [[nodiscard]] pid_t id() const noexcept { return id_; }

 private:
  explicit ChildProcess(pid_t id) : id_(id) {}

  pid_t id_;
  std::optional<int> status_;
};

}  // namespace briarwood::soak
