#include "briarwood/requests/line_splitter.h"

namespace briarwood::requests {

std::vector<std::string> LineSplitter::Feed(std::string_view data) {
  std::vector<std::string> lines;
  if (overflowed_) return lines;
  std::size_t end = data.find('\n');
  while (end != std::string_view::npos) {
    incomplete_line_ += data.substr(0, end);
    if (!incomplete_line_.empty() && incomplete_line_.back() == '\r') incomplete_line_.pop_back();
    lines.push_back(std::move(incomplete_line_));
    incomplete_line_.clear();
    data.remove_prefix(end + 1);
    end = data.find('\n');
  }
  incomplete_line_ += data;
  if (incomplete_line_.size() > kMaxLineBytes) {
    overflowed_ = true;
    incomplete_line_.clear();
  }
  return lines;
}

}  // namespace briarwood::requests
