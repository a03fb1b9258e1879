#include <algorithm>
#include <map>

#include "control/impl/admin_calls.h"
#include "control/impl/admin_json.h"
#include "control/impl/admin_numbers.h"

namespace briarwood::control::impl {
namespace {

constexpr std::uint64_t kDefaultAuditRecords = 100;

const char* RoleName(schema::NodeRole role) {
  switch (role) {
    case schema::NODE_ROLE_CONTROL:
      return "control";
    case schema::NODE_ROLE_ENTRY:
      return "entry";
    case schema::NODE_ROLE_AGENT:
      return "agent";
    default:
      return "unknown";
  }
}

schema::ProcessView ViewOf(const membership::NodeView& node, std::uint64_t index,
                           common::Time now) {
  schema::ProcessView view;
  view.set_id(node.identity.id());
  view.set_role(RoleName(node.identity.role()));
  view.set_incarnation(node.identity.incarnation());
  view.set_failure_domain(node.identity.failure_domain());
  view.set_liveness(membership::ToString(node.liveness));
  view.set_ready(node.ready);
  view.set_index(node.index.value());
  view.set_in_force(node.index.value() >= index);
  const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - node.heard_at);
  view.set_heard_ms_ago(static_cast<std::uint64_t>(std::max<std::int64_t>(0, age.count())));
  return view;
}

template <typename Message>
void ForEachParsed(const distribution::RowTable& table, schema::RowKind kind,
                   const std::function<void(const Message&)>& visit) {
  table.ForEach(kind, [&](const schema::Row& row) {
    Message message;
    if (message.ParseFromString(row.value())) visit(message);
  });
}

}  // namespace

schema::InForceResponse AdminCalls::InForce(const AdminCall& call) const {
  schema::InForceResponse response;
  if (const auto wanted = QueryNumber(call, "index")) {
    response.set_index(*wanted);
  } else {
    backend_.ReadState([&](const ControlState& state) {
      response.set_index(state.table().last_change().value());
    });
  }
  response.set_in_force(true);
  for (const membership::NodeView& node : backend_.Nodes()) {
    const schema::ProcessView view = ViewOf(node, response.index(), call.now);
    const bool holds = view.in_force() || node.liveness == membership::Liveness::kDead;
    response.set_in_force(response.in_force() && holds);
    *response.add_processes() = view;
  }
  return response;
}

std::string AdminCalls::ListKeys(const AdminCall& call) const {
  const auto customer = call.query.find("customer");
  schema::ListKeysResponse response;
  backend_.ReadState([&](const ControlState& state) {
    for (const KeyInfo& key : state.Keys()) {
      if (customer != call.query.end() && customer->second != key.customer) continue;
      schema::KeyView& view = *response.add_keys();
      view.set_key_sha256(key.sha256_hex);
      view.set_customer(key.customer);
      view.set_label(key.label);
      view.set_granted_index(key.granted_index.value());
    }
  });
  return ToJson(response);
}

std::string AdminCalls::ListVms(const AdminCall& call) const {
  schema::ListVmsResponse response;
  std::uint64_t index = 0;
  backend_.ReadState([&](const ControlState& state) {
    index = state.table().last_change().value();
    ForEachParsed<schema::Vm>(state.table(), schema::ROW_KIND_VM,
                              [&](const schema::Vm& vm) { *response.add_vms() = vm; });
  });
  for (const membership::NodeView& node : backend_.Nodes()) {
    *response.add_processes() = ViewOf(node, index, call.now);
  }
  return ToJson(response);
}

std::string AdminCalls::ListBackendServers() const {
  std::map<std::string, membership::NodeView> agents;
  for (membership::NodeView& node : backend_.Nodes()) {
    if (node.load) agents[node.load->backend_server()] = std::move(node);
  }
  schema::ListBackendServersResponse response;
  backend_.ReadState([&](const ControlState& state) {
    const auto add = [&](const schema::BackendServer& server) {
      schema::BackendServerView& view = *response.add_backend_servers();
      *view.mutable_configuration() = server;
      view.set_draining(state.table().Find(schema::ROW_KIND_DRAINING, server.id()) != nullptr);
      const auto agent = agents.find(server.id());
      view.set_liveness(agent == agents.end() ? "unknown"
                                              : membership::ToString(agent->second.liveness));
      if (agent != agents.end()) *view.mutable_load() = *agent->second.load;
    };
    ForEachParsed<schema::BackendServer>(state.table(), schema::ROW_KIND_BACKEND_SERVER, add);
  });
  return ToJson(response);
}

std::string AdminCalls::ListFailureDomains() const {
  // Platforms list backend servers in domains that no document configures.
  std::map<std::string, schema::FailureDomainView> domains;
  backend_.ReadState([&](const ControlState& state) {
    state.table().ForEach(schema::ROW_KIND_FAILURE_DOMAIN,
                          [&](const schema::Row& row) { domains[row.id()].set_configured(true); });
    state.table().ForEach(schema::ROW_KIND_DRAINING_DOMAIN,
                          [&](const schema::Row& row) { domains[row.id()].set_draining(true); });
  });
  schema::ListFailureDomainsResponse response;
  for (auto& [id, view] : domains) {
    view.set_id(id);
    *response.add_failure_domains() = std::move(view);
  }
  return ToJson(response);
}

std::string AdminCalls::ListCrashEvidence() const {
  schema::ListCrashEvidenceResponse response;
  backend_.ReadState([&](const ControlState& state) {
    for (const auto& [property, evidence] : state.crash_evidence().properties()) {
      *response.add_crash_evidence() = evidence;
    }
  });
  return ToJson(response);
}

std::string AdminCalls::ListUsageWindows() const {
  schema::ListUsageWindowsResponse response;
  backend_.ReadState([&](const ControlState& state) {
    for (schema::UsageWindow& window : state.usage().List()) {
      // Lines and reports of all windows can add up to megabytes.
      window.clear_lines();
      window.clear_report();
      *response.add_windows() = std::move(window);
    }
  });
  return ToJson(response);
}

std::string AdminCalls::ShowUsageWindow(std::uint64_t id) const {
  std::vector<schema::UsageWindow> windows;
  backend_.ReadState([&](const ControlState& state) { windows = state.usage().List(); });
  for (const schema::UsageWindow& window : windows) {
    if (window.id() == id) return ToJson(window);
  }
  throw AdminFailure(404, "not_found", "no usage window " + std::to_string(id));
}

std::string AdminCalls::ListOrders() const {
  schema::ListOrdersResponse response;
  backend_.ReadState([&](const ControlState& state) {
    response.set_highest_fence(state.orders().highest_fence().value());
    for (const auto& [id, record] : state.orders().orders()) *response.add_orders() = record;
  });
  return ToJson(response);
}

std::string AdminCalls::ListAudit(const AdminCall& call) const {
  const std::uint64_t after = QueryNumber(call, "after_index").value_or(0);
  const std::uint64_t limit = QueryNumber(call, "limit").value_or(kDefaultAuditRecords);
  schema::ListAuditResponse response;
  backend_.ReadState([&](const ControlState& state) {
    for (const schema::AuditRecord& record : state.records().audit()) {
      if (static_cast<std::uint64_t>(response.records_size()) >= limit) break;
      if (record.index() > after) *response.add_records() = record;
    }
  });
  return ToJson(response);
}

}  // namespace briarwood::control::impl
