#pragma once

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

#include "rig.h"

namespace briarwood::review {

/// The platform and machines with a control member and an entry each. Unlike Deployment, machines
/// join and leave.
class Fleet {
 public:
  static constexpr std::size_t kFirstMachines = 3;

  /// Finds addresses and ports for `machines` machines; none of their processes is started.
  Fleet(Record& record, std::size_t machines);
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;
  ~Fleet();

  /// Starts the first machines, for the first time of the whole system.
  void StartFirst();
  /// Starts a machine with an empty disk beside the ones that run.
  void StartSuccessor(std::size_t machine);
  /// Sends SIGTERM to the processes of a machine; it does not come back.
  void Remove(std::size_t machine);
  /// Waits until the processes of a removed machine have ended; kills them after the grace period.
  void AwaitEnd(std::size_t machine);
  /// \returns true if both processes of the machine run.
  [[nodiscard]] bool Running(std::size_t machine);

  /// Sends a desired state to the machines in turn until one answers clearly or the time is over.
  /// \returns the status, or 0 if there was no clear response.
  int Put(const std::vector<std::size_t>& machines, const std::string& content,
          milliseconds timeout);
  /// \returns the status of a read of the desired state, or 0; sets `content` if it is 200.
  int Get(std::size_t machine, std::string& content) const;

 private:
  struct Machine {
    std::unique_ptr<Process> member;
    std::unique_ptr<Process> entry;
  };

  [[nodiscard]] std::string Ip(std::size_t machine) const;
  [[nodiscard]] std::string Address(std::size_t machine, int port) const;
  [[nodiscard]] std::string Settings(const std::string& file, std::size_t machine,
                                     bool bootstrap) const;
  void Start(std::size_t machine, bool bootstrap);
  void ServePlatform(Channel& channel) const;

  Record& record_;
  std::string folder_;
  std::string network_;
  int first_port_ = 0;
  std::unique_ptr<Listener> platform_;
  std::vector<Machine> machines_;
};

/// \returns a desired state with one route and one tenant.
[[nodiscard]] std::string MakePlainState(unsigned version);

/// \returns true if `content` is the desired state with this version.
[[nodiscard]] bool HasVersion(const std::string& content, unsigned version);

}  // namespace briarwood::review
