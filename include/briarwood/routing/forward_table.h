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

/// Parts of the configuration that determine how requests are forwarded.
struct ForwardConfiguration {
  std::vector<schema::ForwardRoute> routes;
  std::vector<schema::Service> services;
  std::vector<schema::Customer> customers;
  /// Absent until a configuration with forwarding is active.
  std::optional<schema::CallerLimits> limits;
};

/// Owner of a key.
struct KeyOwner {
  common::CustomerId customer;
  /// Overrides the tier of the route if present.
  std::optional<common::Tier> tier;
};

/// Immutable lookup table of the forwarding configuration: routes, services and key owners.
class ForwardTable {
 public:
  explicit ForwardTable(ForwardConfiguration configuration);

  /// False until a configuration with forwarding is active; until then a request must not be
  /// rejected because its host, path or key is unknown.
  [[nodiscard]] bool known() const noexcept { return configuration_.limits.has_value(); }

  /// \param host  Host field; a port is ignored
  /// \param path  request target without the query
  /// \returns the route of the host with the longest matching prefix of `path`, or nullptr.
  [[nodiscard]] const schema::ForwardRoute* Match(std::string_view host,
                                                  std::string_view path) const;

  /// \returns whether requests need a key, except on open routes. Unspecified if the configuration
  ///   has no customers and was written by a version that did not record it.
  [[nodiscard]] schema::KeyCheck key_check() const noexcept;

  /// \returns the owner of a key, or nullptr.
  [[nodiscard]] const KeyOwner* FindOwner(std::string_view key) const;

  [[nodiscard]] const schema::Service* FindService(const std::string& id) const;

  /// \param draw  random number in [0, 1) that selects among the weighted targets
  /// \returns the service that receives the request; empty if the route has no targets.
  [[nodiscard]] static std::string ChooseService(const schema::ForwardRoute& route, double draw);

  [[nodiscard]] const schema::CallerLimits& limits() const;
  [[nodiscard]] const ForwardConfiguration& configuration() const noexcept {
    return configuration_;
  }

 private:
  ForwardConfiguration configuration_;
  /// Index of a route, by lower-case host and by path prefix.
  std::unordered_map<std::string, std::map<std::string, std::size_t, std::less<>>> hosts_;
  /// By SHA-256 of the key in lower-case hex.
  std::unordered_map<std::string, KeyOwner> owners_;
  std::unordered_map<std::string, std::size_t> services_;
};

}  // namespace briarwood::routing
