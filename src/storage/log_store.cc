#include "briarwood/storage/log_store.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include "storage/impl/record.h"

namespace briarwood::storage {

namespace {

constexpr std::string_view kSuffix = ".log";
constexpr std::size_t kSequenceDigits = 20;

std::optional<std::uint64_t> SequenceOf(std::string_view name) {
  if (!name.ends_with(kSuffix)) return std::nullopt;
  name.remove_suffix(kSuffix.size());
  std::uint64_t sequence = 0;
  const auto [end, error] = std::from_chars(name.data(), name.data() + name.size(), sequence);
  if (error != std::errc() || end != name.data() + name.size()) return std::nullopt;
  return sequence;
}

/// \returns true if a later record shows that the bytes at `offset` were synced.
bool WasSynced(std::string_view bytes, std::size_t offset) {
  for (std::size_t next = offset + 1; next < bytes.size(); ++next) {
    const std::optional<ParsedRecord> found = ReadRecord(bytes, next);
    schema::LogRecord record;
    if (found &&
        record.ParseFromArray(found->payload.data(), static_cast<int>(found->payload.size()))) {
      return record.synced_bytes() > offset;
    }
  }
  return false;
}

[[noreturn]] void ThrowDamaged(const std::string& path, std::size_t offset,
                               const std::string& what) {
  throw StorageError(StorageProblem::kDamaged,
                     path + " is damaged at byte " + std::to_string(offset) + ": " + what);
}

}  // namespace

common::Result<LogStore, StorageError> LogStore::Open(Files files, LogStoreOptions options) {
  using OpenResult = common::Result<LogStore, StorageError>;
  try {
    LogStore store(std::move(files), std::move(options));
    store.Load();
    return OpenResult::Success(std::move(store));
  } catch (const StorageError& error) {
    return OpenResult::Failure(error);
  }
}

LogStore::LogStore(Files files, LogStoreOptions options)
    : files_(std::move(files)), options_(std::move(options)) {}

std::string LogStore::PathOf(std::uint64_t sequence) const {
  const std::string digits = std::to_string(sequence);
  std::string path = options_.folder + "/";
  path.append(kSequenceDigits - digits.size(), '0');
  return path.append(digits).append(kSuffix);
}

void LogStore::Load() {
  files_.CreateFolder(options_.folder);
  std::vector<std::uint64_t> sequences;
  for (const std::string& name : files_.List(options_.folder)) {
    if (const std::optional<std::uint64_t> sequence = SequenceOf(name)) {
      sequences.push_back(*sequence);
    }
  }
  std::sort(sequences.begin(), sequences.end());
  for (std::size_t i = 0; i < sequences.size(); ++i) {
    if (i > 0 && sequences[i] != sequences[i - 1] + 1) {
      ThrowDamaged(PathOf(sequences[i - 1] + 1), 0, "the segment is missing");
    }
    LoadSegment(sequences[i], i + 1 == sequences.size());
  }
  last_index_ = contents_.last_index();
  contents_.hard_state = hard_state_;
  OpenSegment(sequences.empty() ? 1 : sequences.back() + 1);
}

void LogStore::LoadSegment(std::uint64_t sequence, bool last) {
  const std::string path = PathOf(sequence);
  const std::string bytes = files_.Read(path);
  segments_[sequence] = 0;
  std::size_t offset = 0;
  while (offset < bytes.size()) {
    const std::optional<ParsedRecord> found = ReadRecord(bytes, offset);
    if (!found) break;
    schema::LogRecord record;
    if (!record.ParseFromArray(found->payload.data(), static_cast<int>(found->payload.size()))) {
      ThrowDamaged(path, offset, "the record is not readable");
    }
    Replay(record, sequence);
    offset = found->end;
  }
  if (offset != bytes.size()) {
    if (!last || WasSynced(bytes, offset)) {
      ThrowDamaged(path, offset, "checksum mismatch in a synced record");
    }
    files_.Truncate(path, offset);
  }
  // The previous process may have ended between a write and its sync. What it wrote is used from
  // now on, and all later entries depend on it.
  if (last) files_.Open(path).Sync();
}

void LogStore::Replay(const schema::LogRecord& record, std::uint64_t sequence) {
  using Body = schema::LogRecord::BodyCase;
  switch (record.body_case()) {
    case Body::kEntry:
      ReplayEntry(record.entry(), sequence);
      break;
    case Body::kHardState:
      hard_state_ = record.hard_state();
      break;
    case Body::kStart:
      contents_.entries.clear();
      contents_.start_index = record.start().index();
      has_start_ = true;
      start_committed_ = true;
      segments_[sequence] = std::max(segments_[sequence], record.start().index());
      break;
    case Body::BODY_NOT_SET:
      ThrowDamaged(PathOf(sequence), 0, "a record of unknown kind");
  }
}

void LogStore::ReplayEntry(const schema::LogEntry& entry, std::uint64_t sequence) {
  // The remaining segments may begin with entries that later ones replace. If such a replacement is
  // at or before the current start, it replaces all entries loaded so far and the log starts at it.
  const bool starts = !has_start_ || (!start_committed_ && entry.index() <= contents_.start_index);
  if (starts) {
    contents_.entries.clear();
    contents_.start_index = entry.index() - 1;
    has_start_ = true;
  }
  if (entry.index() <= contents_.start_index || entry.index() > contents_.last_index() + 1) {
    ThrowDamaged(PathOf(sequence), 0,
                 "entry " + std::to_string(entry.index()) + " follows entry " +
                     std::to_string(contents_.last_index()));
  }
  contents_.entries.resize(entry.index() - contents_.start_index - 1);
  contents_.entries.push_back(entry);
  segments_[sequence] = std::max(segments_[sequence], entry.index());
}

void LogStore::OpenSegment(std::uint64_t sequence) {
  schema::LogRecord record;
  *record.mutable_hard_state() = hard_state_;
  std::string header;
  AppendRecord(header, record.SerializeAsString());
  File file = files_.Open(PathOf(sequence));
  file.Append(header);
  file.Sync();
  files_.SyncFolder(options_.folder);
  file_.emplace(std::move(file));
  active_segment_ = sequence;
  segments_[sequence] = 0;
  synced_bytes_ = header.size();
}

void LogStore::StartNextSegment() {
  const std::uint64_t next = active_segment_ + 1;
  try {
    OpenSegment(next);
  } catch (const StorageError& error) {
    if (error.problem() != StorageProblem::kDiskFull) throw;
    // A segment must be complete if a later one exists, so the new one is removed durably before
    // the active one is written again.
    const std::vector<std::string> names = files_.List(options_.folder);
    if (std::any_of(names.begin(), names.end(),
                    [next](const std::string& name) { return SequenceOf(name) == next; })) {
      files_.Remove(PathOf(next));
    }
    files_.SyncFolder(options_.folder);
  }
}

void LogStore::WriteBuffer() {
  if (std::exchange(has_partial_tail_, true)) {
    files_.Truncate(PathOf(active_segment_), synced_bytes_);
  }
  file_->Append(buffer_);
  has_partial_tail_ = false;
}

void LogStore::WriteRecord(schema::LogRecord record) {
  record.set_synced_bytes(synced_bytes_);
  AppendRecord(buffer_, record.SerializeAsString());
}

void LogStore::ThrowIfFailed() const {
  if (failed_) {
    throw StorageError(StorageProblem::kIo, "the log accepts no writes after an earlier failure");
  }
}

void LogStore::Append(const std::vector<schema::LogEntry>& entries) {
  ThrowIfFailed();
  for (const schema::LogEntry& entry : entries) {
    if (entry.index() > last_index_ + 1) {
      throw StorageError(StorageProblem::kDamaged, "entry " + std::to_string(entry.index()) +
                                                       " leaves a gap after entry " +
                                                       std::to_string(last_index_));
    }
    schema::LogRecord record;
    *record.mutable_entry() = entry;
    WriteRecord(std::move(record));
    last_index_ = entry.index();
    segments_[active_segment_] = std::max(segments_[active_segment_], entry.index());
  }
}

void LogStore::SetHardState(const schema::HardState& state) {
  ThrowIfFailed();
  hard_state_ = state;
  schema::LogRecord record;
  *record.mutable_hard_state() = state;
  WriteRecord(std::move(record));
}

void LogStore::Restart(std::uint64_t index, std::uint64_t term) {
  ThrowIfFailed();
  schema::LogRecord record;
  record.mutable_start()->set_index(index);
  record.mutable_start()->set_term(term);
  WriteRecord(std::move(record));
  last_index_ = index;
  segments_[active_segment_] = std::max(segments_[active_segment_], index);
}

void LogStore::Sync() {
  ThrowIfFailed();
  if (buffer_.empty()) return;
  try {
    WriteBuffer();
  } catch (const StorageError& error) {
    failed_ = error.problem() != StorageProblem::kDiskFull;
    throw;
  }
  try {
    file_->Sync();
    synced_bytes_ += buffer_.size();
    buffer_.clear();
    if (synced_bytes_ >= options_.segment_bytes) StartNextSegment();
  } catch (const StorageError& error) {
    failed_ = true;
    // What a failed sync has written is unknown, even if the disk is full.
    throw StorageError(StorageProblem::kIo, error.what());
  }
}

void LogStore::DeletePrefix(std::uint64_t index) {
  ThrowIfFailed();
  try {
    while (segments_.begin()->first != active_segment_ && segments_.begin()->second <= index) {
      files_.Remove(PathOf(segments_.begin()->first));
      // Synced one by one, so that a crash that keeps only some of the removals leaves no gap.
      files_.SyncFolder(options_.folder);
      segments_.erase(segments_.begin());
    }
  } catch (const StorageError&) {
    failed_ = true;
    throw;
  }
}

}  // namespace briarwood::storage
