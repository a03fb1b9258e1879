#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include "consensus.pb.h"

namespace briarwood::consensus {

/// Log entries kept in memory. Entries up to and including the base index are compacted away.
class RaftLog {
 public:
  RaftLog(std::uint64_t base_index, std::uint64_t base_term)
      : base_index_(base_index), base_term_(base_term) {}

  [[nodiscard]] std::uint64_t base_index() const noexcept { return base_index_; }
  [[nodiscard]] std::uint64_t last_index() const noexcept { return base_index_ + entries_.size(); }
  [[nodiscard]] std::uint64_t last_term() const noexcept {
    return entries_.empty() ? base_term_ : entries_.back().term();
  }

  /// \returns the term, or nothing if the index is below the base or after the end.
  [[nodiscard]] std::optional<std::uint64_t> TermAt(std::uint64_t index) const noexcept;

  /// \param index  must be after the base and not after the end
  [[nodiscard]] const schema::LogEntry& At(std::uint64_t index) const {
    return entries_[index - base_index_ - 1];
  }

  /// \returns the entries in [first, last], cut after the one that reaches `max_bytes`; at least
  /// one unless the range is empty.
  [[nodiscard]] std::vector<schema::LogEntry> Slice(std::uint64_t first, std::uint64_t last,
                                                    std::size_t max_bytes) const;

  void Append(schema::LogEntry entry);
  void TruncateFrom(std::uint64_t index);
  /// Moves the base to `index`, which must be in the log.
  void DropThrough(std::uint64_t index);
  void Reset(std::uint64_t base_index, std::uint64_t base_term);

  /// \returns the last index whose entry has an earlier term than the entry at `index`, or the base
  /// index if there is none. A follower whose entry at `index` conflicts with the leader's sends it
  /// as the hint from which the leader continues.
  [[nodiscard]] std::uint64_t LastIndexOfEarlierTerm(std::uint64_t index) const noexcept;

 private:
  std::uint64_t base_index_;
  std::uint64_t base_term_;
  std::deque<schema::LogEntry> entries_;
};

}  // namespace briarwood::consensus
