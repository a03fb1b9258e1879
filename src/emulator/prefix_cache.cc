#include "briarwood/emulator/prefix_cache.h"

#include "briarwood/common/digest.h"

namespace briarwood::emulator {
namespace {

/// Further events displace the oldest, since engines keep a bounded history.
constexpr std::size_t kMaxLoggedEvents = 10'000;

}  // namespace

std::vector<std::uint64_t> PrefixCache::Blocks(std::string_view prompt) const {
  std::vector<std::uint64_t> blocks;
  std::uint64_t words = 0;
  for (std::size_t i = 0; i < prompt.size(); ++i) {
    const bool word_ends = prompt[i] != ' ' && (i + 1 == prompt.size() || prompt[i + 1] == ' ');
    if (!word_ends || ++words % options_.block_tokens != 0) continue;
    blocks.push_back(common::Hash64(prompt.substr(0, i + 1)));
  }
  return blocks;
}

std::uint64_t PrefixCache::Use(std::string_view prompt, common::Time now) {
  std::uint64_t cached = 0;
  bool prefix_cached = true;
  for (const std::uint64_t block : Blocks(prompt)) {
    const auto found = blocks_.find(block);
    if (found != blocks_.end()) {
      lru_order_.splice(lru_order_.begin(), lru_order_, found->second);
      if (prefix_cached) cached += options_.block_tokens;
      continue;
    }
    prefix_cached = false;
    lru_order_.push_front(block);
    blocks_[block] = lru_order_.begin();
    Log(true, block, now);
    if (blocks_.size() <= options_.capacity_blocks) continue;
    Log(false, lru_order_.back(), now);
    blocks_.erase(lru_order_.back());
    lru_order_.pop_back();
  }
  return cached;
}

void PrefixCache::Log(bool stored, std::uint64_t block, common::Time now) {
  const std::uint64_t sequence = next_sequence_++;
  if (random_.Chance(options_.event_loss)) return;
  log_.push_back({.event = {.sequence = sequence, .stored = stored, .block = block},
                  .visible_at = now + options_.event_lag});
  if (log_.size() > kMaxLoggedEvents) log_.pop_front();
}

std::vector<CacheEvent> PrefixCache::EventsSince(std::uint64_t since, std::size_t limit,
                                                 common::Time now) const {
  std::vector<CacheEvent> events;
  for (const LoggedEvent& logged : log_) {
    if (events.size() >= limit || logged.visible_at > now) break;
    if (logged.event.sequence > since) events.push_back(logged.event);
  }
  return events;
}

}  // namespace briarwood::emulator
