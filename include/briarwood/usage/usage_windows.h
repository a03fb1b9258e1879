#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "briarwood/common/ids.h"
#include "briarwood/common/result.h"
#include "briarwood/common/time.h"
#include "briarwood/usage/interval_set.h"
#include "control.pb.h"
#include "usage.pb.h"

namespace briarwood::usage {

/// Start of a window in milliseconds since the Unix epoch.
using WindowId = common::StrongId<struct WindowIdTag, std::uint64_t>;

/// Billed usage per time window. Part of the replicated state, so it depends only on the commands.
///
/// Every record, identified by (entry incarnation, sequence), is counted once. A record whose
/// window is closed is added to the window of its commit time and counted as late. A closed window
/// never changes, and its report always has the same bytes.
class UsageWindows {
 public:
  /// Adds the records of a batch that are not committed yet. Records of a retired incarnation are
  /// rejected with RESULT_CODE_EXPIRED, because its committed sequences are no longer known.
  /// \param window_length  length of windows that this call opens
  schema::CommandResult Commit(const schema::CommitUsage& command,
                               std::chrono::milliseconds window_length);

  /// Closes a window and creates its report. Windows close in the order of their starts. Closing a
  /// closed window again succeeds and changes nothing.
  schema::CommandResult Close(const schema::CloseWindow& command);

  /// Stores the platform's acknowledgement of a closed window's report. The first one is kept.
  schema::CommandResult RecordReceipt(const schema::RecordReceipt& command);

  /// Records the death of an entry's incarnation; it is retired after a delay.
  void MarkDead(common::Incarnation incarnation, std::uint64_t now_unix_ms);

  /// \returns the earliest open window if its end plus `grace` has passed.
  [[nodiscard]] std::optional<WindowId> NextToClose(std::uint64_t now_unix_ms,
                                                    std::chrono::milliseconds grace) const;

  /// \returns the closed windows without an acknowledgement, oldest first.
  [[nodiscard]] std::vector<schema::UsageWindow> Unreported() const;

  /// \returns all windows whose usage lines are kept, oldest first.
  [[nodiscard]] std::vector<schema::UsageWindow> List() const;

  /// \returns the acknowledgements and report digests of reported windows, including those whose
  /// usage lines were removed.
  [[nodiscard]] const std::map<WindowId, schema::ReportedWindow>& reported() const noexcept {
    return reported_;
  }

  [[nodiscard]] schema::UsageSnapshot Serialize() const;
  static common::Result<UsageWindows> Restore(const schema::UsageSnapshot& snapshot);

 private:
  struct IncarnationState {
    IntervalSet committed;
    std::uint64_t dead_since_unix_ms = 0;
  };

  schema::UsageWindow& WindowAt(std::uint64_t unix_ms, std::uint64_t length_ms);
  void AddRecord(const schema::BillingRecord& record, std::uint64_t now_unix_ms,
                 std::uint64_t length_ms);
  void RetireIncarnations(std::uint64_t now_unix_ms);
  void TrimReportedWindows();

  /// End of the latest closed window; no window starts before it.
  std::uint64_t closed_through_unix_ms_ = 0;
  std::map<WindowId, schema::UsageWindow> windows_;
  std::map<WindowId, schema::ReportedWindow> reported_;
  std::map<common::Incarnation, IncarnationState> incarnations_;
  std::set<common::Incarnation> retired_;
};

}  // namespace briarwood::usage
