#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "control.pb.h"
#include "state.pb.h"

namespace briarwood::routing {

struct CrashEvidenceOptions {
  /// Crashes from which a property is held, and the lower limit for services with fewer servers.
  std::uint32_t held_crashes = 3;
  std::uint32_t min_held_crashes = 2;
  /// Times since the last crash.
  std::uint64_t candidate_expiry_ms = 600'000;
  std::uint64_t held_expiry_ms = 3'600'000;
  std::uint64_t first_trial_delay_ms = 30'000;
  std::uint64_t max_trial_delay_ms = 600'000;
  std::size_t max_properties = 512;
};

enum class PropertyTrial : std::uint8_t { kGranted, kNotDue };

/// Evidence that properties of requests crash backend servers. A single crash proves little, since
/// servers also crash by themselves with many requests in progress; a property is held once several
/// independent crashes have hit requests with it and none of them has begun soundly in between.
///
/// All times of one table are milliseconds on one clock.
class CrashEvidenceTable {
 public:
  explicit CrashEvidenceTable(CrashEvidenceOptions options = {}) : options_(options) {}

  /// \returns true if the crash is independent of those that count for the property: of another
  /// server, and of an attempt that was sent after them. Servers that crash together count once,
  /// and so does a server that fails a share of its requests.
  [[nodiscard]] static bool IsIndependent(const schema::CrashEvidence& evidence,
                                          const schema::PropertyCrash& crash);

  /// \returns true if a request with `properties` may try the held property. Before its first
  /// regular trial that is once so for a request that lacks another held property which was
  /// property of all its crashes, as it shows which of the two causes them.
  [[nodiscard]] static bool IsTrialDue(const std::map<std::string, schema::CrashEvidence>& all,
                                       const schema::CrashEvidence& evidence,
                                       const std::vector<std::string>& properties,
                                       std::uint64_t now_ms);

  /// \returns the properties for which the crash counts.
  std::vector<std::string> RecordCrash(const schema::PropertyCrash& crash);
  /// \returns false if there is no evidence against the property.
  bool Clear(const std::string& property);
  /// Grants one request with the properties if a trial of each held one is due, and postpones their
  /// next trial. A repeated request of the same entry and sequence gets the same outcome.
  [[nodiscard]] PropertyTrial BeginTrial(const schema::BeginPropertyTrial& trial,
                                         std::uint64_t now_ms);
  void Expire(std::uint64_t now_ms);

  /// \returns the evidence, or null.
  [[nodiscard]] const schema::CrashEvidence* Find(const std::string& property) const;
  [[nodiscard]] const std::map<std::string, schema::CrashEvidence>& properties() const noexcept {
    return properties_;
  }
  /// \returns the properties whose evidence may have changed since the last call.
  [[nodiscard]] std::vector<std::string> TakeChanged();

  [[nodiscard]] schema::CrashEvidenceTableState Save() const;
  void Restore(const schema::CrashEvidenceTableState& state);

 private:
  /// Removes the weakest candidate if the table is full.
  /// \returns false if only held properties are left.
  bool MakeRoom();
  void Count(schema::CrashEvidence& evidence, const schema::PropertyCrash& crash) const;

  CrashEvidenceOptions options_;
  std::map<std::string, schema::CrashEvidence> properties_;
  std::set<std::string> changed_;
};

}  // namespace briarwood::routing
