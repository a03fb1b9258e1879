#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "briarwood/common/time.h"

namespace briarwood::emulator {

enum class VmState : std::uint8_t { kStarting, kLive, kLeaving };

struct VmRow {
  std::string id;
  std::string failure_domain;
  VmState state = VmState::kStarting;
};

/// States of the VMs of the platform over time, as a pure state machine.
class VmList {
 public:
  /// \param start_time  time between the start order and state kLive
  /// \param leave_time  time between the stop order and the removal from the list
  VmList(common::Duration start_time, common::Duration leave_time)
      : start_time_(start_time), leave_time_(leave_time) {}

  /// Adds a VM. A VM that exists and is not leaving remains unchanged.
  void StartVm(const std::string& id, const std::string& failure_domain, common::Time now);

  /// \returns false if the VM is unknown.
  bool StopVm(const std::string& id, common::Time now);

  /// \returns the VMs that existed at time `at`, sorted by id.
  [[nodiscard]] std::vector<VmRow> ViewAt(common::Time at) const;

 private:
  struct Lifetime {
    std::string failure_domain;
    common::Time started;
    common::Time leaving = common::Time::max();
  };

  common::Duration start_time_;
  common::Duration leave_time_;
  std::map<std::string, Lifetime> vms_;
};

}  // namespace briarwood::emulator
