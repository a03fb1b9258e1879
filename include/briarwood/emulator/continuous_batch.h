#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace briarwood::emulator {

struct BatchOptions {
  /// Maximum number of running sequences.
  std::size_t capacity = 32;
  /// Maximum number of waiting sequences; further ones are rejected.
  std::size_t queue_limit = 256;
  /// Prompt tokens that one step processes per sequence.
  std::uint64_t prefill_tokens_per_step = 512;
};

struct Sequence {
  std::string id;
  /// Lower values are served first.
  std::uint32_t priority = 0;
  /// Prompt tokens that are not in the prefix cache.
  std::uint64_t prefill_tokens = 0;
  std::uint64_t first_token = 0;
  /// One past the last token.
  std::uint64_t end_token = 0;
};

struct EmittedToken {
  std::string id;
  std::uint64_t index = 0;
  bool last = false;
};

/// Continuous batching as a pure state machine. Each step first fills free slots from the queue, by
/// priority and then by arrival, and then generates one token for every running sequence whose
/// prompt has been processed.
class ContinuousBatch {
 public:
  explicit ContinuousBatch(const BatchOptions& options) : options_(options) {}

  /// \returns false if the batch and the queue are full or the id is in use.
  [[nodiscard]] bool Add(Sequence sequence);

  /// \returns false if the id is neither running nor waiting.
  bool Cancel(const std::string& id);

  [[nodiscard]] std::vector<EmittedToken> Step();

  /// Removes all sequences. \returns their ids.
  [[nodiscard]] std::vector<std::string> Clear();

  [[nodiscard]] std::size_t running() const noexcept { return running_.size(); }
  [[nodiscard]] std::size_t waiting() const noexcept { return waiting_.size(); }
  [[nodiscard]] bool idle() const noexcept { return running_.empty() && waiting_.empty(); }

 private:
  /// Priority, then order of arrival.
  using QueueKey = std::pair<std::uint32_t, std::uint64_t>;

  void Admit();

  BatchOptions options_;
  std::uint64_t arrivals_ = 0;
  std::map<QueueKey, Sequence> waiting_;
  std::map<std::string, QueueKey> waiting_keys_;
  std::map<std::string, Sequence> running_;
};

}  // namespace briarwood::emulator
