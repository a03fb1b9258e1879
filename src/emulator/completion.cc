#include "emulator/impl/completion.h"

#include <limits>
#include <utility>

#include "briarwood/emulator/text_generator.h"
#include "emulator/impl/json.h"

namespace briarwood::emulator::impl {
namespace {

constexpr std::uint64_t kMaxTokens = 1'000'000;
/// A stream with more unread bytes is ended, because its caller does not read it.
constexpr std::size_t kMaxBufferedBytes = std::size_t{4} * 1024 * 1024;

std::string JoinMessages(const Json::Value& messages) {
  std::string prompt;
  for (const Json::Value& message : messages) {
    if (!message.isObject()) continue;
    if (!prompt.empty()) prompt += "\n";
    prompt += ReadText(message, "content");
  }
  return prompt;
}

Json::Value Usage(const std::string& prompt, std::uint64_t output_tokens) {
  const std::uint64_t input_tokens = CountTokens(prompt);
  Json::Value usage;
  usage["prompt_tokens"] = Json::UInt64{input_tokens};
  usage["completion_tokens"] = Json::UInt64{output_tokens};
  usage["total_tokens"] = Json::UInt64{input_tokens + output_tokens};
  return usage;
}

Json::Value Choice(const std::string& text, const Json::Value& finish_reason) {
  Json::Value choice;
  choice["index"] = 0;
  choice["text"] = text;
  choice["finish_reason"] = finish_reason;
  return choice;
}

}  // namespace

common::Result<CompletionRequest> ParseCompletion(std::string_view body) {
  using Outcome = common::Result<CompletionRequest>;
  const std::optional<Json::Value> json = ReadObject(body);
  if (!json) return Outcome::Failure("invalid_json");
  CompletionRequest request;
  request.request_id = ReadText(*json, "request_id");
  request.model = ReadText(*json, "model");
  const Json::Value& messages = (*json)["messages"];
  request.prompt = messages.isArray() ? JoinMessages(messages) : ReadText(*json, "prompt");
  if (request.prompt.empty()) return Outcome::Failure("missing_prompt");
  const auto priority = ReadCount(*json, "priority", 0);
  const auto resume_from = ReadCount(*json, "resume_from", 0);
  const auto max_tokens = ReadCount(*json, "max_tokens", 0);
  if (!priority || *priority > std::numeric_limits<std::uint32_t>::max()) {
    return Outcome::Failure("invalid_priority");
  }
  if (!resume_from || *resume_from > kMaxTokens) return Outcome::Failure("invalid_resume_from");
  if (!max_tokens || *max_tokens > kMaxTokens) return Outcome::Failure("invalid_max_tokens");
  request.priority = static_cast<std::uint32_t>(*priority);
  request.resume_from = *resume_from;
  request.max_tokens = *max_tokens;
  request.stream = (*json)["stream"].isBool() && (*json)["stream"].asBool();
  return Outcome::Success(std::move(request));
}

CompletionOutput::CompletionOutput(CompletionRequest request, std::uint64_t end_token,
                                   std::shared_ptr<http::Exchange> exchange)
    : request_(std::move(request)),
      end_token_(end_token),
      finish_reason_(end_token == request_.max_tokens ? "length" : "stop"),
      exchange_(std::move(exchange)) {
  if (request_.stream) {
    exchange_->StartStream(http::ToNumber(http::Status::kOk),
                           {{"Content-Type", "text/event-stream"}});
  }
}

bool CompletionOutput::Write(std::uint64_t index, bool last) {
  if (!request_.stream) {
    text_ += GenerateToken(request_.prompt, index);
    if (last) RespondWhole();
    return true;
  }
  if (exchange_->buffered_bytes() > kMaxBufferedBytes) return false;
  if (!exchange_->Write(TokenEvent(index))) return false;
  if (!last) return true;
  const bool written = exchange_->Write(EndEvent());
  exchange_->End();
  return written;
}

void CompletionOutput::WriteCancelled() {
  if (!request_.stream) {
    exchange_->Respond(ErrorResponse(http::Status::kConflict, "cancelled"));
    return;
  }
  Json::Value event;
  event["error"]["code"] = "cancelled";
  exchange_->Write("data: " + WriteJson(event) + "\n\n");
  exchange_->End();
}

std::string CompletionOutput::TokenEvent(std::uint64_t index) const {
  Json::Value event;
  event["id"] = request_.request_id;
  event["object"] = "text_completion";
  event["model"] = request_.model;
  event["token_index"] = Json::UInt64{index};
  event["choices"].append(Choice(GenerateToken(request_.prompt, index), Json::Value()));
  return "data: " + WriteJson(event) + "\n\n";
}

std::string CompletionOutput::EndEvent() const {
  Json::Value event;
  event["id"] = request_.request_id;
  event["object"] = "text_completion";
  event["model"] = request_.model;
  event["choices"].append(Choice("", finish_reason_));
  event["usage"] = Usage(request_.prompt, end_token_);
  return "data: " + WriteJson(event) + "\n\ndata: [DONE]\n\n";
}

void CompletionOutput::RespondWhole() {
  Json::Value body;
  body["id"] = request_.request_id;
  body["object"] = "text_completion";
  body["model"] = request_.model;
  body["choices"].append(Choice(text_, finish_reason_));
  body["usage"] = Usage(request_.prompt, end_token_);
  exchange_->Respond(JsonResponse(http::Status::kOk, body));
}

}  // namespace briarwood::emulator::impl
