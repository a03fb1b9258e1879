#include "mutation/mutator.h"

namespace briarwood::mutation {
namespace {

constexpr std::uint64_t kMaxChanges = 8;
constexpr std::size_t kMaxPartBytes = 200;
constexpr std::uint64_t kMaxRepetitions = 100;

}  // namespace

std::string Mutator::Next() {
  std::string input = samples_[random_.Below(samples_.size())];
  const std::uint64_t changes = 1 + random_.Below(kMaxChanges);
  for (std::uint64_t i = 0; i < changes; ++i) Change(input);
  return input;
}

void Mutator::Change(std::string& input) {
  const std::size_t at = random_.Below(input.size() + 1);
  switch (random_.Below(7)) {
    case 0:
      if (at < input.size()) input[at] = static_cast<char>(input[at] ^ (1 << random_.Below(8)));
      return;
    case 1:
      if (at < input.size()) input[at] = static_cast<char>(random_.Below(256));
      return;
    case 2:
      input.erase(at, random_.Below(kMaxPartBytes));
      return;
    case 3:
      input.resize(at);
      return;
    case 4:
      return InsertToken(input, at);
    case 5:
      return RepeatPart(input, at);
    default:
      return InsertPartOfSample(input, at);
  }
}

void Mutator::InsertToken(std::string& input, std::size_t at) {
  if (!tokens_.empty()) input.insert(at, tokens_[random_.Below(tokens_.size())]);
}

void Mutator::RepeatPart(std::string& input, std::size_t at) {
  const std::string part = input.substr(at, 1 + random_.Below(kMaxPartBytes));
  std::string repeated;
  for (std::uint64_t i = random_.Below(kMaxRepetitions); i > 0; --i) repeated += part;
  input.insert(at, repeated);
}

void Mutator::InsertPartOfSample(std::string& input, std::size_t at) {
  const std::string& sample = samples_[random_.Below(samples_.size())];
  input.insert(at, sample.substr(random_.Below(sample.size() + 1), random_.Below(kMaxPartBytes)));
}

}  // namespace briarwood::mutation
