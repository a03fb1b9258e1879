#include "agent/impl/backend_response.h"

#include <utility>

namespace briarwood::agent::impl {
namespace {

constexpr std::uint16_t kOk = 200;
// Bounds the answer of a service, because it is sent to the entry as one event.
constexpr std::size_t kMaxAnswerBytes = std::size_t{8} * 1024 * 1024;

ResponseEvents EndWith(schema::RunEvent event) {
  ResponseEvents output{.ended = true};
  output.events.push_back(std::move(event));
  return output;
}

ResponseEvents EndWithConnectionError(const http::CallOutcome& outcome, bool any_output) {
  if (outcome.certainly_not_sent) {
    return EndWith(MakeErrorEvent(schema::RUN_ERROR_CODE_BACKEND_UNREACHABLE,
                                  schema::RUN_STATE_NOT_RUN,
                                  "the backend server accepts no connection"));
  }
  return EndWith(MakeErrorEvent(schema::RUN_ERROR_CODE_BACKEND_UNREACHABLE,
                                any_output ? schema::RUN_STATE_RAN : schema::RUN_STATE_UNKNOWN,
                                "the connection to the backend server was lost"));
}

}  // namespace

schema::RunEvent MakeErrorEvent(schema::RunErrorCode code, schema::RunState run,
                                const std::string& message) {
  schema::RunEvent event;
  event.mutable_error()->set_code(code);
  event.mutable_error()->set_run(run);
  event.mutable_error()->set_message(message);
  return event;
}

ResponseEvents EngineResponse::OnHead(std::uint16_t status, const std::string& /*content_type*/) {
  if (status == kOk) return {};
  // The request reached the engine, so only the engine knows whether any of it ran.
  return EndWith(MakeErrorEvent(schema::RUN_ERROR_CODE_BACKEND_REFUSED, schema::RUN_STATE_UNKNOWN,
                                "the engine answered with status " + std::to_string(status)));
}

ResponseEvents EngineResponse::OnData(std::string_view data) {
  ResponseEvents output;
  for (const requests::EngineEvent& event : stream_.Feed(data)) {
    schema::RunEvent run_event;
    if (const auto* token = std::get_if<requests::EngineToken>(&event)) {
      any_token_ = true;
      run_event.mutable_token()->set_index(token->index);
      run_event.mutable_token()->set_text(token->text);
    } else if (const auto* done = std::get_if<requests::EngineDone>(&event)) {
      run_event.mutable_end()->set_input_tokens(done->input_tokens);
      run_event.mutable_end()->set_output_tokens(done->output_tokens);
      run_event.mutable_end()->set_finish_reason(done->finish_reason);
      output.ended = true;
    } else {
      run_event = MakeErrorEvent(schema::RUN_ERROR_CODE_BACKEND_REFUSED,
                                 any_token_ ? schema::RUN_STATE_RAN : schema::RUN_STATE_UNKNOWN,
                                 std::get<requests::EngineError>(event).message);
      output.ended = true;
    }
    output.events.push_back(std::move(run_event));
    if (output.ended) break;
  }
  return output;
}

ResponseEvents EngineResponse::OnEnd(const http::CallOutcome& outcome) {
  return EndWithConnectionError(outcome, any_token_);
}

ResponseEvents ServiceResponse::OnHead(std::uint16_t status, const std::string& content_type) {
  answer_.set_status(status);
  answer_.set_content_type(content_type);
  return {};
}

ResponseEvents ServiceResponse::OnData(std::string_view data) {
  if (answer_.body().size() + data.size() > kMaxAnswerBytes) {
    return EndWith(MakeErrorEvent(schema::RUN_ERROR_CODE_BACKEND_REFUSED, schema::RUN_STATE_RAN,
                                  "the answer of the service is too large"));
  }
  answer_.mutable_body()->append(data);
  return {};
}

ResponseEvents ServiceResponse::OnEnd(const http::CallOutcome& outcome) {
  if (!outcome.complete) return EndWithConnectionError(outcome, false);
  ResponseEvents output{.ended = true};
  schema::RunEvent answer;
  *answer.mutable_answer()->mutable_answer() = std::move(answer_);
  output.events.push_back(std::move(answer));
  schema::RunEvent end;
  end.mutable_end();
  output.events.push_back(std::move(end));
  return output;
}

}  // namespace briarwood::agent::impl
