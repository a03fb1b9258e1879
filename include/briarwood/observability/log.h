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
/// \returns the options, or a sentence that names the value at fault.
[[nodiscard]] common::Result<LogOptions> MakeLogOptions(std::string_view format,
                                                        std::string_view level, std::string file);

/// Sets up logging of the process; a later call replaces the former set-up.
void ConfigureLog(const LogOptions& options);

/// Log of one component; every line carries the component's name. Thread-safe.
///
/// Messages are short sentences. They never hold keys, credentials, prompts or answers: log ids,
/// counts, codes and addresses only.
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
