#include "briarwood/emulator/continuous_batch.h"

#include <algorithm>

namespace briarwood::emulator {

bool ContinuousBatch::Add(Sequence sequence) {
  if (running_.contains(sequence.id) || waiting_keys_.contains(sequence.id)) return false;
  const std::size_t max_sequences = options_.capacity + options_.queue_limit;
  if (running_.size() + waiting_.size() >= max_sequences) return false;
  const QueueKey key{sequence.priority, arrivals_++};
  waiting_keys_.emplace(sequence.id, key);
  waiting_.emplace(key, std::move(sequence));
  return true;
}

bool ContinuousBatch::Cancel(const std::string& id) {
  if (running_.erase(id) != 0) return true;
  const auto key = waiting_keys_.find(id);
  if (key == waiting_keys_.end()) return false;
  waiting_.erase(key->second);
  waiting_keys_.erase(key);
  return true;
}

void ContinuousBatch::Admit() {
  while (running_.size() < options_.capacity && !waiting_.empty()) {
    auto node = waiting_.extract(waiting_.begin());
    waiting_keys_.erase(node.mapped().id);
    running_.emplace(node.mapped().id, std::move(node.mapped()));
  }
}

std::vector<EmittedToken> ContinuousBatch::Step() {
  Admit();
  std::vector<EmittedToken> tokens;
  for (auto it = running_.begin(); it != running_.end();) {
    Sequence& sequence = it->second;
    if (sequence.prefill_tokens > 0) {
      sequence.prefill_tokens -=
          std::min(sequence.prefill_tokens, options_.prefill_tokens_per_step);
      ++it;
      continue;
    }
    const std::uint64_t index = sequence.first_token++;
    const bool last = sequence.first_token >= sequence.end_token;
    tokens.push_back({.id = sequence.id, .index = index, .last = last});
    it = last ? running_.erase(it) : std::next(it);
  }
  return tokens;
}

std::vector<std::string> ContinuousBatch::Clear() {
  std::vector<std::string> ids;
  ids.reserve(running_.size() + waiting_.size());
  for (const auto& [id, sequence] : running_) ids.push_back(id);
  for (const auto& [key, sequence] : waiting_) ids.push_back(sequence.id);
  running_.clear();
  waiting_.clear();
  waiting_keys_.clear();
  return ids;
}

}  // namespace briarwood::emulator
