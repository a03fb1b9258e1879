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

/// Renders a settings template as the platform does. Supports {{name}} and {{#list}}..{{/list}};
/// within a list, {{.}} is the item and {{,}} is a comma except after the last item.
///
/// Throws std::invalid_argument for a placeholder without a value or without an end.
[[nodiscard]] std::string RenderTemplate(const std::string& text, const TemplateValues& values);

}  // namespace briarwood::soak
