#include "briarwood/settings/forwarding_checks.h"

#include <map>
#include <set>
#include <utility>

#include "briarwood/common/host_name.h"

namespace briarwood::settings {
namespace {

void CheckRoute(const schema::ForwardRoute& route, const std::set<std::string>& services,
                std::vector<std::string>& problems) {
  const std::string where = "forward_routes[" + route.id() + "]";
  const std::string& prefix = route.path_prefix();
  if (!prefix.starts_with('/') || !prefix.ends_with('/')) {
    problems.push_back(where + ".path_prefix: found \"" + prefix +
                       "\", expected a path that begins and ends with a slash");
  }
  if (route.timeout_ms() == 0) {
    problems.push_back(where + ".timeout_ms: found 0, expected at least 1");
  }
  bool has_weight = false;
  for (const schema::RouteTarget& target : route.targets()) {
    has_weight = has_weight || target.weight() > 0;
    if (!services.contains(target.service())) {
      problems.push_back(where + ".targets: found the unknown service \"" + target.service() +
                         "\", expected one of the services");
    }
  }
  if (!has_weight) {
    problems.push_back(where + ".targets: found weights that add up to 0, expected at least 1");
  }
}

}  // namespace

std::vector<std::string> CheckForwarding(const schema::Configuration& merged) {
  std::vector<std::string> problems;
  std::set<std::string> services;
  for (const schema::Service& service : merged.services()) {
    if (!services.insert(service.id()).second) {
      problems.push_back("services[" + service.id() + "]: found twice, expected one of each id");
    }
  }
  std::map<std::pair<std::string, std::string>, std::string> routes_by_host_and_path;
  for (const schema::ForwardRoute& route : merged.forward_routes()) {
    CheckRoute(route, services, problems);
    const auto [existing, added] = routes_by_host_and_path.emplace(
        std::pair(common::NormalizeHost(route.host()), route.path_prefix()), route.id());
    if (!added) {
      problems.push_back("forward_routes[" + route.id() +
                         "]: found host and path_prefix of route \"" + existing->second +
                         "\", expected a place of its own");
    }
  }
  std::map<std::string, std::string> key_owners;
  std::set<std::string> customers;
  for (const schema::Customer& customer : merged.customers()) {
    if (!customers.insert(customer.id()).second) {
      problems.push_back("customers[" + customer.id() + "]: found twice, expected one of each id");
    }
    for (const std::string& key : customer.key_sha256()) {
      const auto [owner, added] = key_owners.emplace(key, customer.id());
      if (!added && owner->second != customer.id()) {
        problems.push_back("customers[" + customer.id() +
                           "].key_sha256: found a key of customer \"" + owner->second +
                           "\", expected keys of its own");
      }
    }
  }
  return problems;
}

}  // namespace briarwood::settings
