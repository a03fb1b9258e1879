#include "control/impl/configuration_rows.h"

#include <cctype>

namespace briarwood::control::impl {
namespace {

template <typename Messages>
void AddById(schema::RowKind kind, const Messages& messages, ConfigurationRows& rows) {
  for (const auto& message : messages) {
    rows[{kind, message.id()}] = message.SerializeAsString();
  }
}

}  // namespace

ConfigurationRows MakeConfigurationRows(const schema::Configuration& merged) {
  ConfigurationRows rows;
  AddById(schema::ROW_KIND_FAILURE_DOMAIN, merged.failure_domains(), rows);
  AddById(schema::ROW_KIND_CUSTOMER, merged.customers(), rows);
  AddById(schema::ROW_KIND_CLASS, merged.classes(), rows);
  AddById(schema::ROW_KIND_MODEL, merged.models(), rows);
  AddById(schema::ROW_KIND_BACKEND_SERVER, merged.backend_servers(), rows);
  AddById(schema::ROW_KIND_VM, merged.vms(), rows);
  AddById(schema::ROW_KIND_SERVICE, merged.services(), rows);
  for (const schema::Route& route : merged.routes()) {
    rows[{schema::ROW_KIND_ROUTE, route.path()}] = route.SerializeAsString();
  }
  for (const schema::ForwardRoute& route : merged.forward_routes()) {
    rows[{schema::ROW_KIND_FORWARD_ROUTE, route.host() + route.path_prefix()}] =
        route.SerializeAsString();
  }
  if (merged.has_capacity()) {
    rows[{schema::ROW_KIND_CAPACITY, "capacity"}] = merged.capacity().SerializeAsString();
  }
  if (merged.has_usage()) {
    rows[{schema::ROW_KIND_USAGE_REPORTING, "usage"}] = merged.usage().SerializeAsString();
  }
  if (merged.has_caller_limits()) {
    rows[{schema::ROW_KIND_CALLER_LIMITS, "caller_limits"}] =
        merged.caller_limits().SerializeAsString();
  }
  return rows;
}

bool IsConfigurationKind(schema::RowKind kind) noexcept {
  switch (kind) {
    case schema::ROW_KIND_FAILURE_DOMAIN:
    case schema::ROW_KIND_CUSTOMER:
    case schema::ROW_KIND_CLASS:
    case schema::ROW_KIND_MODEL:
    case schema::ROW_KIND_ROUTE:
    case schema::ROW_KIND_BACKEND_SERVER:
    case schema::ROW_KIND_CAPACITY:
    case schema::ROW_KIND_USAGE_REPORTING:
    case schema::ROW_KIND_VM:
    case schema::ROW_KIND_FORWARD_ROUTE:
    case schema::ROW_KIND_SERVICE:
    case schema::ROW_KIND_CALLER_LIMITS:
      return true;
    default:
      return false;
  }
}

std::string RowKindName(schema::RowKind kind) {
  constexpr std::size_t kPrefixLength = sizeof("ROW_KIND_") - 1;
  std::string name = schema::RowKind_Name(kind).substr(kPrefixLength);
  for (char& c : name) c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
  return name;
}

schema::Configuration MakeSingleRowConfiguration(schema::RowKind kind, const std::string& value) {
  schema::Configuration configuration;
  google::protobuf::MessageLite* row = nullptr;
  switch (kind) {
    case schema::ROW_KIND_FAILURE_DOMAIN:
      row = configuration.add_failure_domains();
      break;
    case schema::ROW_KIND_CUSTOMER:
      row = configuration.add_customers();
      break;
    case schema::ROW_KIND_CLASS:
      row = configuration.add_classes();
      break;
    case schema::ROW_KIND_MODEL:
      row = configuration.add_models();
      break;
    case schema::ROW_KIND_ROUTE:
      row = configuration.add_routes();
      break;
    case schema::ROW_KIND_BACKEND_SERVER:
      row = configuration.add_backend_servers();
      break;
    case schema::ROW_KIND_CAPACITY:
      row = configuration.mutable_capacity();
      break;
    case schema::ROW_KIND_USAGE_REPORTING:
      row = configuration.mutable_usage();
      break;
    case schema::ROW_KIND_VM:
      row = configuration.add_vms();
      break;
    case schema::ROW_KIND_FORWARD_ROUTE:
      row = configuration.add_forward_routes();
      break;
    case schema::ROW_KIND_SERVICE:
      row = configuration.add_services();
      break;
    case schema::ROW_KIND_CALLER_LIMITS:
      row = configuration.mutable_caller_limits();
      break;
    default:
      return configuration;
  }
  if (!row->ParseFromString(value)) row->Clear();
  return configuration;
}

}  // namespace briarwood::control::impl
