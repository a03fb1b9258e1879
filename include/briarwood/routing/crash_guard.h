#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

#include "briarwood/common/ids.h"
#include "briarwood/common/time.h"
#include "briarwood/routing/crash_evidence_table.h"

namespace briarwood::routing {

/// The request may be sent.
struct RequestAllowed {};
/// The request may be sent once, to find out whether its held properties still crash servers.
struct RequestTrial {
  std::vector<std::string> properties;
};
/// The request must not be sent.
struct RequestHeld {
  schema::CrashEvidence evidence;
  std::chrono::milliseconds retry_after{0};
};
using RequestVerdict = std::variant<RequestAllowed, RequestTrial, RequestHeld>;

/// What an entry concludes from a crash.
struct CrashConclusion {
  /// Properties that may have caused the crash, with the crashes known for each. Properties on
  /// which responses began soundly are left out until they are seen in a crash.
  std::vector<std::pair<std::string, std::uint32_t>> candidates;
  /// False if one of these properties was seen in an earlier crash: a retry may crash the next
  /// server.
  bool may_retry = true;
};

/// Decides at an entry which requests are held back because one of their properties
/// crashes servers, and collects the evidence that the entry reports to the control members. While
/// these are unreachable, its own evidence decides. Not thread-safe.
class CrashGuard {
 public:
  explicit CrashGuard(CrashEvidenceOptions options = {}) : own_(options) {}

  /// \param agreed  agreed wall clock time at `at`
  void SetAgreedTime(common::UnixMillis agreed, common::Time at) { agreed_ = {{agreed, at}}; }
  /// Records that a control member has responded with a confirmed state.
  void OnControlContact(common::Time now) { control_contact_ = now; }
  /// Replaces the evidence of the fleet.
  void SetRows(const std::vector<schema::CrashEvidence>& rows);

  /// \param properties  see CrashProperties
  [[nodiscard]] RequestVerdict Check(const std::vector<std::string>& properties, common::Time now);

  /// \returns true if a server has crashed under a request with one of the properties, so that the
  /// request should not run on two servers at once.
  [[nodiscard]] bool HasEvidence(const std::vector<std::string>& properties) const;

  /// Records an attempt that its server ended before a sound start.
  /// \param servers  number of servers of the service
  CrashConclusion OnCrash(const std::vector<std::string>& properties, const std::string& server,
                          std::uint32_t servers, common::Time sent_at, common::Time now);
  /// Records an attempt that ended while its server was silent. It counts as a crash once the
  /// server is known to have ended, if the server has responded to another request after `sent_at`:
  /// one that was silent before did not end under this request.
  void OnSilence(const std::vector<std::string>& properties, const std::string& server,
                 std::uint32_t servers, common::Time sent_at, common::Time now);
  /// Records that a server has responded to a request.
  void OnResponse(const std::string& server, common::Time now);
  /// Records that a server has ended without having been announced as leaving.
  /// \returns the properties that may have caused this, see CrashConclusion::candidates.
  std::vector<std::pair<std::string, std::uint32_t>> OnServerEnded(const std::string& server,
                                                                   common::Time now);
  /// Records that a server has begun a sound response.
  /// \returns the properties against which there was evidence.
  std::vector<std::string> OnSoundStart(const std::vector<std::string>& properties,
                                        common::Time now);

  /// Removes the evidence that the control members have not received yet.
  /// \returns nothing if there is none or while the agreed time is unknown.
  [[nodiscard]] std::optional<schema::RecordCrashEvidence> TakeReport(common::Time now);
  /// Puts evidence back that has not reached the control members.
  void PutBack(const schema::RecordCrashEvidence& report, common::Time now);

  /// \returns the properties of which a trial is due and for which a request has come since the
  /// last call; empty if there are none.
  [[nodiscard]] std::vector<std::string> TakeWantedTrial();
  /// Allows the next request that has no held properties besides these.
  void OnTrialGranted(const std::vector<std::string>& properties, common::Time now);

  void Expire(common::Time now);

 private:
  /// What responses on a property showed at this entry.
  struct History {
    std::optional<common::Time> sound_at;
    std::optional<common::Time> crash_at;
    /// Before the crash.
    bool was_sound = false;
  };
  using Histories = std::unordered_map<std::string, History>;

  /// Attempt that ended while its server was silent.
  struct Silence {
    std::vector<std::string> properties;
    std::string server;
    std::uint32_t servers = 0;
    common::Time sent_at;
    common::Time ended_at;
  };

  struct Grant {
    std::set<std::string> properties;
    common::Time ends_at;
  };

  [[nodiscard]] bool IsConnected(common::Time now) const;
  [[nodiscard]] std::optional<std::uint64_t> AgreedMillis(common::Time at) const;
  /// \returns the evidence for which the property is held, or null.
  [[nodiscard]] const schema::CrashEvidence* FindHeld(const std::string& property,
                                                      common::Time now) const;
  [[nodiscard]] bool IsClearedHere(const std::string& property, common::Time now) const;
  /// \returns the history of a property, which may be new.
  [[nodiscard]] History& HistoryOf(const std::string& property, common::Time now);
  /// \param sent_at  a sound start does not count after a crash of an attempt that was sent earlier
  [[nodiscard]] static bool WasSound(const History& history, common::Time sent_at);
  [[nodiscard]] bool HasRespondedAfter(const std::string& server, common::Time at) const;
  [[nodiscard]] std::chrono::milliseconds RetryAfter(const schema::CrashEvidence& evidence,
                                                     common::Time now) const;

  std::optional<std::pair<common::UnixMillis, common::Time>> agreed_;
  std::optional<common::Time> control_contact_;
  /// Evidence of the fleet, in agreed time.
  std::map<std::string, schema::CrashEvidence> rows_;
  /// Evidence of this entry, in milliseconds of the boot clock.
  CrashEvidenceTable own_;
  /// Properties that were cleared here and whose rows may still be in force.
  std::map<std::string, common::Time> cleared_;
  /// Histories of the current and the previous period.
  Histories histories_;
  Histories previous_histories_;
  common::Time period_started_at_;
  /// Not reported yet; times of the boot clock.
  std::vector<schema::PropertyCrash> crashes_;
  std::set<std::string> sound_properties_;
  std::vector<Silence> silences_;
  /// Time of the last response, by server.
  std::unordered_map<std::string, common::Time> responded_at_;
  /// Servers that ended recently.
  std::map<std::string, common::Time> ended_at_;
  std::vector<std::string> wanted_trial_;
  std::optional<Grant> grant_;
};

}  // namespace briarwood::routing
