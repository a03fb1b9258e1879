#include "control/impl/admin_json.h"

#include <google/protobuf/util/json_util.h>

#include "control/impl/admin_failure.h"

namespace briarwood::control::impl {

std::string ToJson(const google::protobuf::Message& message, JsonStyle style) {
  google::protobuf::util::JsonPrintOptions options;
  options.preserve_proto_field_names = true;
  options.always_print_primitive_fields = style == JsonStyle::kComplete;
  std::string text;
  const auto status = google::protobuf::util::MessageToJsonString(message, &text, options);
  if (!status.ok()) throw AdminFailure(500, "internal", "the answer is not valid UTF-8");
  return text + "\n";
}

void FromJson(const std::string& text, google::protobuf::Message& message) {
  const auto status =
      google::protobuf::util::JsonStringToMessage(text.empty() ? "{}" : text, &message);
  if (!status.ok()) {
    const std::string problem{status.message()};
    throw AdminFailure(400, "bad_request", "invalid body: " + problem);
  }
}

}  // namespace briarwood::control::impl
