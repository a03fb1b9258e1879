#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "briarwood/common/digest.h"
#include "control.pb.h"
#include "state.pb.h"

namespace briarwood::control {

/// Software version at which each stream began that its caller may still take up. A stream may go
/// on only at that version, also after all entries have ended. Records never change: the first one
/// of a key counts.
class StreamVersionTable {
 public:
  /// Bounds the memory that callers can use; further streams are not recorded.
  static constexpr std::size_t kDefaultMaxStreams = 1'000'000;
  static constexpr std::uint64_t kMaxLifetimeMs = 600'000;

  explicit StreamVersionTable(std::size_t max_streams = kDefaultMaxStreams)
      : max_streams_(max_streams) {}
  // Streams refer to their origins, which a move keeps valid and a copy would not.
  StreamVersionTable(StreamVersionTable&&) = default;
  StreamVersionTable& operator=(StreamVersionTable&&) = default;
  StreamVersionTable(const StreamVersionTable&) = delete;
  StreamVersionTable& operator=(const StreamVersionTable&) = delete;
  ~StreamVersionTable() = default;

  void Record(const schema::StreamStarts& starts, std::uint64_t now_unix_ms);
  [[nodiscard]] schema::StreamLookupResult LookUp(const schema::StreamLookup& lookup) const;
  void Expire(std::uint64_t now_unix_ms);

  [[nodiscard]] std::size_t size() const noexcept { return streams_.size(); }

  [[nodiscard]] schema::StreamVersionTableState Save() const;
  void Restore(const schema::StreamVersionTableState& state);

 private:
  /// Service and software version.
  using Origin = std::pair<std::string, std::string>;
  /// Number of streams that began at each origin.
  using Origins = std::map<Origin, std::size_t>;
  struct Stream {
    Origins::iterator origin;
    std::uint64_t expires_unix_ms = 0;
  };

  void Add(const common::Digest128& key, const Origin& origin, std::uint64_t expires_unix_ms);

  std::size_t max_streams_;
  Origins origins_;
  std::map<common::Digest128, Stream> streams_;
  std::set<std::pair<std::uint64_t, common::Digest128>> expiries_;
};

}  // namespace briarwood::control
