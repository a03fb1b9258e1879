#include "briarwood/common/message_text.h"

#include <google/protobuf/descriptor.h>
#include <google/protobuf/unknown_field_set.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <map>
#include <memory>
#include <optional>

#include "briarwood/common/utf8.h"

namespace briarwood::common {
namespace {

using google::protobuf::Descriptor;
using google::protobuf::FieldDescriptor;
using google::protobuf::Message;
using google::protobuf::Reflection;
using google::protobuf::UnknownField;
using google::protobuf::UnknownFieldSet;

std::string PathOf(const std::string& parent, const FieldDescriptor& field, int index) {
  std::string path = parent.empty() ? field.name() : parent + "." + field.name();
  if (field.is_repeated()) path.append("[").append(std::to_string(index)).append("]");
  return path;
}

void FindInvalidText(const Message& message, const std::string& path,
                     std::vector<std::string>& found) {
  const Reflection& reflection = *message.GetReflection();
  std::vector<const FieldDescriptor*> fields;
  reflection.ListFields(message, &fields);
  for (const FieldDescriptor* field : fields) {
    const int count = field->is_repeated() ? reflection.FieldSize(message, field) : 1;
    for (int i = 0; i < count; ++i) {
      if (field->type() == FieldDescriptor::TYPE_MESSAGE) {
        FindInvalidText(field->is_repeated() ? reflection.GetRepeatedMessage(message, field, i)
                                             : reflection.GetMessage(message, field),
                        PathOf(path, *field, i), found);
      } else if (field->type() == FieldDescriptor::TYPE_STRING) {
        const std::string text = field->is_repeated()
                                     ? reflection.GetRepeatedString(message, field, i)
                                     : reflection.GetString(message, field);
        if (!IsUtf8(text)) found.push_back(PathOf(path, *field, i));
      }
    }
  }
}

std::string EscapeInvalidBytes(std::string_view text) {
  std::string escaped;
  while (!text.empty()) {
    const std::size_t length = Utf8CharacterLength(text);
    if (length > 0) {
      escaped += text.substr(0, length);
    } else {
      constexpr std::size_t kEscapeLength = 5;
      std::array<char, kEscapeLength> escape{};
      std::snprintf(escape.data(), escape.size(), "\\x%02x",
                    static_cast<unsigned char>(text.front()));
      escaped += escape.data();
    }
    text.remove_prefix(std::max<std::size_t>(length, 1));
  }
  return escaped;
}

/// \returns the message with repaired text, or nothing if the bytes are not a sequence of fields.
std::optional<std::string> Repair(const std::string& bytes, const Descriptor& type,
                                  const std::string& path, std::vector<std::string>& repaired) {
  UnknownFieldSet fields;
  if (!fields.ParseFromString(bytes)) return std::nullopt;
  std::map<int, int> counts;
  for (int i = 0; i < fields.field_count(); ++i) {
    UnknownField& field = *fields.mutable_field(i);
    if (field.type() != UnknownField::TYPE_LENGTH_DELIMITED) continue;
    const FieldDescriptor* known = type.FindFieldByNumber(field.number());
    if (known == nullptr) continue;
    const std::string field_path = PathOf(path, *known, counts[field.number()]++);
    if (known->type() == FieldDescriptor::TYPE_MESSAGE) {
      auto inner = Repair(field.length_delimited(), *known->message_type(), field_path, repaired);
      if (!inner) return std::nullopt;
      field.set_length_delimited(*inner);
    } else if (known->type() == FieldDescriptor::TYPE_STRING && !IsUtf8(field.length_delimited())) {
      field.set_length_delimited(EscapeInvalidBytes(field.length_delimited()));
      repaired.push_back(field_path);
    }
  }
  std::string repaired_bytes;
  if (!fields.SerializeToString(&repaired_bytes)) return std::nullopt;
  return repaired_bytes;
}

}  // namespace

std::vector<std::string> InvalidTextFields(const Message& message) {
  std::vector<std::string> found;
  FindInvalidText(message, {}, found);
  return found;
}

bool IsReadable(const Message& message) {
  const std::string bytes = message.SerializeAsString();
  const std::unique_ptr<Message> copy(message.New());
  return copy->ParseFromString(bytes) && copy->SerializeAsString() == bytes;
}

bool ParseRepairing(std::string_view bytes, Message& message, std::vector<std::string>& repaired) {
  if (message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) return true;
  const auto repaired_bytes = Repair(std::string(bytes), *message.GetDescriptor(), {}, repaired);
  return repaired_bytes && message.ParseFromString(*repaired_bytes);
}

}  // namespace briarwood::common
