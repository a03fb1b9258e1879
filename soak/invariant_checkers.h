#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "briarwood/common/time.h"

namespace briarwood::soak {

/// Violation of an invariant.
struct Violation {
  common::Time at;
  /// Short name of the invariant, as printed in the report.
  std::string invariant;
  std::string detail;
};

/// Collects violations: keeps the first ones and counts all.
class ViolationLog {
 public:
  void Report(common::Time at, std::string invariant, std::string detail);

  [[nodiscard]] const std::vector<Violation>& kept() const noexcept { return kept_; }
  [[nodiscard]] std::size_t count() const noexcept { return count_; }

 private:
  std::vector<Violation> kept_;
  std::size_t count_ = 0;
};

/// Kinds of calls; they differ in whether a request may run more than once.
enum class CallKind : std::uint8_t { kOnce, kRetryable, kStream, kResumableStream };

[[nodiscard]] constexpr bool MayRunTwice(CallKind kind) noexcept {
  return kind == CallKind::kRetryable || kind == CallKind::kResumableStream;
}

/// Request as a caller sends it.
struct SentCall {
  CallKind kind = CallKind::kOnce;
  std::string target;
  std::string body;
  /// Owner of the key in the request.
  std::string customer;
  /// Name of the entry that the request was sent to.
  std::string entry;
};

/// Request as a backend server receives it.
struct RunCall {
  std::string id;
  std::string backend_server;
  std::string target;
  std::string body;
  std::string customer;
  bool carries_key = false;
};

/// Response as a caller receives it.
struct ReceivedResponse {
  std::uint16_t status = 0;
  bool has_signature = false;
  /// The response was received completely.
  bool complete = false;
  std::string body;
};

/// Checks the invariants of requests, as observed by callers and backend servers.
class RequestChecker {
 public:
  explicit RequestChecker(ViolationLog& log) : log_(log) {}

  void OnSent(const std::string& id, const SentCall& call);
  void OnRun(const RunCall& run, common::Time now);
  void OnResponse(const std::string& id, const ReceivedResponse& response, common::Time now);

  /// \returns the entry that the request was sent to, or an empty string for an unknown id.
  [[nodiscard]] std::string EntryOf(const std::string& id) const;

  /// \returns the body of a complete successful response to a request.
  [[nodiscard]] static std::string ExpectedBody(const std::string& id, CallKind kind);
  /// \returns an event of the stream for a request; numbers start at 1.
  [[nodiscard]] static std::string Event(const std::string& id, int number);

  [[nodiscard]] std::size_t sent() const noexcept { return calls_.size(); }
  [[nodiscard]] std::size_t answered() const noexcept { return answered_; }
  [[nodiscard]] std::size_t rejected() const noexcept { return rejected_; }
  [[nodiscard]] std::size_t runs() const noexcept { return runs_; }

 private:
  struct Call {
    SentCall sent;
    int runs = 0;
    /// The caller received a status which guarantees that the request does not run.
    bool reported_not_run = false;
  };

  void CheckSuccess(const std::string& id, const Call& call, const ReceivedResponse& response,
                    common::Time now);

  ViolationLog& log_;
  std::map<std::string, Call> calls_;
  std::size_t answered_ = 0;
  std::size_t rejected_ = 0;
  std::size_t runs_ = 0;
};

struct ConfigurationBounds {
  /// Maximum time from an acknowledgement until every read returns that version or a later one.
  common::Duration in_force = std::chrono::seconds(2);
  /// Time without a fault after which a process counts as in touch with the others.
  common::Duration contact_period = std::chrono::seconds(3);
  /// Time after which an entry that has served a version must not serve an older one.
  common::Duration revert_slack = std::chrono::milliseconds(250);
};

/// Checks the invariants of configurations, as observed by operators and callers.
class ConfigurationChecker {
 public:
  /// \returns true if no fault affected the entry or the members in this time.
  using InTouch = std::function<bool(const std::string& entry, common::Time from, common::Time to)>;

