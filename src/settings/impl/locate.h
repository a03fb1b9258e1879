#pragma once

#include <google/protobuf/message.h>

#include <string>
#include <string_view>
#include <vector>

#include "briarwood/settings/problem.h"
#include "settings/impl/findings.h"

namespace briarwood::settings::impl {

/// Adds the findings with their lines to `problems` and sorts `problems` by line. Omits findings
/// about keys that `problems` already contains, because the values of those keys were not read.
/// \param text       document that the findings are about. It is parsed again for the lines,
///                   because recording them on every read would take half of the time of reading
///                   a valid document.
/// \param prototype  instance of the message type of the document
void AppendLocated(const Findings& findings, const std::string& file_name, std::string_view text,
                   const google::protobuf::Message& prototype, std::vector<Problem>& problems);

}  // namespace briarwood::settings::impl
