#include "briarwood/requests/stream_assembler.h"

#include <utility>

namespace briarwood::requests {

void StreamAssembler::BeginAttempt(std::uint32_t attempt) noexcept {
  attempt_ = attempt;
  attempt_open_ = !complete_;
  accepted_ = false;
  answer_.reset();
}

StreamStep StreamAssembler::Apply(const schema::RunEvent& event) {
  if (!attempt_open_ || !Matches(event)) return StreamIgnored{};
  switch (event.body_case()) {
    case schema::RunEvent::kAccepted:
      accepted_ = true;
      return StreamAccepted{};
    case schema::RunEvent::kToken:
      return ApplyToken(event.token());
    case schema::RunEvent::kAnswer:
      answer_ = event.answer().answer();
      return StreamAccepted{};
    case schema::RunEvent::kEnd:
      return ApplyEnd(event.end());
    case schema::RunEvent::kError:
      attempt_open_ = false;
      return StreamFailed{event.error()};
    case schema::RunEvent::BODY_NOT_SET:
      break;
  }
  return StreamIgnored{};
}

std::optional<StreamFailed> StreamAssembler::CloseAttempt() {
  if (!attempt_open_) return std::nullopt;
  return Fail("stream closed without end");
}

bool StreamAssembler::Matches(const schema::RunEvent& event) const {
  return event.request_id() == request_.value() && event.entry_incarnation() == entry_.value() &&
         event.attempt() == attempt_;
}

StreamStep StreamAssembler::ApplyToken(const schema::RunToken& token) {
  if (token.index() < next_index_) return StreamIgnored{};
  if (token.index() > next_index_) {
    return Fail("token " + std::to_string(token.index()) + " arrived where token " +
                std::to_string(next_index_) + " was due");
  }
  ++next_index_;
  text_ += token.text();
  return StreamDelivery{.index = token.index(), .text = token.text()};
}

StreamStep StreamAssembler::ApplyEnd(const schema::RunEnd& end) {
  // A plain service reports no tokens. For an engine the count detects tokens that are missing at
  // the end of the stream, which no later index would reveal.
  if (!answer_ && end.output_tokens() != next_index_) {
    return Fail("stream ended after " + std::to_string(next_index_) + " of " +
                std::to_string(end.output_tokens()) + " tokens");
  }
  attempt_open_ = false;
  complete_ = true;
  return StreamEnded{.end = end, .answer = answer_};
}

StreamFailed StreamAssembler::Fail(const std::string& message) {
  attempt_open_ = false;
  StreamFailed failed;
  // Only the agent can determine whether its backend server crashed.
  failed.error.set_code(schema::RUN_ERROR_CODE_BACKEND_UNREACHABLE);
  failed.error.set_run(schema::RUN_STATE_UNKNOWN);
  failed.error.set_message(message);
  return failed;
}

}  // namespace briarwood::requests