  ConfigurationChecker(ViolationLog& log, ConfigurationBounds bounds, InTouch in_touch = {})
      : log_(log), bounds_(bounds), in_touch_(std::move(in_touch)) {}

  /// \param kept  earlier versions whose routes and keys the configuration keeps
  void OnSent(std::uint64_t version, const std::string& content,
              const std::vector<std::uint64_t>& kept = {});
  /// \param valid  whether the configuration may take effect
  void OnResponse(std::uint64_t version, std::uint16_t status, bool valid, common::Time now);
  /// Records that a member returned this content for a read sent at `sent_at`.
  void OnRead(const std::string& member, std::uint64_t version, const std::string& content,
              common::Time sent_at, common::Time now);
  /// Records that a process of an entry handled a request sent at `sent_at` with this version.
  void OnServed(const std::string& entry, std::uint64_t lifetime, std::uint64_t version,
                common::Time sent_at, common::Time now);

  /// Records how an entry answered a call for a route or with a key that a version has added.
  void OnKeptCall(const std::string& entry, std::uint64_t version, std::uint16_t status,
                  common::Time sent_at, common::Time now);
  /// \returns the newest version that has to be in force at `now`.
  [[nodiscard]] std::optional<std::uint64_t> DueVersion(common::Time now) const;
  /// Number of calls for due versions to entries in touch.
  [[nodiscard]] std::size_t kept_calls() const noexcept { return kept_calls_; }

  /// Longest time that an entry had been in touch when it refused what a due version allows. The
  /// margin to a violation is what is left to the contact period.
  [[nodiscard]] common::Duration max_refused_contact() const noexcept {
    return max_refused_contact_;
  }

  /// Newest acknowledged version; 0 if there is none.
  [[nodiscard]] std::uint64_t acknowledged() const noexcept { return acknowledged_; }
  [[nodiscard]] std::size_t acknowledgements() const noexcept { return acknowledgements_; }
  [[nodiscard]] std::size_t reads() const noexcept { return reads_; }
  [[nodiscard]] bool WasSent(std::uint64_t version) const { return contents_.contains(version); }

 private:
  ViolationLog& log_;
  ConfigurationBounds bounds_;
  InTouch in_touch_;
  std::map<std::uint64_t, std::string> contents_;
  /// Earlier versions that each version keeps.
  std::map<std::uint64_t, std::set<std::uint64_t>> kept_;
  std::size_t kept_calls_ = 0;
  common::Duration max_refused_contact_{};
  std::set<std::uint64_t> invalid_;
  std::uint64_t acknowledged_ = 0;
  std::size_t acknowledgements_ = 0;
  std::size_t reads_ = 0;
  /// Maps the time of an acknowledgement to the version that became the newest.
  std::map<common::Time, std::uint64_t> history_;
  struct Served {
    std::uint64_t version = 0;
    common::Time at;
  };
  std::map<std::pair<std::string, std::uint64_t>, Served> served_;
};

/// Checks the invariants of usage reports, and accepts or rejects them as the platform does.
class UsageChecker {
 public:
  using Counts = std::map<std::string, std::uint64_t>;

  explicit UsageChecker(ViolationLog& log) : log_(log) {}

  /// \returns false if the fencing token of the report is lower than a previous one.
  [[nodiscard]] bool OnReport(std::uint64_t window, const Counts& counts, const std::string& holder,
                              std::uint64_t fencing_token, common::Time now);

  [[nodiscard]] const std::map<std::uint64_t, Counts>& reports() const noexcept { return reports_; }

 private:
  ViolationLog& log_;
  std::map<std::uint64_t, Counts> reports_;
  std::map<std::uint64_t, std::string> holders_;
  std::uint64_t highest_fencing_token_ = 0;
};

}  // namespace briarwood::soak
