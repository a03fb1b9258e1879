#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "briarwood/common/result.h"
#include "briarwood/storage/error.h"
#include "briarwood/storage/files.h"
#include "consensus.pb.h"

namespace briarwood::storage {

struct LogStoreOptions {
  std::string folder;
  /// A segment is closed once it has reached this size.
  std::uint64_t segment_bytes = std::uint64_t{8} * 1024 * 1024;
};

/// Contents of a log.
struct LogContents {
  schema::HardState hard_state;
  /// Index before the first entry.
  std::uint64_t start_index = 0;
  std::vector<schema::LogEntry> entries;

  [[nodiscard]] std::uint64_t last_index() const noexcept { return start_index + entries.size(); }
};

/// Durable log of entries and the hard state, in segments.
///
/// A segment is a sequence of records: length (4 bytes), xxh3-64 checksum (8 bytes), serialised
/// LogRecord; numbers are little-endian. Writes are buffered until Sync, which writes and syncs
/// them as one batch. An invalid tail of the last segment is an unsynced write and is truncated;
/// damage anywhere else is an error. Each segment starts with the hard state, so that older
/// segments can be deleted. Not thread-safe.
class LogStore {
 public:
  /// Loads the log, makes it durable as loaded and opens a new segment.
  static common::Result<LogStore, StorageError> Open(Files files, LogStoreOptions options);

  /// \returns the contents that Open loaded; may be called only once.
  [[nodiscard]] LogContents TakeContents() { return std::move(contents_); }

  /// Replaces all entries from the index of the first one on. Throws StorageError if an entry would
  /// leave a gap.
  void Append(const std::vector<schema::LogEntry>& entries);
  void SetHardState(const schema::HardState& state);
  /// Discards all entries; the next one must have index + 1.
  void Restart(std::uint64_t index, std::uint64_t term);
  /// Makes all preceding writes durable. If the disk is full, the writes are kept and the call can
  /// be repeated; after any other failure every further call throws StorageError.
  void Sync();
  /// Deletes old segments that contain no entry after `index`.
  void DeletePrefix(std::uint64_t index);

  [[nodiscard]] std::uint64_t last_index() const noexcept { return last_index_; }
  [[nodiscard]] std::size_t segment_count() const noexcept { return segments_.size(); }

 private:
  LogStore(Files files, LogStoreOptions options);

  void Load();
  void LoadSegment(std::uint64_t sequence, bool last);
  void Replay(const schema::LogRecord& record, std::uint64_t sequence);
  void ReplayEntry(const schema::LogEntry& entry, std::uint64_t sequence);
  void OpenSegment(std::uint64_t sequence);
  /// Begins the next segment, or goes on with the active one while the disk is full.
  void StartNextSegment();
  void WriteBuffer();
  void WriteRecord(schema::LogRecord record);
  void ThrowIfFailed() const;
  [[nodiscard]] std::string PathOf(std::uint64_t sequence) const;

  Files files_;
  LogStoreOptions options_;
  LogContents contents_;
  bool has_start_ = false;
  /// The start was set by Restart, so all entries up to it are committed.
  bool start_committed_ = false;
  schema::HardState hard_state_;
  std::uint64_t last_index_ = 0;
  /// Highest index recorded in each segment, by segment sequence number.
  std::map<std::uint64_t, std::uint64_t> segments_;
  std::uint64_t active_segment_ = 0;
  std::optional<File> file_;
  std::uint64_t synced_bytes_ = 0;
  std::string buffer_;
  /// The active segment may end with a part of the buffer, which did not fit on the disk.
  bool has_partial_tail_ = false;
  bool failed_ = false;
};

}  // namespace briarwood::storage
