#include "briarwood/settings/configuration.h"

#include <utility>

#include "briarwood/settings/toml_reader.h"
#include "settings/impl/configuration_checks.h"
#include "settings/impl/locate.h"

namespace briarwood::settings {

common::Result<schema::Configuration, std::vector<Problem>> ReadConfiguration(
    const std::string& file_name, std::string_view text) {
  using Outcome = common::Result<schema::Configuration, std::vector<Problem>>;
  schema::Configuration configuration;
  std::vector<Problem> problems = ReadTomlInto(file_name, text, configuration);
  impl::Findings findings;
  impl::CheckRows(configuration, findings);
  impl::AppendLocated(findings, file_name, text, configuration, problems);
  if (!problems.empty()) return Outcome::Failure(std::move(problems));
  return Outcome::Success(std::move(configuration));
}

std::vector<Problem> ValidateConfiguration(const schema::Configuration& merged) {
  impl::Findings findings;
  impl::CheckRows(merged, findings);
  impl::CheckReferences(merged, findings);
  std::vector<Problem> problems;
  for (const impl::Finding& finding : findings.list()) {
    std::string key = finding.table;
    if (finding.index >= 0) key += "[" + finding.id + "]";
    problems.push_back({"", 0, key + "." + finding.field, finding.found, finding.expected});
  }
  return problems;
}

}  // namespace briarwood::settings
