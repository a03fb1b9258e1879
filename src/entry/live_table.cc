#include "entry/impl/live_table.h"

namespace briarwood::entry::impl {

void LiveTable::Add(const RequestPtr& request) {
  const std::lock_guard lock(mutex_);
  requests_.emplace(request->plan().id, request);
  by_key_.emplace(request->plan().key_sha256_hex, request);
}

void LiveTable::Remove(const common::RequestId& id) {
  RequestPtr removed;  // Destroyed after the lock is released.
  const std::lock_guard lock(mutex_);
  const auto found = requests_.find(id);
  if (found == requests_.end()) return;
  removed = found->second;
  requests_.erase(found);
  const auto [begin, end] = by_key_.equal_range(removed->plan().key_sha256_hex);
  for (auto it = begin; it != end; ++it) {
    if (it->second != removed) continue;
    by_key_.erase(it);
    return;
  }
}

LiveTable::RequestPtr LiveTable::Find(const common::RequestId& id) const {
  const std::lock_guard lock(mutex_);
  const auto found = requests_.find(id);
  return found == requests_.end() ? nullptr : found->second;
}

std::vector<LiveTable::RequestPtr> LiveTable::WithKey(const std::string& key_sha256_hex) const {
  const std::lock_guard lock(mutex_);
  std::vector<RequestPtr> result;
  const auto [begin, end] = by_key_.equal_range(key_sha256_hex);
  for (auto it = begin; it != end; ++it) result.push_back(it->second);
  return result;
}

std::vector<LiveTable::RequestPtr> LiveTable::All() const {
  const std::lock_guard lock(mutex_);
  std::vector<RequestPtr> result;
  result.reserve(requests_.size());
  for (const auto& [id, request] : requests_) result.push_back(request);
  return result;
}

std::size_t LiveTable::size() const {
  const std::lock_guard lock(mutex_);
  return requests_.size();
}

}  // namespace briarwood::entry::impl
