#pragma once

#include <google/protobuf/text_format.h>

#include <set>
#include <string>

#include "briarwood/common/digest.h"
#include "briarwood/control/control_state.h"

namespace briarwood::control::testing_support {

/// \returns a parser of documents in protobuf text format, so that the tests do not depend on TOML.
inline ConfigurationParser TextParser() {
  ConfigurationParser parser;
  parser.parse = [](const std::string& document, const std::string& content) {
    using ParseResult = common::Result<schema::Configuration, Problems>;
    schema::Configuration configuration;
    if (!google::protobuf::TextFormat::ParseFromString(content, &configuration)) {
      return ParseResult::Failure({document + ": not in protobuf text format"});
    }
    return ParseResult::Success(std::move(configuration));
  };
  parser.validate = [](const schema::Configuration& merged) {
    Problems problems;
    std::set<std::string> seen;
    for (const schema::Customer& customer : merged.customers()) {
      if (!seen.insert(customer.id()).second) problems.push_back("duplicate " + customer.id());
    }
    return problems;
  };
  return parser;
}

inline std::string CustomerText(const std::string& id, std::uint64_t limit = 0) {
  return "customers { id: \"" + id + "\" requests_per_minute: " + std::to_string(limit) + " } ";
}

inline schema::Command Apply(const std::string& document, std::uint64_t version,
                             const std::string& content) {
  schema::Command command;
  schema::ApplyConfiguration& apply = *command.mutable_apply_configuration();
  apply.set_document(document);
  apply.set_version(version);
  apply.set_content(content);
  apply.set_operator_name("ann");
  return command;
}

inline schema::Command Grant(const std::string& operation, const std::string& customer,
                             const std::string& key) {
  schema::Command command;
  schema::GrantKey& grant = *command.mutable_grant_key();
  grant.set_operation_id(operation);
  grant.set_customer(customer);
  grant.set_key_sha256(common::Sha256(key));
  return command;
}

inline schema::Command Withdraw(const std::string& operation, const std::string& key) {
  schema::Command command;
  command.mutable_withdraw_key()->set_operation_id(operation);
  command.mutable_withdraw_key()->set_key_sha256(common::Sha256(key));
  return command;
}

/// Control state with a log whose index increases by one per command.
class Log {
 public:
  schema::CommandResult Apply(const schema::Command& command) {
    return state_.Apply(common::LogIndex(++index_), command);
  }

  /// Replaces the state by one that is restored from its snapshot.
  void RestoreFromSnapshot() {
    state_ = ControlState::Restore(state_.Serialize(), TextParser()).value();
  }

  [[nodiscard]] const ControlState& state() const { return state_; }

 private:
  std::uint64_t index_ = 0;
  ControlState state_{TextParser()};
};

}  // namespace briarwood::control::testing_support
