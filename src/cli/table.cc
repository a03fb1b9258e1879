#include "cli/impl/table.h"

#include <algorithm>
#include <ctime>

namespace briarwood::cli::impl {

std::string Table::ToString() const {
  std::vector<std::size_t> widths(rows_.front().size(), 1);
  for (const auto& row : rows_) {
    for (std::size_t i = 0; i < row.size(); ++i) widths[i] = std::max(widths[i], row[i].size());
  }
  std::string text;
  for (const auto& row : rows_) {
    std::string line;
    for (std::size_t i = 0; i < row.size(); ++i) {
      const std::string cell = row[i].empty() ? "-" : row[i];
      line += cell;
      if (i + 1 < row.size()) line += std::string(widths[i] - cell.size() + 2, ' ');
    }
    text += line + "\n";
  }
  return text;
}

std::string FormatTime(std::uint64_t unix_ms) {
  constexpr std::uint64_t kMillisPerSecond = 1000;
  if (unix_ms == 0) return "-";
  const auto seconds = static_cast<std::time_t>(unix_ms / kMillisPerSecond);
  std::tm parts{};
  gmtime_r(&seconds, &parts);
  char text[32];
  const std::size_t size = std::strftime(text, sizeof text, "%Y-%m-%dT%H:%M:%SZ", &parts);
  return {text, size};
}

}  // namespace briarwood::cli::impl
