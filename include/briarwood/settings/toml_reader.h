#pragma once

#include <google/protobuf/message.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "briarwood/common/result.h"
#include "briarwood/settings/problem.h"

namespace briarwood::settings {

/// Maximum size of a document. A larger configuration has to be split into several documents.
inline constexpr std::size_t kMaxDocumentBytes = 4U << 20U;

/// Maximum number of problems reported for one document, which bounds the memory that a malformed
/// document uses.
inline constexpr std::size_t kMaxProblems = 1000;

/// Maps the path of each key and array element to its line.
using LineMap = std::map<std::string, std::uint32_t>;

/// Fills `message` from TOML `text` by protobuf reflection. Keys are field names; enum values are
/// lower case without the prefix of the enum; repeated messages are arrays of tables.
/// \param lines  if not null, receives the lines of the keys
/// \returns all problems, sorted by line: syntax errors, unknown keys, type mismatches and numbers
/// out of range.
[[nodiscard]] std::vector<Problem> ReadTomlInto(const std::string& file_name, std::string_view text,
                                                google::protobuf::Message& message,
                                                LineMap* lines = nullptr);

/// Reads TOML `text` as a message of type `Message`; see ReadTomlInto.
/// \returns the message, or all problems.
///
/// \code
/// auto settings = ReadToml<schema::EntrySettings>("entry.toml", text);
/// \endcode
template <typename Message>
common::Result<Message, std::vector<Problem>> ReadToml(const std::string& file_name,
                                                       std::string_view text) {
  using Outcome = common::Result<Message, std::vector<Problem>>;
  Message message;
  std::vector<Problem> problems = ReadTomlInto(file_name, text, message);
  if (!problems.empty()) return Outcome::Failure(std::move(problems));
  return Outcome::Success(std::move(message));
}

}  // namespace briarwood::settings
