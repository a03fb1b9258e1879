#pragma once

#include <map>
#include <string>
#include <vector>

namespace briarwood::soak {

/// Values for the placeholders of a settings template.
struct TemplateValues {
  std::map<std::string, std::string> texts;
  std::map<std::string, std::vector<std::string>> lists;
};

/// Fills in a settings template as the platform does: {{name}}, and {{#list}}..{{/list}} with
/// {{.}} for an entry and {{,}} for a comma except after the last entry.
///
/// Throws std::invalid_argument for a placeholder without a value.
[[nodiscard]] std::string RenderTemplate(const std::string& text, const TemplateValues& values);

}  // namespace briarwood::soak
