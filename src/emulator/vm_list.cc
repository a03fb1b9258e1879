#include "briarwood/emulator/vm_list.h"

namespace briarwood::emulator {

void VmList::StartVm(const std::string& id, const std::string& failure_domain, common::Time now) {
  const auto found = vms_.find(id);
  if (found != vms_.end() && found->second.leaving == common::Time::max()) return;
  vms_.insert_or_assign(id, Lifetime{.failure_domain = failure_domain, .started = now});
}

bool VmList::StopVm(const std::string& id, common::Time now) {
  const auto found = vms_.find(id);
  if (found == vms_.end()) return false;
  if (found->second.leaving == common::Time::max()) found->second.leaving = now;
  return true;
}

std::vector<VmRow> VmList::ViewAt(common::Time at) const {
  std::vector<VmRow> rows;
  for (const auto& [id, vm] : vms_) {
    const bool leaving = vm.leaving <= at;
    if (vm.started > at || (leaving && at - vm.leaving >= leave_time_)) continue;
    VmState state = at - vm.started >= start_time_ ? VmState::kLive : VmState::kStarting;
    if (leaving) state = VmState::kLeaving;
    rows.push_back({.id = id, .failure_domain = vm.failure_domain, .state = state});
  }
  return rows;
}

}  // namespace briarwood::emulator
