#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "briarwood/common/random.h"
#include "briarwood/http/event_loop.h"
#include "soak/invariant_checkers.h"
#include "soak/listener.h"

namespace briarwood::soak {

/// Versions that concurrent writers share; they increase by random steps.
class VersionSequence {
 public:
  /// Routes and keys of this many earlier versions are kept by a configuration.
  static constexpr std::size_t kKeptVersions = 24;

  std::uint64_t Next(common::Random& random);
  /// \returns the versions that a configuration with the last version keeps.
  [[nodiscard]] const std::vector<std::uint64_t>& kept() const noexcept { return kept_; }

 private:
  std::uint64_t last_ = 0;
  std::vector<std::uint64_t> kept_;
};

/// Sends configurations sequentially; each is sent to random members until one accepts or rejects
/// it. Some configurations are invalid and must be rejected.
class ConfigurationWriter : public std::enable_shared_from_this<ConfigurationWriter> {
 public:
  ConfigurationWriter(http::EventLoop& loop, std::uint64_t seed, std::vector<Listener> members,
                      VersionSequence& versions, ConfigurationChecker& checker);

  void Start() { SendNext(); }
  void SetMembers(std::vector<Listener> members) { members_ = std::move(members); }
  /// Stops after the configuration in progress has been accepted or rejected.
  void Stop() noexcept { stopped_ = true; }
  [[nodiscard]] bool idle() const noexcept { return idle_; }

 private:
  void SendNext();
  void Send();
  void RunAfter(std::chrono::milliseconds delay, void (ConfigurationWriter::*next)());

  http::EventLoop& loop_;
  common::Random random_;
  std::vector<Listener> members_;
  VersionSequence& versions_;
  ConfigurationChecker& checker_;
  http::Timer timer_;
  std::uint64_t version_ = 0;
  bool valid_ = true;
  std::string content_;
  int attempts_ = 0;
  bool stopped_ = false;
  bool idle_ = false;
};

/// Periodically reads the configuration from a random member, calls a random entry to check which
/// version is in force there, and calls each entry in turn for what the newest version that is due
/// allows.
class ConfigurationProbe : public std::enable_shared_from_this<ConfigurationProbe> {
 public:
  ConfigurationProbe(http::EventLoop& loop, std::uint64_t seed, std::vector<Listener> members,
                     std::vector<Listener> entries, ConfigurationChecker& configurations,
                     RequestChecker& requests);

  void Start();
  void Stop() noexcept { stopped_ = true; }
  void SetMembers(std::vector<Listener> members) { members_ = std::move(members); }

  /// Reads the configuration from a member once.
  /// \param on_version  called with the version, or 0 if the read failed
  void ReadMember(const Listener& member, std::function<void(std::uint64_t version)> on_version);
  /// Checks whether a version is in force at an entry.
  /// \param on_response  called with the HTTP status, or 0 if there was no response
  void ProbeEntry(const Listener& entry, std::uint64_t version,
                  std::function<void(std::uint16_t status)> on_response);

 private:
  void Wait();
  void Probe();
  /// Calls an entry for a route or with a key that a version has added.
  void ProbeKept(const Listener& entry, std::uint64_t version, bool by_key);
  void CallEntry(const Listener& entry, const std::string& path, const std::string& customer,
                 const std::string& key, std::function<void(std::uint16_t status)> on_response);

  http::EventLoop& loop_;
  common::Random random_;
  std::vector<Listener> members_;
  std::vector<Listener> entries_;
  ConfigurationChecker& configurations_;
  RequestChecker& requests_;
  http::Timer timer_;
  std::vector<std::uint64_t> seen_versions_;
  std::uint64_t number_ = 0;
  std::uint64_t kept_probes_ = 0;
  bool stopped_ = false;
};

}  // namespace briarwood::soak
