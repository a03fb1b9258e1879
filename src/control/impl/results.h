#pragma once

#include <string>
#include <vector>

#include "briarwood/common/ids.h"
#include "control.pb.h"

namespace briarwood::control::impl {

[[nodiscard]] inline schema::CommandResult MakeResult(schema::ResultCode code,
                                                      common::LogIndex index,
                                                      const std::string& message = {}) {
  schema::CommandResult result;
  result.set_code(code);
  result.set_index(index.value());
  result.set_message(message);
  return result;
}

[[nodiscard]] inline schema::CommandResult Ok(common::LogIndex index) {
  return MakeResult(schema::RESULT_CODE_OK, index);
}

[[nodiscard]] inline std::string JoinLines(const std::vector<std::string>& lines) {
  std::string text;
  for (const std::string& line : lines) text += (text.empty() ? "" : "\n") + line;
  return text;
}

}  // namespace briarwood::control::impl
