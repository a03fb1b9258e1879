#pragma once

#include <gtest/gtest.h>

#include <cstdlib>
#include <fstream>
#include <regex>
#include <sstream>
#include <string>
#include <vector>

namespace briarwood::testing_support {

/// Transcript of a session as observed by callers and backend servers, which is compared with a
/// file in tests/golden. BRIARWOOD_UPDATE_GOLDEN=1 overwrites the files.
class GoldenSession {
 public:
  explicit GoldenSession(std::string name) : name_(std::move(name)) {}

  void Call(const std::string& title, const std::string& request, const std::string& response) {
    text_ += "=== " + title + "\n" + Prefix("> ", request) + Prefix("< ", response);
  }

  void Received(const std::string& title, const std::vector<std::string>& requests) {
    text_ += "=== " + title + " received\n";
    for (const std::string& request : requests) text_ += Prefix("| ", request);
  }

  /// Compares the transcript with its file; to be called at the end of the session.
  void Check() const {
    const std::string file_name =
        std::string(BRIARWOOD_SOURCE_DIR) + "/tests/golden/" + name_ + ".txt";
    const std::string text = Normalise(text_);
    if (std::getenv("BRIARWOOD_UPDATE_GOLDEN") != nullptr) std::ofstream(file_name) << text;
    std::ostringstream expected;
    expected << std::ifstream(file_name).rdbuf();
    EXPECT_EQ(expected.str(), text) << "session " << name_;
  }

 private:
  static std::string Prefix(const std::string& prefix, const std::string& text) {
    std::istringstream lines(text);
    std::string result;
    for (std::string line; std::getline(lines, line);) {
      if (!line.empty() && line.back() == '\r') line.pop_back();
      result += prefix + line + "\n";
    }
    return result;
  }

  // Replaces only values that differ between runs of the same program.
  static std::string Normalise(const std::string& text) {
    return std::regex_replace(text, std::regex("\"created\":[0-9]+"), "\"created\":0");
  }

  std::string name_;
  std::string text_;
};

}  // namespace briarwood::testing_support
