#include "briarwood/observability/log.h"

#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <sstream>

namespace briarwood::observability {
namespace {

// Guards against lines without a component name or below the configured level.
TEST(LogTest, WritesComponentAndRespectsLevel) {
  for (const char* format : {"json", "text"}) {
    const std::string file = testing::TempDir() + "briarwood_log_test_" + format;
    std::filesystem::remove(file);
    ConfigureLog(MakeLogOptions(format, "warn", file).value());
    const Logger logger("entry");
    logger.Info("Not written.");
    logger.Warn("Control member is unreachable.");
    std::stringstream text;
    text << std::ifstream(file).rdbuf();
    EXPECT_NE(text.str().find("entry"), std::string::npos) << text.str();
    EXPECT_NE(text.str().find("unreachable"), std::string::npos) << text.str();
    EXPECT_EQ(text.str().find("Not written"), std::string::npos) << text.str();
    std::filesystem::remove(file);
  }
  ConfigureLog({});
}

// Guards against a misspelt setting that is silently accepted.
TEST(LogTest, RejectsUnknownSettings) {
  EXPECT_FALSE(MakeLogOptions("xml", "", "").ok());
  EXPECT_FALSE(MakeLogOptions("", "loud", "").ok());
}

}  // namespace
}  // namespace briarwood::observability
