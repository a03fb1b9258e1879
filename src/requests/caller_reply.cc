#include "briarwood/requests/caller_reply.h"

#include "requests/impl/json.h"

namespace briarwood::requests {
namespace {

std::string MakeEvent(const Json::Value& value) {
  return "data: " + impl::WriteJson(value) + "\n\n";
}

Json::Value MakeUsage(const schema::RunEnd& end) {
  Json::Value usage;
  usage["prompt_tokens"] = Json::Value::UInt64{end.input_tokens()};
  usage["completion_tokens"] = Json::Value::UInt64{end.output_tokens()};
  usage["total_tokens"] = Json::Value::UInt64{end.input_tokens() + end.output_tokens()};
  return usage;
}

std::string FinishReason(const schema::RunEnd& end) {
  return end.finish_reason().empty() ? "stop" : end.finish_reason();
}

Json::Value MakeHead(const common::RequestId& request, const common::ModelId& model,
                     std::uint64_t created_unix_s, const char* object) {
  Json::Value head;
  head["id"] = request.value();
  head["object"] = object;
  head["created"] = Json::Value::UInt64{created_unix_s};
  head["model"] = model.value();
  return head;
}

}  // namespace

std::string CompletionReply::Chunk(const std::string& text) const {
  const bool chat = kind_ == CompletionKind::kChat;
  Json::Value chunk = MakeHead(request_, model_, created_unix_s_,
                               chat ? "chat.completion.chunk" : "text_completion");
  Json::Value& choice = chunk["choices"][0];
  choice["index"] = 0;
  choice["finish_reason"] = Json::Value::null;
  if (chat) {
    choice["delta"]["content"] = text;
  } else {
    choice["text"] = text;
  }
  return MakeEvent(chunk);
}

std::string CompletionReply::LastChunk(const schema::RunEnd& end) const {
  const bool chat = kind_ == CompletionKind::kChat;
  Json::Value chunk = MakeHead(request_, model_, created_unix_s_,
                               chat ? "chat.completion.chunk" : "text_completion");
  Json::Value& choice = chunk["choices"][0];
  choice["index"] = 0;
  choice["finish_reason"] = FinishReason(end);
  if (chat) {
    choice["delta"] = Json::Value(Json::objectValue);
  } else {
    choice["text"] = "";
  }
  chunk["usage"] = MakeUsage(end);
  return MakeEvent(chunk) + "data: [DONE]\n\n";
}

std::string CompletionReply::CompleteBody(const std::string& text,
                                          const schema::RunEnd& end) const {
  const bool chat = kind_ == CompletionKind::kChat;
  Json::Value body =
      MakeHead(request_, model_, created_unix_s_, chat ? "chat.completion" : "text_completion");
  Json::Value& choice = body["choices"][0];
  choice["index"] = 0;
  choice["finish_reason"] = FinishReason(end);
  if (chat) {
    choice["message"]["role"] = "assistant";
    choice["message"]["content"] = text;
  } else {
    choice["text"] = text;
  }
  body["usage"] = MakeUsage(end);
  return impl::WriteJson(body);
}

std::string ModelList(const std::vector<std::string>& names) {
  Json::Value body;
  body["object"] = "list";
  body["data"] = Json::Value(Json::arrayValue);
  for (const std::string& name : names) {
    Json::Value model;
    model["id"] = name;
    model["object"] = "model";
    body["data"].append(std::move(model));
  }
  return impl::WriteJson(body);
}

std::string ErrorEvent(const CallerError& error, const common::RequestId& request) {
  return "event: error\ndata: " + ToJson(error, request) + "\n\n";
}

}  // namespace briarwood::requests
