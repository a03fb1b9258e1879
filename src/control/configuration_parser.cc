#include "briarwood/control/configuration_parser.h"

#include "briarwood/settings/settings.h"

namespace briarwood::control {
namespace {

Problems ToLines(const std::vector<settings::Problem>& problems) {
  Problems lines;
  for (const settings::Problem& problem : problems) lines.push_back(problem.ToString());
  return lines;
}

}  // namespace

ConfigurationParser SettingsParser() {
  ConfigurationParser parser;
  parser.parse = [](const std::string& document, const std::string& content) {
    using ParseResult = common::Result<schema::Configuration, Problems>;
    auto configuration = settings::ReadConfiguration(document, content);
    if (!configuration.ok()) return ParseResult::Failure(ToLines(configuration.error()));
    return ParseResult::Success(std::move(configuration).value());
  };
  parser.validate = [](const schema::Configuration& merged) {
    return ToLines(settings::ValidateConfiguration(merged));
  };
  return parser;
}

}  // namespace briarwood::control
