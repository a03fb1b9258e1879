#include "briarwood/observability/log.h"

#include <log4cxx/asyncappender.h>
#include <log4cxx/basicconfigurator.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/fileappender.h>
#include <log4cxx/helpers/transcoder.h>
#include <log4cxx/jsonlayout.h>
#include <log4cxx/level.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>

#include <utility>

namespace briarwood::observability {
namespace {

constexpr const char* kRootName = "briarwood";
// Time, level, component and message.
constexpr const char* kTextPattern = "%d{yyyy-MM-dd HH:mm:ss.SSSZ} %-5p %c{1}: %m%n";

log4cxx::LogString ToLogString(const std::string& text) {
  LOG4CXX_DECODE_CHAR(decoded, text);
  return decoded;
}

log4cxx::LevelPtr ToLevel(LogLevel level) {
  switch (level) {
    case LogLevel::kDebug:
      return log4cxx::Level::getDebug();
    case LogLevel::kInfo:
      return log4cxx::Level::getInfo();
    case LogLevel::kWarn:
      return log4cxx::Level::getWarn();
    case LogLevel::kError:
      break;
  }
  return log4cxx::Level::getError();
}

log4cxx::LayoutPtr MakeLayout(LogFormat format) {
  if (format == LogFormat::kJson) return std::make_shared<log4cxx::JSONLayout>();
  return std::make_shared<log4cxx::PatternLayout>(ToLogString(kTextPattern));
}

/// Maximum number of lines that wait for a slow reader of the output; 0.4 MB at 200 bytes each.
constexpr int kMaxQueuedLines = 2048;

/// Writes on a separate thread, so that no other thread waits for the reader of the output.
log4cxx::AppenderPtr MakeConsoleAppender(const log4cxx::LayoutPtr& layout,
                                         const log4cxx::LogString& target) {
  auto console = std::make_shared<log4cxx::ConsoleAppender>(layout, target);
  auto queue = std::make_shared<log4cxx::AsyncAppender>();
  queue->setBufferSize(kMaxQueuedLines);
  queue->setBlocking(false);
  queue->addAppender(console);
  return queue;
}

log4cxx::AppenderPtr MakeAppender(const LogOptions& options) {
  log4cxx::LayoutPtr layout = MakeLayout(options.format);
  if (options.file == "-") {
    return MakeConsoleAppender(layout, log4cxx::ConsoleAppender::getSystemOut());
  }
  if (options.file.empty()) {
    return MakeConsoleAppender(layout, log4cxx::ConsoleAppender::getSystemErr());
  }
  return std::make_shared<log4cxx::FileAppender>(layout, ToLogString(options.file), true);
}

}  // namespace

common::Result<LogOptions> MakeLogOptions(std::string_view format, std::string_view level,
                                          std::string file) {
  using OptionsResult = common::Result<LogOptions>;
  LogOptions options{.file = std::move(file)};
  if (format == "json") {
    options.format = LogFormat::kJson;
  } else if (!format.empty() && format != "text") {
    return OptionsResult::Failure("log.format: found \"" + std::string(format) +
                                  "\", expected \"json\" or \"text\"");
  }
  constexpr std::pair<std::string_view, LogLevel> kLevels[] = {{"", LogLevel::kInfo},
                                                               {"debug", LogLevel::kDebug},
                                                               {"info", LogLevel::kInfo},
                                                               {"warn", LogLevel::kWarn},
                                                               {"error", LogLevel::kError}};
  for (const auto& [name, value] : kLevels) {
    if (name != level) continue;
    options.level = value;
    return OptionsResult::Success(std::move(options));
  }
  return OptionsResult::Failure("log.level: found \"" + std::string(level) +
                                "\", expected \"debug\", \"info\", \"warn\" or \"error\"");
}

void ConfigureLog(const LogOptions& options) {
  const log4cxx::LoggerPtr root = log4cxx::Logger::getLogger(kRootName);
  root->removeAllAppenders();
  root->setAdditivity(false);
  root->setLevel(ToLevel(options.level));
  root->addAppender(MakeAppender(options));
}

struct Logger::Impl {
  void Write(const log4cxx::LevelPtr& level, const std::string& message) const {
    if (logger->isEnabledFor(level)) logger->forcedLog(level, message);
  }

  log4cxx::LoggerPtr logger;
};

Logger::Logger(const std::string& component) : impl_(std::make_unique<Impl>()) {
  impl_->logger = log4cxx::Logger::getLogger(std::string(kRootName) + "." + component);
}

Logger::~Logger() = default;

void Logger::Debug(const std::string& message) const {
  impl_->Write(log4cxx::Level::getDebug(), message);
}

void Logger::Info(const std::string& message) const {
  impl_->Write(log4cxx::Level::getInfo(), message);
}

void Logger::Warn(const std::string& message) const {
  impl_->Write(log4cxx::Level::getWarn(), message);
}

void Logger::Error(const std::string& message) const {
  impl_->Write(log4cxx::Level::getError(), message);
}

}  // namespace briarwood::observability
