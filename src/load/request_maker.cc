#include "load/impl/request_maker.h"

#include <jsoncpp/json/json.h>

#include "briarwood/common/digest.h"

namespace briarwood::load::impl {
namespace {

std::string MakePrompt(const LoadOptions& options, std::uint64_t number) {
  std::string prompt = "request " + std::to_string(options.seed) + " " + std::to_string(number);
  for (std::uint64_t i = 3; i < options.prompt_words; ++i) {
    prompt += " w" + std::to_string(common::Hash64(prompt, i) % 1000);
  }
  return prompt;
}

}  // namespace

LoadRequest MakeRequest(const LoadOptions& options, std::uint64_t number) {
  LoadRequest request;
  request.headers["Content-Type"] = "application/json";
  if (!options.key.empty()) request.headers["Authorization"] = "Bearer " + options.key;
  Json::Value body;
  if (options.kind == RequestKind::kStream) {
    request.path = "/v1/completions";
    body["prompt"] = MakePrompt(options, number);
    body["max_tokens"] = Json::UInt64{options.max_tokens};
    body["stream"] = true;
    if (!options.model.empty()) body["model"] = options.model;
    if (!options.request_class.empty()) body["class"] = options.request_class;
  } else {
    request.path = options.path;
    request.headers["Idempotency-Key"] =
        "load-" + std::to_string(options.seed) + "-" + std::to_string(number);
    body["slot"] = Json::UInt64{number};
  }
  Json::StreamWriterBuilder writer;
  writer["indentation"] = "";
  request.body = Json::writeString(writer, body);
  return request;
}

}  // namespace briarwood::load::impl
