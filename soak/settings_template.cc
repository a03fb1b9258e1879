#include "soak/settings_template.h"

#include <stdexcept>
#include <string_view>

namespace briarwood::soak {
namespace {

constexpr std::string_view kOpen = "{{";
constexpr std::string_view kClose = "}}";

void ReplaceAll(std::string& text, std::string_view what, std::string_view with) {
  for (std::size_t at = text.find(what); at != std::string::npos;
       at = text.find(what, at + with.size())) {
    text.replace(at, what.size(), with);
  }
}

std::string RenderItems(const std::string& section, const std::vector<std::string>& items) {
  std::string result;
  for (std::size_t i = 0; i < items.size(); ++i) {
    std::string item = section;
    ReplaceAll(item, "{{.}}", items[i]);
    ReplaceAll(item, "{{,}}", i + 1 < items.size() ? "," : "");
    result += item;
  }
  return result;
}

}  // namespace

std::string RenderTemplate(const std::string& text, const TemplateValues& values) {
  std::string result;
  std::size_t at = 0;
  while (true) {
    const std::size_t open = text.find(kOpen, at);
    if (open == std::string::npos) return result + text.substr(at);
    result += text.substr(at, open - at);
    const std::size_t close = text.find(kClose, open);
    if (close == std::string::npos) throw std::invalid_argument("placeholder is not closed");
    std::string name = text.substr(open + kOpen.size(), close - open - kOpen.size());
    at = close + kClose.size();
    if (name.starts_with('#')) {
      name.erase(0, 1);
      const std::string end_tag = "{{/" + name + "}}";
      const std::size_t end = text.find(end_tag, at);
      const auto items = values.lists.find(name);
      if (end == std::string::npos || items == values.lists.end()) {
        throw std::invalid_argument("no list for section " + name);
      }
      result += RenderItems(text.substr(at, end - at), items->second);
      at = end + end_tag.size();
      continue;
    }
    const auto value = values.texts.find(name);
    if (value == values.texts.end()) throw std::invalid_argument("no value for " + name);
    result += value->second;
  }
}

}  // namespace briarwood::soak
