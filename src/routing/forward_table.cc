#include "briarwood/routing/forward_table.h"

#include <utility>

#include "briarwood/common/digest.h"
#include "briarwood/common/host_name.h"

namespace briarwood::routing {

ForwardTable::ForwardTable(ForwardConfiguration configuration)
    : configuration_(std::move(configuration)) {
  for (std::size_t i = 0; i < configuration_.routes.size(); ++i) {
    const schema::ForwardRoute& route = configuration_.routes[i];
    hosts_[common::NormalizeHost(route.host())][route.path_prefix()] = i;
  }
  for (std::size_t i = 0; i < configuration_.services.size(); ++i) {
    services_[configuration_.services[i].id()] = i;
  }
  for (const schema::Customer& customer : configuration_.customers) {
    KeyOwner owner{.customer = common::CustomerId(customer.id()), .tier = std::nullopt};
    if (customer.has_tier()) owner.tier = common::Tier(customer.tier());
    for (const std::string& digest : customer.key_sha256()) owners_[digest] = owner;
  }
}

const schema::ForwardRoute* ForwardTable::Match(std::string_view host,
                                                std::string_view path) const {
  const auto routes = hosts_.find(common::NormalizeHost(host));
  if (routes == hosts_.end()) return nullptr;
  // Prefixes end with a slash, so only parts of the path that end with a slash can match.
  for (std::size_t end = path.rfind('/'); end != std::string_view::npos;
       end = end == 0 ? std::string_view::npos : path.rfind('/', end - 1)) {
    const auto route = routes->second.find(path.substr(0, end + 1));
    if (route != routes->second.end()) return &configuration_.routes[route->second];
  }
  return nullptr;
}

const KeyOwner* ForwardTable::FindOwner(std::string_view key) const {
  const auto found = owners_.find(common::ToHex(common::Sha256(key)));
  return found == owners_.end() ? nullptr : &found->second;
}

const schema::Service* ForwardTable::FindService(const std::string& id) const {
  const auto found = services_.find(id);
  return found == services_.end() ? nullptr : &configuration_.services[found->second];
}

std::string ForwardTable::ChooseService(const schema::ForwardRoute& route, double draw) {
  double total = 0;
  for (const schema::RouteTarget& target : route.targets()) {
    total += static_cast<double>(target.weight());
  }
  double left = draw * total;
  for (const schema::RouteTarget& target : route.targets()) {
    if (target.weight() == 0) continue;
    left -= static_cast<double>(target.weight());
    if (left < 0) return target.service();
  }
  return {};
}

schema::KeyCheck ForwardTable::key_check() const noexcept {
  if (!configuration_.customers.empty()) return schema::KEY_CHECK_REQUIRED;
  return limits().key_check();
}

const schema::CallerLimits& ForwardTable::limits() const {
  static const schema::CallerLimits kDefaults;
  return configuration_.limits ? *configuration_.limits : kDefaults;
}

}  // namespace briarwood::routing
