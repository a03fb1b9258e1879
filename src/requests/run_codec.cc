#include "briarwood/requests/run_codec.h"

#include <google/protobuf/util/json_util.h>

namespace briarwood::requests {
namespace {

namespace json = google::protobuf::util;

std::string Encode(const google::protobuf::Message& message) {
  json::JsonPrintOptions options;
  options.preserve_proto_field_names = true;
  std::string text;
  // Printing cannot fail, as messages of this schema contain no Any and no required fields.
  static_cast<void>(json::MessageToJsonString(message, &text, options));
  return text;
}

template <typename Message>
std::optional<Message> Decode(std::string_view text) {
  json::JsonParseOptions options;
  // Newer peers may send fields that this version does not know.
  options.ignore_unknown_fields = true;
  Message message;
  if (!json::JsonStringToMessage({text.data(), text.size()}, &message, options).ok()) {
    return std::nullopt;
  }
  return message;
}

}  // namespace

std::string EncodeRunEvent(const schema::RunEvent& event) { return Encode(event) + '\n'; }

std::optional<schema::RunEvent> DecodeRunEvent(std::string_view line) {
  return Decode<schema::RunEvent>(line);
}

std::string EncodeRunRequest(const schema::RunRequest& request) { return Encode(request); }

std::optional<schema::RunRequest> DecodeRunRequest(std::string_view text) {
  return Decode<schema::RunRequest>(text);
}

std::string EncodeCancelRequest(const schema::CancelRequest& request) { return Encode(request); }

std::optional<schema::CancelRequest> DecodeCancelRequest(std::string_view text) {
  return Decode<schema::CancelRequest>(text);
}

}  // namespace briarwood::requests
