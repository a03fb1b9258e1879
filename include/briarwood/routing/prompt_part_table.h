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

struct PromptPartOptions {
  /// Crashes from which a part is held, and the lower limit for services with fewer servers.
  std::uint32_t held_crashes = 3;
  std::uint32_t min_held_crashes = 2;
  /// Times since the last crash.
  std::uint64_t candidate_expiry_ms = 60'000;
  std::uint64_t held_expiry_ms = 3'600'000;
  std::uint64_t first_trial_delay_ms = 30'000;
  std::uint64_t max_trial_delay_ms = 600'000;
  std::size_t max_parts = 512;
};

enum class PromptPartTrial : std::uint8_t { kGranted, kNotDue };

/// Evidence that parts of prompts crash backend servers. A single crash proves little, since
/// servers also crash by themselves with many requests in progress; a part is held once several
/// independent crashes have hit requests with it and none of them has begun soundly in between.
///
/// All times of one table are milliseconds on one clock.
class PromptPartTable {
 public:
  explicit PromptPartTable(PromptPartOptions options = {}) : options_(options) {}

  /// \returns true if the crash is independent of those that count for the part: of another server,
  /// and of an attempt that was sent after them. Servers that crash together count once, and so
  /// does a server that fails a share of its requests.
  [[nodiscard]] static bool IsIndependent(const schema::PromptPart& evidence,
                                          const schema::PromptPartCrash& crash);

  /// \returns true if a request with `parts` may try the held part. Before its first regular trial
  /// that is once so for a request that lacks another held part which was part of all its crashes,
  /// as it shows which of the two causes them.
  [[nodiscard]] static bool IsTrialDue(const std::map<std::string, schema::PromptPart>& all,
                                       const schema::PromptPart& evidence,
                                       const std::vector<std::string>& parts, std::uint64_t now_ms);

  /// \returns the parts for which the crash counts.
  std::vector<std::string> RecordCrash(const schema::PromptPartCrash& crash);
  /// \returns false if there is no evidence against the part.
  bool Clear(const std::string& part);
  /// Grants one request with the parts if a trial of each held one is due, and postpones their next
  /// trial. A repeated request of the same entry and sequence gets the same outcome.
  [[nodiscard]] PromptPartTrial BeginTrial(const schema::BeginPartTrial& trial,
                                           std::uint64_t now_ms);
  void Expire(std::uint64_t now_ms);

  /// \returns the evidence, or null.
  [[nodiscard]] const schema::PromptPart* Find(const std::string& part) const;
  [[nodiscard]] const std::map<std::string, schema::PromptPart>& parts() const noexcept {
    return parts_;
  }
  /// \returns the parts whose evidence may have changed since the last call.
  [[nodiscard]] std::vector<std::string> TakeChanged();

  [[nodiscard]] schema::PromptPartTableState Save() const;
  void Restore(const schema::PromptPartTableState& state);

 private:
  /// Removes the weakest candidate if the table is full.
  /// \returns false if only held parts are left.
  bool MakeRoom();
  void Count(schema::PromptPart& evidence, const schema::PromptPartCrash& crash) const;

  PromptPartOptions options_;
  std::map<std::string, schema::PromptPart> parts_;
  std::set<std::string> changed_;
};

}  // namespace briarwood::routing
