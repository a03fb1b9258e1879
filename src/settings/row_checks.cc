#include <set>
#include <sstream>
#include <string>

#include "settings/impl/configuration_checks.h"
#include "settings/impl/text.h"

namespace briarwood::settings::impl {
namespace {

constexpr std::uint32_t kMaxTier = 15;
constexpr std::uint64_t kMaxDeadlineMs = 86'400'000;
constexpr std::uint64_t kMaxUsageWindowSeconds = 86'400;
constexpr std::uint64_t kMaxUsageGraceSeconds = 3'600;

std::string FormatNumber(double value) {
  std::ostringstream out;
  out << value;
  return out.str();
}

template <typename Rows>
void CheckIds(const Rows& rows, std::string_view table, Findings& findings) {
  std::set<std::string_view> seen;
  for (int i = 0; i < rows.size(); ++i) {
    const std::string& id = rows[i].id();
    const RowRef row{table, i, id};
    findings.Require(IsId(id), row, "id", Quote(id),
                     "1 to 128 letters, digits and characters of \"._:/@-\"");
    findings.Require(seen.insert(id).second, row, "id", "duplicate id " + Quote(id),
                     "an id that no other row of " + std::string(table) + " has");
  }
}

template <typename Strings>
void CheckDistinct(const Strings& values, const RowRef& row, std::string_view field,
                   Findings& findings) {
  std::set<std::string_view> seen;
  for (const std::string& value : values) {
    findings.Require(seen.insert(value).second, row, field, "duplicate value " + Quote(value),
                     "distinct values");
  }
}

void CheckCustomer(const schema::Customer& customer, const RowRef& row, Findings& findings) {
  findings.Require(customer.weight() >= 0, row, "weight", FormatNumber(customer.weight()),
                   "a number of at least 0");
  CheckDistinct(customer.allowed_classes(), row, "allowed_classes", findings);
  if (customer.default_class().empty() || customer.allowed_classes().empty()) return;
  const auto& allowed = customer.allowed_classes();
  const bool listed =
      std::find(allowed.begin(), allowed.end(), customer.default_class()) != allowed.end();
  findings.Require(listed, row, "default_class", Quote(customer.default_class()),
                   "one of allowed_classes");
}

void CheckClass(const schema::RequestClass& request_class, const RowRef& row, Findings& findings) {
  findings.Require(request_class.tier() <= kMaxTier, row, "tier",
                   std::to_string(request_class.tier()),
                   "an integer from 0 to " + std::to_string(kMaxTier));
  findings.Require(request_class.first_token_target_ms() > 0, row, "first_token_target_ms",
                   "0 or no value", "a target in milliseconds above 0");
  findings.Require(request_class.floor_share() >= 0 && request_class.floor_share() <= 1, row,
                   "floor_share", FormatNumber(request_class.floor_share()),
                   "a number from 0 to 1");
  findings.Require(request_class.deadline_ms() <= kMaxDeadlineMs, row, "deadline_ms",
                   std::to_string(request_class.deadline_ms()),
                   "at most " + std::to_string(kMaxDeadlineMs));
  if (request_class.deadline_ms() == 0) return;
  findings.Require(request_class.deadline_ms() >= request_class.first_token_target_ms(), row,
                   "deadline_ms", std::to_string(request_class.deadline_ms()),
                   "at least first_token_target_ms (" +
                       std::to_string(request_class.first_token_target_ms()) + ")");
}

bool IsReservedPath(const std::string& path) {
  for (const std::string_view reserved : {"/v1", "/internal", "/healthz", "/readyz", "/metrics"}) {
    if (path == reserved || path.starts_with(std::string(reserved) + "/")) return true;
  }
  return false;
}

void CheckRoute(const schema::Route& route, const RowRef& row, Findings& findings) {
  const std::string& path = route.path();
  findings.Require(
      path.size() > 1 && path.front() == '/' && path.find_first_of("?# ") == std::string::npos, row,
      "path", Quote(path), "a path that starts with \"/\" and names a service");
  findings.Require(!IsReservedPath(path), row, "path", Quote(path),
                   "a path outside /v1, /internal, /healthz, /readyz and /metrics");
  findings.Require(IsId(route.service()), row, "service", Quote(route.service()),
                   "the name of a service");
  static const std::set<std::string_view> kMethods{"GET", "POST", "PUT", "PATCH", "DELETE"};
  for (const std::string& method : route.methods()) {
    findings.Require(kMethods.contains(method), row, "methods", Quote(method),
                     "one of GET, POST, PUT, PATCH, DELETE");
  }
}

void CheckRoutes(const schema::Configuration& configuration, Findings& findings) {
  std::set<std::string_view> paths;
  for (int i = 0; i < configuration.routes_size(); ++i) {
    const schema::Route& route = configuration.routes(i);
    const RowRef row{"routes", i, route.path()};
    CheckRoute(route, row, findings);
    findings.Require(paths.insert(route.path()).second, row, "path",
                     "duplicate path " + Quote(route.path()), "a path that no other route has");
  }
}

void CheckEngine(const schema::BackendServer& server, const RowRef& row, Findings& findings) {
  findings.Require(!server.model().empty(), row, "model", "no value", "the id of a model");
  findings.Require(server.service().empty(), row, "service", Quote(server.service()),
                   "no value, as the backend server is an engine");
  CheckDistinct(server.adapters(), row, "adapters", findings);
}

void CheckService(const schema::BackendServer& server, const RowRef& row, Findings& findings) {
  const std::string expected = "no value, as the backend server is a service";
  findings.Require(IsId(server.service()), row, "service", Quote(server.service()),
                   "the name of a service");
  findings.Require(server.model().empty(), row, "model", Quote(server.model()), expected);
  findings.Require(server.adapters().empty(), row, "adapters", "an array", expected);
  findings.Require(server.role() == schema::ENGINE_ROLE_UNSPECIFIED, row, "role", "a role",
                   expected);
}

void CheckBackendServer(const schema::BackendServer& server, const RowRef& row,
                        Findings& findings) {
  switch (server.kind()) {
    case schema::BACKEND_KIND_ENGINE:
      CheckEngine(server, row, findings);
      break;
    case schema::BACKEND_KIND_SERVICE:
      CheckService(server, row, findings);
      break;
    default:
      findings.Add(row, "kind", "no value", "\"engine\" or \"service\"");
  }
  findings.Require(IsIpPort(server.agent_address()), row, "agent_address",
                   Quote(server.agent_address()), "an address of the form ip:port");
  findings.Require(server.agent_rpc_address().empty() || IsIpPort(server.agent_rpc_address()), row,
                   "agent_rpc_address", Quote(server.agent_rpc_address()),
                   "an address of the form ip:port");
  findings.Require(IsIpUrl(server.url()), row, "url", Quote(server.url()),
                   "a URL of the form http://ip:port or https://ip:port");
  findings.Require(server.max_concurrency() > 0, row, "max_concurrency", "0 or no value",
                   "an integer of at least 1");
}

void CheckBackendServers(const schema::Configuration& configuration, Findings& findings) {
  std::set<std::string_view> addresses;
  for (int i = 0; i < configuration.backend_servers_size(); ++i) {
    const schema::BackendServer& server = configuration.backend_servers(i);
    const RowRef row{"backend_servers", i, server.id()};
    CheckBackendServer(server, row, findings);
    findings.Require(addresses.insert(server.agent_address()).second, row, "agent_address",
                     "duplicate address " + Quote(server.agent_address()),
                     "an address that no other backend server has");
  }
}

void CheckCapacity(const schema::Capacity& capacity, Findings& findings) {
  const RowRef row{"capacity"};
  const std::uint64_t maximum = capacity.max_engines_per_domain();
  findings.Require(capacity.min_engines_per_domain() <= maximum || maximum == 0, row,
                   "min_engines_per_domain", std::to_string(capacity.min_engines_per_domain()),
                   "at most max_engines_per_domain (" + std::to_string(maximum) + ")");
  findings.Require(capacity.max_cost_per_hour() >= 0, row, "max_cost_per_hour",
                   FormatNumber(capacity.max_cost_per_hour()), "a number of at least 0");
  findings.Require(capacity.cost_per_engine_hour() >= 0, row, "cost_per_engine_hour",
                   FormatNumber(capacity.cost_per_engine_hour()), "a number of at least 0");
  findings.Require(capacity.target_utilisation() >= 0 && capacity.target_utilisation() <= 1, row,
                   "target_utilisation", FormatNumber(capacity.target_utilisation()),
                   "a number from 0 to 1");
  if (maximum == 0) return;
  findings.Require(capacity.tokens_per_second_per_engine() > 0, row, "tokens_per_second_per_engine",
                   "0 or no value", "an integer of at least 1 when capacity is automatic");
  findings.Require(capacity.target_utilisation() > 0, row, "target_utilisation", "0 or no value",
                   "a number above 0 when capacity is automatic");
}

void CheckUsage(const schema::UsageReporting& usage, Findings& findings) {
  const RowRef row{"usage"};
  findings.Require(usage.window_seconds() <= kMaxUsageWindowSeconds, row, "window_seconds",
                   std::to_string(usage.window_seconds()),
                   "at most " + std::to_string(kMaxUsageWindowSeconds));
  findings.Require(usage.grace_seconds() <= kMaxUsageGraceSeconds, row, "grace_seconds",
                   std::to_string(usage.grace_seconds()),
                   "at most " + std::to_string(kMaxUsageGraceSeconds));
}

}  // namespace

void CheckRows(const schema::Configuration& configuration, Findings& findings) {
  CheckIds(configuration.failure_domains(), "failure_domains", findings);
  CheckIds(configuration.customers(), "customers", findings);
  CheckIds(configuration.classes(), "classes", findings);
  CheckIds(configuration.models(), "models", findings);
  CheckIds(configuration.backend_servers(), "backend_servers", findings);
  CheckIds(configuration.vms(), "vms", findings);
  for (int i = 0; i < configuration.customers_size(); ++i) {
    const schema::Customer& customer = configuration.customers(i);
    CheckCustomer(customer, {"customers", i, customer.id()}, findings);
  }
  for (int i = 0; i < configuration.classes_size(); ++i) {
    const schema::RequestClass& request_class = configuration.classes(i);
    CheckClass(request_class, {"classes", i, request_class.id()}, findings);
  }
  for (int i = 0; i < configuration.models_size(); ++i) {
    const schema::Model& model = configuration.models(i);
    CheckDistinct(model.adapters(), {"models", i, model.id()}, "adapters", findings);
  }
  CheckRoutes(configuration, findings);
  CheckBackendServers(configuration, findings);
  if (configuration.has_capacity()) CheckCapacity(configuration.capacity(), findings);
  if (configuration.has_usage()) CheckUsage(configuration.usage(), findings);
}

}  // namespace briarwood::settings::impl
