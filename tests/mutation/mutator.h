#pragma once

#include <string>
#include <vector>

#include "briarwood/common/random.h"

namespace briarwood::mutation {

/// Generates inputs for decoders by mutating valid ones; the same seed gives the same inputs.
class Mutator {
 public:
  /// \param samples  valid inputs, at least one
  /// \param tokens   texts with a meaning in the format, which are inserted into inputs
  Mutator(std::uint64_t seed, std::vector<std::string> samples, std::vector<std::string> tokens)
      : random_(seed), samples_(std::move(samples)), tokens_(std::move(tokens)) {}

  /// \returns a sample with 1 to 8 mutations.
  [[nodiscard]] std::string Next();

 private:
  void Change(std::string& input);
  void InsertToken(std::string& input, std::size_t at);
  void RepeatPart(std::string& input, std::size_t at);
  void InsertPartOfSample(std::string& input, std::size_t at);

  common::Random random_;
  std::vector<std::string> samples_;
  std::vector<std::string> tokens_;
};

}  // namespace briarwood::mutation
