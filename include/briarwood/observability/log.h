#pragma once

#include <memory>
#include <string>
#include <string_view>

#include "briarwood/common/result.h"

namespace briarwood::observability {

enum class LogFormat : unsigned char { kText, kJson };
enum class LogLevel : unsigned char { kDebug, kInfo, kWarn, kError };

struct LogOptions {
  LogFormat format = LogFormat::kText;
  LogLevel level = LogLevel::kInfo;
  /// Empty means standard error, "-" standard output.
  std::string file;
};

/// \param format  "json", "text" or empty for text
/// \param level   "debug", "info", "warn", "error" or empty for info
/// \returns the options, or an error that names the invalid value.
[[nodiscard]] common::Result<LogOptions> MakeLogOptions(std::string_view format,
                                                        std::string_view level, std::string file);

/// Configures logging of the process; a later call replaces the previous configuration.
void ConfigureLog(const LogOptions& options);

/// Logger of one component; every line contains the name of the component. Thread-safe.
///
/// Messages are short sentences. They must not contain keys, credentials, prompts or responses, but
/// only ids, counts, codes and addresses.
class Logger {
 public:
  explicit Logger(const std::string& component);
  ~Logger();
  Logger(const Logger&) = delete;
  Logger& operator=(const Logger&) = delete;

  void Debug(const std::string& message) const;
  void Info(const std::string& message) const;
  void Warn(const std::string& message) const;
  void Error(const std::string& message) const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace briarwood::observability
