#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <list>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "briarwood/common/random.h"
#include "briarwood/common/time.h"

namespace briarwood::emulator {

struct PrefixCacheOptions {
  /// Maximum number of cached blocks.
  std::size_t capacity_blocks = 1024;
  /// Tokens (words) per block.
  std::uint64_t block_tokens = 16;
  /// Delay until an event is published.
  common::Duration event_lag{};
  /// Probability that an event is never published; its sequence number is then missing.
  double event_loss = 0;
  std::uint64_t seed = 1;
};

struct CacheEvent {
  std::uint64_t sequence = 0;
  /// False if the block was removed.
  bool stored = true;
  /// Hash of the prompt up to the end of the block.
  std::uint64_t block = 0;
};

/// Cache of prompt prefixes with least-recently-used eviction and a log of its changes.
class PrefixCache {
 public:
  explicit PrefixCache(const PrefixCacheOptions& options)
      : options_(options), random_(options.seed) {}

  /// Adds the blocks of the prompt. \returns the number of its leading tokens that were cached
  /// already.
  std::uint64_t Use(std::string_view prompt, common::Time now);

  /// \returns at most `limit` published events with a sequence number above `since`.
  [[nodiscard]] std::vector<CacheEvent> EventsSince(std::uint64_t since, std::size_t limit,
                                                    common::Time now) const;

 private:
  struct LoggedEvent {
    CacheEvent event;
    common::Time visible_at;
  };

  [[nodiscard]] std::vector<std::uint64_t> Blocks(std::string_view prompt) const;
  void Log(bool stored, std::uint64_t block, common::Time now);

  PrefixCacheOptions options_;
  common::Random random_;
  std::uint64_t next_sequence_ = 1;
  /// Hashes of the cached blocks, most recently used first.
  std::list<std::uint64_t> lru_order_;
  std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> blocks_;
  std::deque<LoggedEvent> log_;
};

}  // namespace briarwood::emulator
