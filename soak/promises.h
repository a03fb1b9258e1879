#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "briarwood/common/time.h"

namespace briarwood::soak {

/// One broken promise.
struct Violation {
  common::Time at;
  /// Short name of the promise.
  std::string promise;
  std::string detail;
};

/// Collects broken promises; keeps the first ones whole and counts the rest.
class ViolationLog {
 public:
  void Report(common::Time at, std::string promise, std::string detail);

  [[nodiscard]] const std::vector<Violation>& kept() const noexcept { return kept_; }
  [[nodiscard]] std::size_t count() const noexcept { return count_; }

 private:
  std::vector<Violation> kept_;
  std::size_t count_ = 0;
};

/// What may be repeated.
enum class CallKind : std::uint8_t { kOnce, kRepeatable, kStream, kResumableStream };

[[nodiscard]] constexpr bool MayRunTwice(CallKind kind) noexcept {
  return kind == CallKind::kRepeatable || kind == CallKind::kResumableStream;
}

/// Request as a caller sends it.
struct SentCall {
  CallKind kind = CallKind::kOnce;
  std::string target;
  std::string body;
  /// Owner of the key that comes with the request.
  std::string customer;
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

/// Answer as a caller receives it.
struct ReceivedAnswer {
  std::uint16_t status = 0;
  bool has_receipt = false;
  /// The response came to its end.
  bool complete = false;
  std::string body;
};

/// Checks what callers and backend servers see of requests.
class RequestPromises {
 public:
  explicit RequestPromises(ViolationLog& log) : log_(log) {}

  void OnSent(const std::string& id, const SentCall& call);
  void OnRun(const RunCall& run, common::Time now);
  void OnAnswer(const std::string& id, const ReceivedAnswer& answer, common::Time now);

  /// \returns the body of a complete successful answer to a request.
  [[nodiscard]] static std::string ExpectedBody(const std::string& id, CallKind kind);
  /// Events of a stream.
  static constexpr int kEvents = 10;
  /// \returns one event of the stream that answers a request; the first is number 1.
  [[nodiscard]] static std::string Event(const std::string& id, int number);

  [[nodiscard]] std::size_t sent() const noexcept { return calls_.size(); }
  [[nodiscard]] std::size_t answered() const noexcept { return answered_; }
  [[nodiscard]] std::size_t refused() const noexcept { return refused_; }
  [[nodiscard]] std::size_t runs() const noexcept { return runs_; }

 private:
  struct Call {
    SentCall sent;
    int runs = 0;
    /// The caller was told that the request does not run.
    bool promised_not_run = false;
  };

  void CheckSuccess(const std::string& id, const Call& call, const ReceivedAnswer& answer,
                    common::Time now);

  ViolationLog& log_;
  std::map<std::string, Call> calls_;
  std::size_t answered_ = 0;
  std::size_t refused_ = 0;
  std::size_t runs_ = 0;
};

struct ConfigurationBounds {
  /// Time from an acknowledgement until every read shows the version or a later one.
  common::Duration in_force = std::chrono::seconds(2);
  /// An entry that has shown a version shows no older one after this time.
  common::Duration revert_slack = std::chrono::milliseconds(250);
};

/// Checks what operators and callers see of configurations.
class ConfigurationPromises {
 public:
  ConfigurationPromises(ViolationLog& log, ConfigurationBounds bounds)
      : log_(log), bounds_(bounds) {}

  void OnSent(std::uint64_t version, const std::string& content);
  /// \param valid  what was sent may take effect
  void OnAnswer(std::uint64_t version, std::uint16_t status, bool valid, common::Time now);
  /// A member gave this content to a read that was sent at `sent_at`.
  void OnRead(const std::string& member, std::uint64_t version, const std::string& content,
              common::Time sent_at, common::Time now);
  /// One process of an entry handled a request sent at `sent_at` by this version.
  void OnServed(const std::string& entry, std::uint64_t lifetime, std::uint64_t version,
                common::Time sent_at, common::Time now);

  /// Newest version that was acknowledged; 0 when there is none.
  [[nodiscard]] std::uint64_t acknowledged() const noexcept { return acknowledged_; }
  [[nodiscard]] std::size_t acknowledgements() const noexcept { return acknowledgements_; }
  [[nodiscard]] std::size_t reads() const noexcept { return reads_; }
  [[nodiscard]] bool WasSent(std::uint64_t version) const { return contents_.contains(version); }

 private:
  ViolationLog& log_;
  ConfigurationBounds bounds_;
  std::map<std::uint64_t, std::string> contents_;
  std::set<std::uint64_t> invalid_;
  std::uint64_t acknowledged_ = 0;
  std::size_t acknowledgements_ = 0;
  std::size_t reads_ = 0;
  /// Newest acknowledged version by the time of its acknowledgement.
  std::map<common::Time, std::uint64_t> history_;
  struct Served {
    std::uint64_t version = 0;
    common::Time at;
  };
  std::map<std::pair<std::string, std::uint64_t>, Served> served_;
};

/// Checks what the platform sees of usage reports, and answers them as the platform does.
class UsagePromises {
 public:
  using Counts = std::map<std::string, std::uint64_t>;

  explicit UsagePromises(ViolationLog& log) : log_(log) {}

  /// \returns false for a report whose fence is lower than one already seen.
  [[nodiscard]] bool OnReport(std::uint64_t window, const Counts& counts, const std::string& holder,
                              std::uint64_t fence, common::Time now);

  [[nodiscard]] const std::map<std::uint64_t, Counts>& reports() const noexcept { return reports_; }

 private:
  ViolationLog& log_;
  std::map<std::uint64_t, Counts> reports_;
  std::map<std::uint64_t, std::string> holders_;
  std::uint64_t highest_fence_ = 0;
};

}  // namespace briarwood::soak
