#pragma once

#include <google/protobuf/message.h>

#include <string>

namespace briarwood::control::impl {

enum class JsonStyle {
  /// Includes fields with default values, so that scripts can rely on their presence.
  kComplete,
  /// Omits fields with default values.
  kCompact,
};

[[nodiscard]] std::string ToJson(const google::protobuf::Message& message,
                                 JsonStyle style = JsonStyle::kComplete);

/// Throws AdminFailure (400 `bad_request`) if the text is not valid JSON for the message or has
/// unknown fields.
void FromJson(const std::string& text, google::protobuf::Message& message);

}  // namespace briarwood::control::impl
