#pragma once

#include <sys/types.h>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "links.h"
#include "rig.h"

namespace briarwood::review {

/// One process under test. Unlike Process, it tells its id.
class Child {
 public:
  Child(const std::string& program, const std::string& settings, const std::string& log);
  Child(const Child&) = delete;
  Child& operator=(const Child&) = delete;
  ~Child() { Kill(); }

  [[nodiscard]] pid_t id() const noexcept { return id_; }
  void Signal(int signal) const;
  void Kill();
  [[nodiscard]] bool Running();

 private:
  pid_t id_ = 0;
};

/// How the members are reached by other members and entries.
enum class Paths { kDirect, kThroughLinks };

/// The platform and machines with a control member and an entry each. Unlike Deployment, machines
/// join and leave.
class Fleet {
 public:
  static constexpr std::size_t kFirstMachines = 3;

  /// Finds addresses and ports for `machines` machines; none of their processes is started.
  Fleet(Record& record, std::size_t machines, Paths paths = Paths::kDirect);
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;
  ~Fleet();

  /// Adds an engine with software version "v1" to the platform's list. \returns its address.
  std::string AddEngine(const std::string& id, const std::string& service, unsigned slots);
  /// Lists the engine as started now, with another software version.
  void ListRestart(const std::string& id, const std::string& version);
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
  /// Cuts the machines of `side` silently from the members of the others, and the other way round.
  /// Clients, engines and the platform reach both sides.
  void Cut(const std::set<std::size_t>& side);
  void Heal();
  [[nodiscard]] std::string Front(std::size_t machine) const;
  /// Waits until the entry of a machine reports that it is ready.
  void AwaitReady(std::size_t machine) const;

  /// \returns the status of a read of the desired state, or 0; sets `content` if it is 200.
  int Get(std::size_t machine, std::string& content) const;

 private:
  struct Engine {
    std::string id;
    std::string service;
    std::string address;
    std::string zone;
    std::string version = "v1";
    unsigned slots = 0;
    std::int64_t born_ms = 0;
  };
  struct Machine {
    std::unique_ptr<Child> member;
    std::unique_ptr<Child> entry;
  };

  [[nodiscard]] std::string Ip(std::size_t machine) const;
  [[nodiscard]] std::string Address(std::size_t machine, int port) const;
  [[nodiscard]] std::string Settings(const std::string& file, std::size_t machine,
                                     bool bootstrap) const;
  void Start(std::size_t machine, bool bootstrap);
  [[nodiscard]] std::string ListEngines();
  void ServePlatform(Channel& channel);
  /// \returns true if a connection from this port to the member of `machine` crosses the cut.
  [[nodiscard]] bool Crosses(std::uint16_t peer_port, std::size_t machine);

  Record& record_;
  std::string folder_;
  std::string network_;
  int first_port_ = 0;
  Paths paths_;
  std::mutex mutex_;
  std::vector<Engine> engines_;
  std::set<std::size_t> cut_off_;
  std::unique_ptr<Listener> platform_;
  std::vector<Machine> machines_;
  std::vector<std::unique_ptr<Link>> links_;
};

/// \returns a desired state with one route and one tenant.
[[nodiscard]] std::string MakePlainState(unsigned version);

/// \returns true if `content` is the desired state with this version.
[[nodiscard]] bool HasVersion(const std::string& content, unsigned version);

}  // namespace briarwood::review
