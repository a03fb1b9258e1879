#pragma once

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "briarwood/common/ids.h"
#include "briarwood/control/configuration_parser.h"
#include "control.pb.h"
#include "state.pb.h"

namespace briarwood::control {

/// Configuration documents. Each is applied as a whole, and checked against the current version.
class Documents {
 public:
  /// Accepted versions that are kept per document to recognise repeated commands. With 6,100
  /// changes a day they cover 10 days.
  static constexpr int kMaxVersions = 65536;

  /// Outcome of one command; `accepted` is false for repeated and rejected commands.
  struct Outcome {
    schema::CommandResult result;
    bool accepted = false;
  };

  explicit Documents(ConfigurationParser parser) : parser_(std::move(parser)) {}

  /// \param extra_check  returns further problems of the merged configuration, such as removed
  ///                     customers that still have keys
  Outcome Apply(const schema::ApplyConfiguration& command, common::LogIndex index,
                const std::function<Problems(const schema::Configuration&)>& extra_check);

  /// Result of parsing and checking the content of a document against the current documents.
  struct Evaluation {
    /// False when the content cannot be parsed; both configurations are empty then.
    bool readable = false;
    schema::Configuration document;
    /// All documents merged, with this one replaced.
    schema::Configuration merged;
    Problems problems;
  };

  [[nodiscard]] Evaluation Evaluate(
      const std::string& document, const std::string& content,
      const std::function<Problems(const schema::Configuration&)>& extra_check) const;

  [[nodiscard]] const ConfigurationParser& parser() const noexcept { return parser_; }
  [[nodiscard]] const schema::Configuration& merged() const noexcept { return merged_; }
  [[nodiscard]] const std::map<std::string, schema::DocumentState>& documents() const noexcept {
    return documents_;
  }
  /// \returns the current version; 0 for an unknown document.
  [[nodiscard]] std::uint64_t CurrentVersion(const std::string& document) const;
  /// \returns the current versions of all documents, by name.
  [[nodiscard]] std::map<std::string, std::uint64_t> CurrentVersions() const;

  /// \returns true if the merged configuration has become more complete than in the snapshot, which
  ///   an earlier version may have written.
  [[nodiscard]] bool Restore(const schema::ControlSnapshot& snapshot);
  void Save(schema::ControlSnapshot& snapshot) const;

 private:
  /// Takes from the document whether keys are required if the configuration does not tell it.
  /// \returns true if it does now.
  [[nodiscard]] bool CompleteKeyCheck(schema::DocumentState& state) const;
  [[nodiscard]] Problems MergeWith(const std::string& document,
                                   const schema::Configuration& configuration,
                                   schema::Configuration& merged) const;
  void Accept(const schema::ApplyConfiguration& command, const std::string& digest,
              common::LogIndex index, Evaluation evaluation);

  ConfigurationParser parser_;
  std::map<std::string, schema::DocumentState> documents_;
  schema::Configuration merged_;
};

}  // namespace briarwood::control
