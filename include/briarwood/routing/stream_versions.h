#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "briarwood/common/digest.h"
#include "briarwood/common/ids.h"
#include "briarwood/common/time.h"
#include "control.pb.h"

namespace briarwood::routing {

/// Where a stream began.
struct StreamOrigin {
  std::string service;
  std::string software_version;
};

/// Answer of the control members to a question about a stream.
struct StreamLookupAnswer {
  /// Number that the question was asked with.
  std::uint64_t ticket = 0;
  /// Empty if the stream is unknown.
  std::optional<StreamOrigin> origin;
  /// Versions of the service at which other streams have begun, if the stream is unknown.
  std::vector<std::string> recorded_versions;
};

/// Remembers at an entry at which software version streams began, and collects starts and questions
/// for the control members, which keep them when entries end. Not thread-safe.
class StreamVersions {
 public:
  /// \param request_id  id of the caller's request that brought the first event of the stream. Ids
  ///   are chosen by callers, so those of different customers have different keys.
  [[nodiscard]] static common::Digest128 KeyOf(const common::CustomerId& customer,
                                               std::string_view request_id);

  /// Records the start of a stream; the first record of a key counts.
  /// \param lifetime  time for which the caller may take the stream up
  void OnBegan(const common::Digest128& key, StreamOrigin origin,
               std::chrono::milliseconds lifetime, common::Time now);
  /// \returns the origin of a stream that began at this entry, or null.
  [[nodiscard]] const StreamOrigin* Find(const common::Digest128& key, common::Time now) const;

  /// Asks the control members where a stream began.
  void Ask(std::uint64_t ticket, const common::Digest128& key, const std::string& service);
  /// Withdraws a question.
  void Withdraw(std::uint64_t ticket);

  /// Removes the starts and questions that the control members have not received yet.
  /// \returns nothing if there are none.
  [[nodiscard]] std::optional<schema::RecordStreams> TakeBatch();
  /// \returns the answers to the questions of the last batch that are still open.
  std::vector<StreamLookupAnswer> OnBatchApplied(const schema::CommandResult& result);
  /// Puts the last batch back, which may not have been applied.
  void OnBatchFailed(const schema::RecordStreams& batch);

  void Expire(common::Time now);

 private:
  struct Began {
    StreamOrigin origin;
    common::Time expires_at;
  };
  struct Question {
    common::Digest128 key;
    std::string service;
  };

  std::map<common::Digest128, Began> began_;
  /// Starts that were not sent yet, by service and version.
  std::map<std::pair<std::string, std::string>, schema::StreamStarts> starts_;
  std::size_t pending_starts_ = 0;
  /// Questions that have no answer yet, by ticket.
  std::map<std::uint64_t, Question> questions_;
  /// Tickets of the look-ups of the last batch, in their order.
  std::vector<std::uint64_t> asked_;
  common::Time next_expiry_;
};

}  // namespace briarwood::routing
