#pragma once

#include <sys/types.h>

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "briarwood/common/result.h"

namespace briarwood::soak {

/// Program that runs as a process of its own, with its output in a file. The destructor kills it.
class ChildProcess {
 public:
  /// \param arguments  program and its arguments
  /// \param output     file to which standard output and standard error are appended
  /// \returns the running process, or a sentence why it cannot be started.
  static common::Result<std::unique_ptr<ChildProcess>> Start(
      const std::vector<std::string>& arguments, const std::string& output);
  ~ChildProcess();
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  /// Sends a signal, unless the process has ended.
  void Signal(int signal);
  /// Kills the process and waits for its end.
  void Kill();
  /// \returns the wait status once the process has ended; does not block.
  [[nodiscard]] std::optional<int> Ended();
  [[nodiscard]] pid_t id() const noexcept { return id_; }

 private:
  explicit ChildProcess(pid_t id) : id_(id) {}

  pid_t id_;
  std::optional<int> status_;
};

}  // namespace briarwood::soak
