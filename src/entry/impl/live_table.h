#pragma once

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "entry/impl/live_request.h"

namespace briarwood::entry::impl {

/// Requests that have not ended, indexed by id and by key. Thread-safe; never calls a request while
/// it holds its lock.
class LiveTable {
 public:
  using RequestPtr = std::shared_ptr<LiveRequest>;

  void Add(const RequestPtr& request);
  void Remove(const common::RequestId& id);

  /// \returns null if the request has ended.
  [[nodiscard]] RequestPtr Find(const common::RequestId& id) const;
  [[nodiscard]] std::vector<RequestPtr> WithKey(const std::string& key_sha256_hex) const;
  [[nodiscard]] std::vector<RequestPtr> All() const;
  [[nodiscard]] std::size_t size() const;

 private:
  mutable std::mutex mutex_;
  std::map<common::RequestId, RequestPtr> requests_;
  std::multimap<std::string, RequestPtr> by_key_;
};

}  // namespace briarwood::entry::impl
