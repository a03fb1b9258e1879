#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "briarwood/common/ids.h"
#include "briarwood/distribution/replica.h"
#include "configuration.pb.h"
#include "control.pb.h"

namespace briarwood::entry::impl {

/// Immutable snapshot of the replica's configuration rows by which requests are authorized and
/// planned. It holds no keys.
class Directory {
 public:
  [[nodiscard]] static std::shared_ptr<const Directory> Build(const distribution::Replica& replica);

  /// \returns null if there is no such row.
  [[nodiscard]] const schema::Customer* FindCustomer(const std::string& id) const;
  [[nodiscard]] const schema::RequestClass* FindClass(const std::string& id) const;
  [[nodiscard]] const schema::Route* FindRoute(const std::string& path) const;
  [[nodiscard]] const schema::SuspectRow* FindSuspect(const std::string& row_id) const;
  [[nodiscard]] const schema::BackendServer* FindBackend(const std::string& id) const;

  /// Resolves a "model" or "model:adapter" name of a request.
  /// \param adapter  set to the adapter's name, or empty if the name has none
  /// \returns null if the model or adapter is unknown.
  [[nodiscard]] const schema::Model* FindModel(const std::string& name, std::string& adapter) const;

  [[nodiscard]] const std::map<std::string, schema::Customer>& customers() const noexcept {
    return customers_;
  }
  [[nodiscard]] const std::map<std::string, schema::RequestClass>& classes() const noexcept {
    return classes_;
  }
  [[nodiscard]] const std::map<std::string, schema::Model>& models() const noexcept {
    return models_;
  }
  [[nodiscard]] const std::map<std::string, schema::BackendServer>& backends() const noexcept {
    return backends_;
  }
  [[nodiscard]] const std::set<std::string>& draining() const noexcept { return draining_; }
  [[nodiscard]] const std::set<common::FailureDomainId>& draining_domains() const noexcept {
    return draining_domains_;
  }

 private:
  std::map<std::string, schema::Customer> customers_;
  std::map<std::string, schema::RequestClass> classes_;
  std::map<std::string, schema::Model> models_;
  std::map<std::string, schema::Route> routes_;
  std::map<std::string, schema::BackendServer> backends_;
  std::map<std::string, schema::SuspectRow> suspects_;
  std::set<std::string> draining_;
  std::set<common::FailureDomainId> draining_domains_;
};

}  // namespace briarwood::entry::impl
