#include <set>
#include <sstream>
#include <string>
#include <unordered_map>

#include "settings/impl/configuration_checks.h"
#include "settings/impl/text.h"

namespace briarwood::settings::impl {
namespace {

/// Tolerates the rounding error of adding floors, which are decimal fractions, in binary floating
/// point.
constexpr double kFloorTolerance = 1e-9;

template <typename Rows>
std::set<std::string_view> Ids(const Rows& rows) {
  std::set<std::string_view> ids;
  for (const auto& row : rows) ids.insert(row.id());
  return ids;
}

class ReferenceChecks {
 public:
  ReferenceChecks(const schema::Configuration& configuration, Findings& findings)
      : configuration_(configuration),
        findings_(findings),
        domains_(Ids(configuration.failure_domains())),
        classes_(Ids(configuration.classes())) {
    for (const schema::Model& model : configuration.models()) models_[model.id()] = &model;
    for (const schema::Route& route : configuration.routes()) services_.insert(route.service());
  }

  void Run() {
    CheckCustomers();
    CheckRoutes();
    CheckBackendServers();
    CheckVms();
    CheckFloors();
  }

 private:
  void RequireIn(const std::set<std::string_view>& known, const std::string& id, const RowRef& row,
                 std::string_view field, const std::string& expected) {
    findings_.Require(known.contains(id), row, field, Quote(id), expected);
  }

  void CheckCustomers() {
    for (int i = 0; i < configuration_.customers_size(); ++i) {
      const schema::Customer& customer = configuration_.customers(i);
      const RowRef row{"customers", i, customer.id()};
      if (!customer.default_class().empty()) {
        RequireIn(classes_, customer.default_class(), row, "default_class", "the id of a class");
      }
      for (const std::string& id : customer.allowed_classes()) {
        RequireIn(classes_, id, row, "allowed_classes", "ids of classes");
      }
    }
  }

  void CheckRoutes() {
    for (int i = 0; i < configuration_.routes_size(); ++i) {
      const schema::Route& route = configuration_.routes(i);
      if (route.class_().empty()) continue;
      RequireIn(classes_, route.class_(), {"routes", i, route.path()}, "class",
                "the id of a class");
    }
  }

  void CheckBackendServers() {
    for (int i = 0; i < configuration_.backend_servers_size(); ++i) {
      const schema::BackendServer& server = configuration_.backend_servers(i);
      const RowRef row{"backend_servers", i, server.id()};
      RequireIn(domains_, server.failure_domain(), row, "failure_domain",
                "the id of a failure domain");
      if (server.kind() == schema::BACKEND_KIND_ENGINE) CheckModel(server, row);
      if (server.kind() == schema::BACKEND_KIND_SERVICE) {
        RequireIn(services_, server.service(), row, "service", "a service that a route names");
      }
    }
  }

  void CheckModel(const schema::BackendServer& server, const RowRef& row) {
    if (server.model().empty()) return;
    const auto model = models_.find(server.model());
    if (model == models_.end()) {
      findings_.Add(row, "model", Quote(server.model()), "the id of a model");
      return;
    }
    const auto& known = model->second->adapters();
    for (const std::string& adapter : server.adapters()) {
      findings_.Require(std::find(known.begin(), known.end(), adapter) != known.end(), row,
                        "adapters", Quote(adapter), "adapters of model " + Quote(server.model()));
    }
  }

  void CheckVms() {
    for (int i = 0; i < configuration_.vms_size(); ++i) {
      const schema::Vm& vm = configuration_.vms(i);
      RequireIn(domains_, vm.failure_domain(), {"vms", i, vm.id()}, "failure_domain",
                "the id of a failure domain");
    }
  }

  void CheckFloors() {
    double sum = 0;
    for (const schema::RequestClass& item : configuration_.classes()) sum += item.floor_share();
    if (sum <= 1 + kFloorTolerance) return;
    std::ostringstream found;
    found << "floors whose sum is " << sum;
    findings_.Add({"classes"}, "floor_share", found.str(), "floors whose sum is at most 1");
  }

  const schema::Configuration& configuration_;
  Findings& findings_;
  std::set<std::string_view> domains_;
  std::set<std::string_view> classes_;
  std::set<std::string_view> services_;
  std::unordered_map<std::string_view, const schema::Model*> models_;
};

}  // namespace

void CheckReferences(const schema::Configuration& configuration, Findings& findings) {
  ReferenceChecks(configuration, findings).Run();
}

}  // namespace briarwood::settings::impl
