#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace briarwood::cli::impl {

/// Options of briarwoodctl from the command line and the settings file.
struct CtlOptions {
  bool help = false;
  bool version = false;
  bool check_settings = false;
  std::string settings_file;
  std::vector<std::string> admin;
  std::string credential_file;
  std::string ca_file;
  bool json = false;
  std::chrono::milliseconds timeout{30'000};
  std::optional<std::chrono::milliseconds> wait;

  /// Group, command and arguments, such as "key", "grant", "east".
  std::vector<std::string> words;
  std::string document;
  std::optional<std::uint64_t> document_version;
  std::string operation_id;
  std::string label;
  std::string key_sha256;
  std::string customer;
  std::string failure_domain;
  std::optional<std::uint64_t> index;
  std::optional<std::uint64_t> after_index;
  std::optional<std::uint64_t> limit;
};

/// Reads the command line and the settings file; throws CtlError.
[[nodiscard]] CtlOptions ReadOptions(const std::vector<std::string>& arguments);

/// \returns the text for --help.
[[nodiscard]] std::string HelpText();

/// \returns the content of the file; throws CtlError.
[[nodiscard]] std::string ReadFile(const std::string& file_name);

}  // namespace briarwood::cli::impl
