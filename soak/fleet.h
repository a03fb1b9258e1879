#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "briarwood/common/result.h"
#include "briarwood/common/time.h"
#include "soak/child_process.h"
#include "soak/invariant_checkers.h"
#include "soak/link.h"

namespace briarwood::soak {

struct FleetOptions {
  /// Folder with the daemons.
  std::string programs;
  /// Folder with the settings templates.
  std::string templates;
  /// Folder for settings, data and output.
  std::string folder;
  /// First three octets of the loopback addresses with a trailing dot, such as "127.9.1.".
  std::string network;
  std::size_t members = 3;
  std::size_t entries = 4;
  /// Address of the platform API.
  std::string platform;
};

/// Time from the end of a process to its next start.
inline constexpr std::chrono::milliseconds kRestartDelay{300};

/// The soak cannot be set up.
class SoakError : public common::Error {
 public:
  using Error::Error;
};

/// Control member or entry as a child process. It has its own loopback address and is reached
/// through links.
class Daemon {
 public:
  enum class Role : std::uint8_t { kMember, kEntry };

  Daemon(http::EventLoop& loop, const FleetOptions& options, Role role, std::size_t number);

  void Start(bool bootstrap);
  /// Kills the process, which is started again after the delay.
  void Kill(common::Time now, common::Duration restart_delay = kRestartDelay);
  void Pause();
  void Resume();
  /// Sets the seeds for the next start.
  void SetSeeds(std::vector<std::string> seeds) { seeds_ = std::move(seeds); }
  /// Sends SIGTERM; the process is restarted after its exit.
  /// \returns false if there is no process or it is stopping already.
  bool Stop(common::Time now);
  void Reload();
  /// Kills the process and deletes its data folder.
  void Wipe(common::Time now);
  /// Takes the power of the machine: the process is killed, and its listeners do not answer.
  void TakePower();
  /// Starts the process again after TakePower.
  void RestorePower(common::Time now);
  /// Kills the process and appends an incomplete record to its log.
  void TearLog(common::Time now, std::uint64_t seed);
  /// Handles an exit of the process, and restarts it after the delay. Kills a process that does not
  /// end within the grace period of a stop, which is a violation unless a pause delayed the stop.
  /// \returns false if it killed a process whose stop a pause had delayed.
  bool Check(common::Time now, ViolationLog& log);
  /// Stops the process without a restart.
  /// \returns the wait status, or nothing if the process did not exit in time.
  std::optional<int> Shutdown(std::chrono::milliseconds timeout);

  [[nodiscard]] bool running() const noexcept { return process_ != nullptr; }
  [[nodiscard]] const std::string& name() const noexcept { return name_; }
  /// Number of starts so far; identifies the current process.
  [[nodiscard]] std::uint64_t lifetime() const noexcept { return lifetime_; }
  /// Number of exits without a Kill or Stop, and of unclean exits after a Stop.
  [[nodiscard]] std::size_t unexpected_exits() const noexcept { return unexpected_exits_; }
  /// Link to the HTTP listener for callers (entry) or operators (member).
  [[nodiscard]] Link& http_link() noexcept { return *http_link_; }
  [[nodiscard]] Link& rpc_link() noexcept { return *rpc_link_; }
  /// Address of the RPC listener itself, without the link.
  [[nodiscard]] std::string rpc_address() const;
  /// \returns the highest term in which this member has led, as its log shows; 0 if it has not.
  [[nodiscard]] std::uint64_t HighestLedTerm() const;
  [[nodiscard]] const std::string& ready_address() const noexcept { return ready_address_; }

 private:
  [[nodiscard]] std::string Settings(bool bootstrap) const;
  void RestartAt(common::Time at) { restart_at_ = at; }

  FleetOptions options_;
  Role role_;
  std::string name_;
  std::string address_;
  std::string ready_address_;
  std::string data_folder_;
  std::vector<std::string> seeds_;
  std::unique_ptr<Link> http_link_;
  std::unique_ptr<Link> rpc_link_;
  std::unique_ptr<ChildProcess> process_;
  std::uint64_t lifetime_ = 0;
  std::size_t unexpected_exits_ = 0;
  bool stopping_ = false;
  /// The current process is paused.
  bool paused_ = false;
  /// A pause overlapped the planned stop in progress.
  bool paused_in_stop_ = false;
  bool reloaded_ = false;
  common::Time started_at_;
  common::Time stop_sent_at_;
  common::Time stop_deadline_;
  std::optional<common::Time> restart_at_;
};

}  // namespace briarwood::soak
