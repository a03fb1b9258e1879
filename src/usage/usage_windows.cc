#include "briarwood/usage/usage_windows.h"

#include <algorithm>
#include <iterator>
#include <tuple>

#include "briarwood/common/digest.h"
#include "usage/impl/report.h"

namespace briarwood::usage {
namespace {

// Time from an entry's death to the retirement of its incarnation. Within it, an agent that was
// disconnected can still commit the records that it holds for the entry.
constexpr std::uint64_t kRetirementMs = std::uint64_t{24} * 60 * 60 * 1000;
// Reported windows whose usage lines are kept for operators. With 1,300 customers a window takes
// about 250 KB.
constexpr std::size_t kMaxReportedWindows = 60;
// Acknowledgements and report digests: 30 days of windows of 60 s.
constexpr std::size_t kMaxAcknowledgements = 43'200;
// Retired incarnations: 30 days of 360 restarts a day.
constexpr std::size_t kMaxRetiredIncarnations = 10'800;

auto LineKey(const schema::UsageLine& line) {
  return std::tie(line.customer(), line.class_(), line.model());
}

schema::UsageLine& FindOrAddLine(schema::UsageWindow& window, const schema::BillingRecord& record) {
  schema::UsageLine key;
  key.set_customer(record.customer());
  key.set_class_(record.class_());
  key.set_model(record.model());
  auto& lines = *window.mutable_lines();
  const auto position = std::lower_bound(
      lines.begin(), lines.end(), key,
      [](const auto& left, const auto& right) { return LineKey(left) < LineKey(right); });
  if (position != lines.end() && LineKey(*position) == LineKey(key)) return *position;
  const auto index = static_cast<int>(position - lines.begin());
  *lines.Add() = key;
  std::rotate(lines.begin() + index, lines.end() - 1, lines.end());
  return lines[index];
}

void AddToLine(schema::UsageLine& line, const schema::BillingRecord& record, bool late) {
  line.set_input_tokens(line.input_tokens() + record.input_tokens());
  line.set_output_tokens(line.output_tokens() + record.output_tokens());
  line.set_calls(line.calls() + record.calls());
  if (!late) return;
  line.set_late_input_tokens(line.late_input_tokens() + record.input_tokens());
  line.set_late_output_tokens(line.late_output_tokens() + record.output_tokens());
  line.set_late_calls(line.late_calls() + record.calls());
}

bool IsEmpty(const schema::BillingRecord& record) {
  return record.input_tokens() == 0 && record.output_tokens() == 0 && record.calls() == 0;
}

schema::CommandResult Result(schema::ResultCode code, const std::string& message = {}) {
  schema::CommandResult result;
  result.set_code(code);
  result.set_message(message);
  return result;
}

}  // namespace

schema::CommandResult UsageWindows::Commit(const schema::CommitUsage& command,
                                           std::chrono::milliseconds window_length) {
  const auto length_ms =
      static_cast<std::uint64_t>(std::max<std::int64_t>(window_length.count(), 1));
  RetireIncarnations(command.now_unix_ms());
  std::size_t rejected = 0;
  for (const schema::BillingRecord& record : command.batch().records()) {
    const common::Incarnation incarnation(record.id().entry_incarnation());
    if (retired_.contains(incarnation)) {
      ++rejected;
      continue;
    }
    if (!incarnations_[incarnation].committed.Insert(record.id().sequence())) continue;
    if (!IsEmpty(record)) AddRecord(record, command.now_unix_ms(), length_ms);
  }
  if (rejected != 0) {
    return Result(schema::RESULT_CODE_EXPIRED,
                  std::to_string(rejected) + " records belong to a retired entry incarnation");
  }
  return Result(schema::RESULT_CODE_OK);
}

void UsageWindows::AddRecord(const schema::BillingRecord& record, std::uint64_t now_unix_ms,
                             std::uint64_t length_ms) {
  const bool late = record.ended_unix_ms() < closed_through_unix_ms_;
  // A reporter whose clock is ahead must not open windows in the future.
  const std::uint64_t time =
      late ? now_unix_ms : std::min<std::uint64_t>(record.ended_unix_ms(), now_unix_ms);
  schema::UsageWindow& window = WindowAt(std::max(time, closed_through_unix_ms_), length_ms);
  AddToLine(FindOrAddLine(window, record), record, late);
}

schema::UsageWindow& UsageWindows::WindowAt(std::uint64_t unix_ms, std::uint64_t length_ms) {
  const auto after = windows_.upper_bound(WindowId(unix_ms));
  std::uint64_t start = std::max(unix_ms - unix_ms % length_ms, closed_through_unix_ms_);
  std::uint64_t end = unix_ms - unix_ms % length_ms + length_ms;
  if (after != windows_.begin()) {
    schema::UsageWindow& previous = std::prev(after)->second;
    if (unix_ms < previous.end_unix_ms()) return previous;
    start = std::max(start, previous.end_unix_ms());
  }
  // The window length may have changed while windows were open; windows must not overlap.
  if (after != windows_.end()) end = std::min(end, after->first.value());
  schema::UsageWindow& window = windows_[WindowId(start)];
  window.set_id(start);
  window.set_start_unix_ms(start);
  window.set_end_unix_ms(end);
  window.set_state(schema::WINDOW_STATE_OPEN);
  return window;
}

schema::CommandResult UsageWindows::Close(const schema::CloseWindow& command) {
  const WindowId id(command.window_id());
  const auto found = windows_.find(id);
  if (found == windows_.end()) {
    return reported_.contains(id) ? Result(schema::RESULT_CODE_OK)
                                  : Result(schema::RESULT_CODE_NOT_FOUND, "no such window");
  }
  schema::UsageWindow& window = found->second;
  if (window.state() != schema::WINDOW_STATE_OPEN) return Result(schema::RESULT_CODE_OK);
  const bool has_earlier_open = std::any_of(windows_.begin(), found, [](const auto& other) {
    return other.second.state() == schema::WINDOW_STATE_OPEN;
  });
  if (has_earlier_open) return Result(schema::RESULT_CODE_CONFLICT, "an earlier window is open");
  window.set_state(schema::WINDOW_STATE_CLOSED);
  window.set_report(MakeReport(window));
  closed_through_unix_ms_ = window.end_unix_ms();
  return Result(schema::RESULT_CODE_OK);
}

schema::CommandResult UsageWindows::RecordReceipt(const schema::RecordReceipt& command) {
  const auto found = windows_.find(WindowId(command.window_id()));
  if (found == windows_.end()) {
    return reported_.contains(WindowId(command.window_id()))
               ? Result(schema::RESULT_CODE_OK)
               : Result(schema::RESULT_CODE_NOT_FOUND, "no such window");
  }
  schema::UsageWindow& window = found->second;
  if (window.state() == schema::WINDOW_STATE_REPORTED) return Result(schema::RESULT_CODE_OK);
  if (window.state() != schema::WINDOW_STATE_CLOSED) {
    return Result(schema::RESULT_CODE_CONFLICT, "the window is open");
  }
  window.set_state(schema::WINDOW_STATE_REPORTED);
  window.set_receipt(command.receipt());
  schema::ReportedWindow& reported = reported_[found->first];
  reported.set_id(window.id());
  reported.set_receipt(window.receipt());
  reported.set_report_sha256(common::Sha256(window.report()));
  TrimReportedWindows();
  return Result(schema::RESULT_CODE_OK);
}

void UsageWindows::TrimReportedWindows() {
  std::size_t kept = static_cast<std::size_t>(std::count_if(
      windows_.begin(), windows_.end(),
      [](const auto& window) { return window.second.state() == schema::WINDOW_STATE_REPORTED; }));
  for (auto window = windows_.begin(); window != windows_.end() && kept > kMaxReportedWindows;) {
    const bool reported = window->second.state() == schema::WINDOW_STATE_REPORTED;
    window = reported ? windows_.erase(window) : std::next(window);
    if (reported) --kept;
  }
  while (reported_.size() > kMaxAcknowledgements) reported_.erase(reported_.begin());
}

void UsageWindows::MarkDead(common::Incarnation incarnation, std::uint64_t now_unix_ms) {
  const auto found = incarnations_.find(incarnation);
  if (found != incarnations_.end() && found->second.dead_since_unix_ms == 0) {
    found->second.dead_since_unix_ms = now_unix_ms;
  }
}

void UsageWindows::RetireIncarnations(std::uint64_t now_unix_ms) {
  for (auto state = incarnations_.begin(); state != incarnations_.end();) {
    const std::uint64_t dead_since = state->second.dead_since_unix_ms;
    if (dead_since == 0 || now_unix_ms < dead_since + kRetirementMs) {
      ++state;
      continue;
    }
    retired_.insert(state->first);
    state = incarnations_.erase(state);
  }
  while (retired_.size() > kMaxRetiredIncarnations) retired_.erase(retired_.begin());
}

std::optional<WindowId> UsageWindows::NextToClose(std::uint64_t now_unix_ms,
                                                  std::chrono::milliseconds grace) const {
  for (const auto& [id, window] : windows_) {
    if (window.state() != schema::WINDOW_STATE_OPEN) continue;
    const auto grace_ms = static_cast<std::uint64_t>(grace.count());
    if (now_unix_ms < window.end_unix_ms() + grace_ms) return std::nullopt;
    return id;
  }
  return std::nullopt;
}

std::vector<schema::UsageWindow> UsageWindows::Unreported() const {
  std::vector<schema::UsageWindow> result;
  for (const auto& [id, window] : windows_) {
    if (window.state() == schema::WINDOW_STATE_CLOSED) result.push_back(window);
  }
  return result;
}

std::vector<schema::UsageWindow> UsageWindows::List() const {
  std::vector<schema::UsageWindow> result;
  for (const auto& [id, window] : windows_) result.push_back(window);
  return result;
}

schema::UsageSnapshot UsageWindows::Serialize() const {
  schema::UsageSnapshot snapshot;
  snapshot.set_closed_through_unix_ms(closed_through_unix_ms_);
  for (const auto& [id, window] : windows_) *snapshot.add_windows() = window;
  for (const auto& [id, reported] : reported_) *snapshot.add_reported() = reported;
  for (const auto& [id, state] : incarnations_) {
    schema::IncarnationUsage& incarnation = *snapshot.add_incarnations();
    incarnation.set_incarnation(id.value());
    incarnation.set_dead_since_unix_ms(state.dead_since_unix_ms);
    for (const auto& [first, last] : state.committed.intervals()) {
      schema::SequenceRange& range = *incarnation.add_committed();
      range.set_first(first);
      range.set_last(last);
    }
  }
  for (const common::Incarnation id : retired_) snapshot.add_retired_incarnations(id.value());
  return snapshot;
}

common::Result<UsageWindows> UsageWindows::Restore(const schema::UsageSnapshot& snapshot) {
  using RestoreResult = common::Result<UsageWindows>;
  UsageWindows restored;
  restored.closed_through_unix_ms_ = snapshot.closed_through_unix_ms();
  for (const auto& window : snapshot.windows()) restored.windows_[WindowId(window.id())] = window;
  for (const auto& entry : snapshot.reported()) restored.reported_[WindowId(entry.id())] = entry;
  for (const schema::IncarnationUsage& usage : snapshot.incarnations()) {
    IncarnationState& state = restored.incarnations_[common::Incarnation(usage.incarnation())];
    state.dead_since_unix_ms = usage.dead_since_unix_ms();
    for (const schema::SequenceRange& range : usage.committed()) {
      if (range.last() < range.first() || state.committed.Contains(range.first())) {
        return RestoreResult::Failure("usage sequences of an incarnation overlap");
      }
      state.committed.InsertRange(range.first(), range.last());
    }
  }
  for (const std::uint64_t id : snapshot.retired_incarnations()) {
    restored.retired_.insert(common::Incarnation(id));
  }
  return RestoreResult::Success(std::move(restored));
}

}  // namespace briarwood::usage
