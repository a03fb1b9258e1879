#include "settings/impl/locate.h"

#include <algorithm>
#include <memory>
#include <set>

#include "briarwood/settings/toml_reader.h"

namespace briarwood::settings::impl {
namespace {

std::string Path(const Finding& finding) {
  std::string path = finding.table;
  if (finding.index >= 0) path += "[" + std::to_string(finding.index) + "]";
  if (path.empty()) return finding.field;
  return finding.field.empty() ? path : path + "." + finding.field;
}

/// \returns the line of the key, or of the innermost enclosing table if the key is missing.
std::uint32_t LineOf(std::string path, const LineMap& lines) {
  while (!path.empty()) {
    const auto found = lines.find(path);
    if (found != lines.end()) return found->second;
    const std::size_t dot = path.rfind('.');
    path.resize(dot == std::string::npos ? 0 : dot);
  }
  return 1;
}

}  // namespace

void AppendLocated(const Findings& findings, const std::string& file_name, std::string_view text,
                   const google::protobuf::Message& prototype, std::vector<Problem>& problems) {
  if (findings.list().empty()) return;
  LineMap lines;
  const std::unique_ptr<google::protobuf::Message> scratch(prototype.New());
  static_cast<void>(ReadTomlInto(file_name, text, *scratch, &lines));
  std::set<std::string> reported_keys;
  for (const Problem& problem : problems) reported_keys.insert(problem.key);
  // If the document could not be parsed, its message is empty and the findings only follow from
  // that.
  if (!problems.empty() && lines.empty()) return;
  for (const Finding& finding : findings.list()) {
    std::string path = Path(finding);
    if (reported_keys.contains(path)) continue;
    if (problems.size() >= kMaxProblems) break;
    const std::uint32_t line = LineOf(path, lines);
    problems.push_back({file_name, line, std::move(path), finding.found, finding.expected});
  }
  std::stable_sort(problems.begin(), problems.end(),
                   [](const Problem& a, const Problem& b) { return a.line < b.line; });
}

}  // namespace briarwood::settings::impl
