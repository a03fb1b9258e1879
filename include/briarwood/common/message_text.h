#pragma once

#include <google/protobuf/message.h>

#include <string>
#include <string_view>
#include <vector>

namespace briarwood::common {

/// \returns the paths of the fields, such as "customers[2].id", whose text is not UTF-8. Protobuf
///   serializes such a message but does not parse it.
[[nodiscard]] std::vector<std::string> InvalidTextFields(const google::protobuf::Message& message);

/// True if the serialized message can be parsed and is equal to it.
[[nodiscard]] bool IsReadable(const google::protobuf::Message& message);

/// Parses a message. In text that is not UTF-8, each invalid byte is replaced by its escape, such
/// as "\xed", so that different texts stay different and the rest of the message is kept.
/// \param repaired  receives the paths of the fields that were changed
/// \returns false if the bytes are not a message of this type.
[[nodiscard]] bool ParseRepairing(std::string_view bytes, google::protobuf::Message& message,
                                  std::vector<std::string>& repaired);

}  // namespace briarwood::common
