#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

#include "briarwood/common/ids.h"
#include "fleet.pb.h"

namespace briarwood::requests {

/// The event belongs to another request, entry incarnation or attempt, or is a duplicate token.
struct StreamIgnored {};
/// The backend server has accepted the request.
struct StreamAccepted {};
/// Next text for the caller.
struct StreamDelivery {
  /// Position in the whole answer, starting at 0.
  std::uint64_t index = 0;
  std::string text;
};
/// The answer is complete.
struct StreamEnded {
  schema::RunEnd end;
  /// Whole answer of a plain service.
  std::optional<schema::StoredAnswer> answer;
};
/// The attempt has failed; its further events are ignored.
struct StreamFailed {
  schema::RunError error;
};

using StreamStep =
    std::variant<StreamIgnored, StreamAccepted, StreamDelivery, StreamEnded, StreamFailed>;

/// Assembles the answer to one request from the event streams of its attempts.
///
/// Events are ignored unless request id, entry incarnation and attempt match. Token indexes are
/// consecutive over all attempts: a duplicate is ignored, a gap fails the attempt. The answer is
/// complete only with an `end` event.
class StreamAssembler {
 public:
  StreamAssembler(common::RequestId request, common::Incarnation entry)
      : request_(std::move(request)), entry_(entry) {}

  /// Starts an attempt; events of any other attempt are ignored from now on.
  void BeginAttempt(std::uint32_t attempt) noexcept;

  [[nodiscard]] StreamStep Apply(const schema::RunEvent& event);

  /// Reports that the connection of the current attempt has ended.
  /// \returns the failure, if the answer is incomplete and the attempt has not failed already.
  [[nodiscard]] std::optional<StreamFailed> CloseAttempt();

  [[nodiscard]] bool complete() const noexcept { return complete_; }
  /// Index of the next token to deliver; a resumed attempt starts here.
  [[nodiscard]] std::uint64_t next_index() const noexcept { return next_index_; }
  [[nodiscard]] const std::string& text() const noexcept { return text_; }

 private:
  [[nodiscard]] bool Matches(const schema::RunEvent& event) const;
  [[nodiscard]] StreamStep ApplyToken(const schema::RunToken& token);
  [[nodiscard]] StreamStep ApplyEnd(const schema::RunEnd& end);
  [[nodiscard]] StreamFailed Fail(const std::string& message);

  common::RequestId request_;
  common::Incarnation entry_;
  std::uint32_t attempt_ = 0;
  bool attempt_open_ = false;
  bool accepted_ = false;
  bool complete_ = false;
  std::uint64_t next_index_ = 0;
  std::string text_;
  std::optional<schema::StoredAnswer> answer_;
};

}  // namespace briarwood::requests
