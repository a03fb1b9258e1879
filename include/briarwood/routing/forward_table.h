#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "briarwood/common/ids.h"
#include "configuration.pb.h"

namespace briarwood::routing {

/// Parts of the configuration that decide where a forwarded request goes.
struct ForwardConfiguration {
  std::vector<schema::ForwardRoute> routes;
  std::vector<schema::Service> services;
  std::vector<schema::Customer> customers;
  /// Absent until a configuration with forwarding is in force.
  std::optional<schema::CallerLimits> limits;
};

/// Customer that a key belongs to.
struct KeyOwner {
  common::CustomerId customer;
  /// Goes before the tier of the route when present.
  std::optional<common::Tier> tier;
};

/// Immutable view of the configuration for forwarding: finds routes and owners of keys.
class ForwardTable {
 public:
  explicit ForwardTable(ForwardConfiguration configuration);

  /// False while no configuration with forwarding is in force; nothing can be refused then as
  /// unknown.
  [[nodiscard]] bool known() const noexcept { return configuration_.limits.has_value(); }

  /// \param host  Host field; a port is ignored
  /// \param path  target without its query
  /// \returns the route of the host with the longest prefix of `path`, or nullptr.
  [[nodiscard]] const schema::ForwardRoute* Match(std::string_view host,
                                                  std::string_view path) const;

  /// True when requests need a key unless their route is open.
  [[nodiscard]] bool requires_keys() const noexcept { return !configuration_.customers.empty(); }

  /// \returns the owner of a key, or nullptr.
  [[nodiscard]] const KeyOwner* FindOwner(std::string_view key) const;

  [[nodiscard]] const schema::Service* FindService(const std::string& id) const;

  /// \param draw  number in [0, 1) that selects among weighted targets
  /// \returns the service that a request of the route goes to; empty without targets.
  [[nodiscard]] static std::string ChooseService(const schema::ForwardRoute& route, double draw);

  [[nodiscard]] const schema::CallerLimits& limits() const;
  [[nodiscard]] const ForwardConfiguration& configuration() const noexcept {
    return configuration_;
  }

 private:
  ForwardConfiguration configuration_;
  /// Index of a route by host in lower case and prefix.
  std::unordered_map<std::string, std::map<std::string, std::size_t, std::less<>>> hosts_;
  /// By lower-case hex SHA-256 of the key.
  std::unordered_map<std::string, KeyOwner> owners_;
  std::unordered_map<std::string, std::size_t> services_;
};

}  // namespace briarwood::routing
