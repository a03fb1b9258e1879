#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "briarwood/common/result.h"
#include "briarwood/settings/problem.h"
#include "settings.pb.h"

namespace briarwood::settings {

/// Parses and validates the settings of a control member.
/// \returns the settings, or all problems, sorted by line: those of the TOML reader, missing
/// required keys and malformed values. The same holds for the other functions of this header.
common::Result<schema::ControlSettings, std::vector<Problem>> ReadControlSettings(
    const std::string& file_name, std::string_view text);

/// Parses and validates the settings of an entry.
common::Result<schema::EntrySettings, std::vector<Problem>> ReadEntrySettings(
    const std::string& file_name, std::string_view text);

/// Parses and validates the settings of an agent.
common::Result<schema::AgentSettings, std::vector<Problem>> ReadAgentSettings(
    const std::string& file_name, std::string_view text);

/// Parses and validates the settings of briarwoodctl.
common::Result<schema::ClientSettings, std::vector<Problem>> ReadClientSettings(
    const std::string& file_name, std::string_view text);

}  // namespace briarwood::settings
