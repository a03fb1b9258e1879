#include "briarwood/settings/problem.h"

namespace briarwood::settings {

std::string Problem::ToString() const {
  std::string text;
  if (!file.empty()) {
    text += file;
    if (line != 0) text += ":" + std::to_string(line);
    text += ": ";
  }
  if (!key.empty()) text += key + ": ";
  return text + "found " + found + ", expected " + expected;
}

std::string ToString(const std::vector<Problem>& problems) {
  std::string text;
  for (const Problem& problem : problems) {
    if (!text.empty()) text += "\n";
    text += problem.ToString();
  }
  return text;
}

}  // namespace briarwood::settings
