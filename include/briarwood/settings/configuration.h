#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "briarwood/common/result.h"
#include "briarwood/settings/problem.h"
#include "configuration.pb.h"

namespace briarwood::settings {

/// Parses one configuration document and checks what can be checked without the other documents:
/// types, ranges, forms of addresses and duplicate ids. References are not checked, because they
/// may name rows of other documents.
/// \returns the configuration, or all problems, sorted by line.
common::Result<schema::Configuration, std::vector<Problem>> ReadConfiguration(
    const std::string& file_name, std::string_view text);

/// Validates the merge of all documents: the checks of ReadConfiguration, references between rows,
/// and the sum of the floors.
/// \returns all problems. Their keys name rows by id, such as `customers[east].default_class`.
[[nodiscard]] std::vector<Problem> ValidateConfiguration(const schema::Configuration& merged);

}  // namespace briarwood::settings
