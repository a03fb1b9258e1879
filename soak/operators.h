#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "briarwood/common/random.h"
#include "briarwood/http/event_loop.h"
#include "soak/promises.h"

namespace briarwood::soak {

/// Process as operators and probes see it.
struct Listener {
  std::string name;
  std::string address;
  /// \returns the number of the process that serves it now.
  std::function<std::uint64_t()> lifetime;
};

/// Versions that racing operators share; they grow in uneven steps.
struct VersionSequence {
  std::uint64_t last = 0;
};

/// Sends configurations one after the other, each to one member after the other until it has a
/// clear answer. Some of them must be refused.
class ConfigurationWriter : public std::enable_shared_from_this<ConfigurationWriter> {
 public:
  ConfigurationWriter(http::EventLoop& loop, std::uint64_t seed, std::vector<Listener> members,
                      VersionSequence& versions, ConfigurationPromises& promises);

  void Start() { SendNext(); }
  /// Sends no further configuration; the one in progress is still sent until it is answered.
  void Stop() noexcept { stopped_ = true; }
  [[nodiscard]] bool idle() const noexcept { return idle_; }

 private:
  void SendNext();
  void Send();
  void After(std::chrono::milliseconds pause, void (ConfigurationWriter::*next)());

  http::EventLoop& loop_;
  common::Random random_;
  std::vector<Listener> members_;
  VersionSequence& versions_;
  ConfigurationPromises& promises_;
  http::Timer timer_;
  std::uint64_t version_ = 0;
  bool valid_ = true;
  std::string content_;
  int tries_ = 0;
  bool stopped_ = false;
  bool idle_ = false;
};

/// Reads the configuration at one member after the other, and calls entries to see which version
/// is in force there.
class ConfigurationProbe : public std::enable_shared_from_this<ConfigurationProbe> {
 public:
  ConfigurationProbe(http::EventLoop& loop, std::uint64_t seed, std::vector<Listener> members,
                     std::vector<Listener> entries, ConfigurationPromises& configurations,
                     RequestPromises& requests);

  void Start();
  void Stop() noexcept { stopped_ = true; }

  /// Reads once at a member. \param on_version  gets the version; 0 when there was no answer
  void Read(const Listener& member, std::function<void(std::uint64_t version)> on_version);
  /// Asks an entry whether this version is in force. \param on_answer  gets the answer's status
  void Ask(const Listener& entry, std::uint64_t version,
           std::function<void(std::uint16_t status)> on_answer);

 private:
  void Wait();
  void Probe();

  http::EventLoop& loop_;
  common::Random random_;
  std::vector<Listener> members_;
  std::vector<Listener> entries_;
  ConfigurationPromises& configurations_;
  RequestPromises& requests_;
  http::Timer timer_;
  std::vector<std::uint64_t> seen_versions_;
  std::uint64_t number_ = 0;
  bool stopped_ = false;
};

}  // namespace briarwood::soak
