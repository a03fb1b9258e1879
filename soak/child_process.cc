#include "soak/child_process.h"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cerrno>
#include <csignal>
#include <cstring>
#include <utility>

namespace briarwood::soak {
namespace {

constexpr mode_t kOutputMode = 0644;

}  // namespace

common::Result<std::unique_ptr<ChildProcess>> ChildProcess::Start(
    const std::vector<std::string>& arguments, const std::string& output) {
  using StartResult = common::Result<std::unique_ptr<ChildProcess>>;
  std::vector<char*> pointers;
  pointers.reserve(arguments.size() + 1);
  for (const std::string& argument : arguments) {
    pointers.push_back(const_cast<char*>(argument.c_str()));
  }
  pointers.push_back(nullptr);
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, output.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, kOutputMode);
  posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  // Listeners must not be inherited: they would stay open after this process has closed them.
  posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
  pid_t id = 0;
  const int error = posix_spawn(&id, pointers.front(), &actions, nullptr, pointers.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  if (error != 0) {
    return StartResult::Failure("cannot start " + arguments.front() + ": " + std::strerror(error));
  }
  return StartResult::Success(std::unique_ptr<ChildProcess>(new ChildProcess(id)));
}

ChildProcess::~ChildProcess() { Kill(); }

void ChildProcess::Signal(int signal) {
  if (!PollExitStatus()) ::kill(id_, signal);
}

void ChildProcess::Kill() {
  if (PollExitStatus()) return;
  ::kill(id_, SIGKILL);
  int status = 0;
  while (::waitpid(id_, &status, 0) < 0 && errno == EINTR) {
  }
  status_ = status;
}

std::optional<int> ChildProcess::PollExitStatus() {
  if (status_) return status_;
  int status = 0;
  if (::waitpid(id_, &status, WNOHANG) == id_) status_ = status;
  return status_;
}

}  // namespace briarwood::soak
