#include "briarwood/settings/toml_reader.h"

#include <google/protobuf/descriptor.h>
#include <toml++/toml.h>

#include <algorithm>
#include <cmath>
#include <limits>
#include <sstream>

#include "settings/impl/text.h"

namespace briarwood::settings {
namespace {

using google::protobuf::Descriptor;
using google::protobuf::EnumDescriptor;
using google::protobuf::EnumValueDescriptor;
using google::protobuf::FieldDescriptor;
using google::protobuf::Message;
using google::protobuf::Reflection;

std::string Describe(const toml::node& node) {
  switch (node.type()) {
    case toml::node_type::table:
      return "a table";
    case toml::node_type::array:
      return "an array";
    case toml::node_type::string:
      return impl::Quote(node.as_string()->get());
    case toml::node_type::integer:
      return std::to_string(node.as_integer()->get());
    case toml::node_type::boolean:
      return node.as_boolean()->get() ? "true" : "false";
    case toml::node_type::floating_point: {
      std::ostringstream out;
      out << node.as_floating_point()->get();
      return out.str();
    }
    default:
      return "a date or time";
  }
}

/// Names of the values of an enum in TOML: lower case, without the prefix of the enum.
class EnumNames {
 public:
  explicit EnumNames(const EnumDescriptor& type) : type_(type) {
    constexpr std::string_view kUnset = "UNSPECIFIED";
    const std::string& first = type.value(0)->name();
    if (first.ends_with(kUnset)) prefix_ = first.substr(0, first.size() - kUnset.size());
  }

  [[nodiscard]] const EnumValueDescriptor* Find(std::string_view name) const {
    for (int i = 1; i < type_.value_count(); ++i) {
      if (ShortName(*type_.value(i)) == name) return type_.value(i);
    }
    return nullptr;
  }

  [[nodiscard]] std::string Expected() const {
    std::vector<std::string> names;
    for (int i = 1; i < type_.value_count(); ++i) {
      names.push_back(impl::Quote(ShortName(*type_.value(i))));
    }
    return impl::OneOf(names);
  }

 private:
  [[nodiscard]] std::string ShortName(const EnumValueDescriptor& value) const {
    std::string name = value.name().substr(prefix_.size());
    std::transform(name.begin(), name.end(), name.begin(),
                   [](char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c + 32) : c; });
    return name;
  }

  const EnumDescriptor& type_;
  std::string prefix_;
};

class Reader {
 public:
  Reader(const std::string& file_name, LineMap* lines) : file_name_(file_name), lines_(lines) {}

  void ReadTable(const toml::table& table, const std::string& path, Message& message) {
    const Descriptor& type = *message.GetDescriptor();
    for (const auto& [key, node] : table) {
      const std::string name(key.str());
      std::string key_path = path;
      if (!path.empty()) key_path += '.';
      key_path += name;
      const std::uint32_t line = key.source().begin.line;
      if (lines_ != nullptr) (*lines_)[key_path] = line;
      const FieldDescriptor* field = type.FindFieldByName(name);
      if (field == nullptr) {
        Report(line, path, "unknown key " + impl::Quote(name), KnownKeys(type));
      } else if (field->is_repeated()) {
        ReadArray(node, key_path, *field, message);
      } else {
        ReadValue(node, key_path, *field, message);
      }
    }
  }

  void Report(std::uint32_t line, const std::string& key, std::string found, std::string expected) {
    if (problems_.size() >= kMaxProblems) return;
    problems_.push_back({file_name_, line, key, std::move(found), std::move(expected)});
  }

  [[nodiscard]] std::vector<Problem> TakeProblems() {
    std::stable_sort(problems_.begin(), problems_.end(),
                     [](const Problem& a, const Problem& b) { return a.line < b.line; });
    return std::move(problems_);
  }

 private:
  static std::string KnownKeys(const Descriptor& type) {
    std::vector<std::string> names;
    names.reserve(static_cast<std::size_t>(type.field_count()));
    for (int i = 0; i < type.field_count(); ++i) names.push_back(type.field(i)->name());
    return impl::OneOf(names);
  }

  void ReportMismatch(const toml::node& node, const std::string& path, std::string expected) {
    Report(node.source().begin.line, path, Describe(node), std::move(expected));
  }

  void ReadArray(const toml::node& node, const std::string& path, const FieldDescriptor& field,
                 Message& message) {
    const toml::array* array = node.as_array();
    if (array == nullptr) {
      const bool of_tables = field.cpp_type() == FieldDescriptor::CPPTYPE_MESSAGE;
      ReportMismatch(node, path,
                     of_tables ? "an array of tables ([[" + field.name() + "]])" : "an array");
      return;
    }
    for (std::size_t i = 0; i < array->size(); ++i) {
      const toml::node& element = (*array)[i];
      const std::string element_path = path + "[" + std::to_string(i) + "]";
      if (lines_ != nullptr) (*lines_)[element_path] = element.source().begin.line;
      ReadValue(element, element_path, field, message);
    }
  }

  void ReadValue(const toml::node& node, const std::string& path, const FieldDescriptor& field,
                 Message& message) {
    switch (field.cpp_type()) {
      case FieldDescriptor::CPPTYPE_MESSAGE:
        return ReadMessage(node, path, field, message);
      case FieldDescriptor::CPPTYPE_STRING:
        return ReadString(node, path, field, message);
      case FieldDescriptor::CPPTYPE_BOOL:
        return ReadBool(node, path, field, message);
      case FieldDescriptor::CPPTYPE_DOUBLE:
        return ReadDouble(node, path, field, message);
      case FieldDescriptor::CPPTYPE_ENUM:
        return ReadEnum(node, path, field, message);
      case FieldDescriptor::CPPTYPE_UINT32:
      case FieldDescriptor::CPPTYPE_UINT64:
        return ReadUnsigned(node, path, field, message);
      default:
        // The schema of documents uses no other types; a type that it starts to use has to be added
        // here.
        ReportMismatch(node, path,
                       std::string("no value, as type ") + field.cpp_type_name() +
                           " cannot be written in TOML");
    }
  }

  void ReadMessage(const toml::node& node, const std::string& path, const FieldDescriptor& field,
                   Message& message) {
    const toml::table* table = node.as_table();
    if (table == nullptr) return ReportMismatch(node, path, "a table");
    const Reflection& reflection = *message.GetReflection();
    Message& child = field.is_repeated() ? *reflection.AddMessage(&message, &field)
                                         : *reflection.MutableMessage(&message, &field);
    ReadTable(*table, path, child);
  }

  void ReadString(const toml::node& node, const std::string& path, const FieldDescriptor& field,
                  Message& message) {
    const auto* value = node.as_string();
    if (value == nullptr) return ReportMismatch(node, path, "a string");
    const Reflection& reflection = *message.GetReflection();
    if (field.is_repeated()) {
      reflection.AddString(&message, &field, value->get());
    } else {
      reflection.SetString(&message, &field, value->get());
    }
  }

  void ReadBool(const toml::node& node, const std::string& path, const FieldDescriptor& field,
                Message& message) {
    const auto* value = node.as_boolean();
    if (value == nullptr) return ReportMismatch(node, path, "true or false");
    const Reflection& reflection = *message.GetReflection();
    if (field.is_repeated()) {
      reflection.AddBool(&message, &field, value->get());
    } else {
      reflection.SetBool(&message, &field, value->get());
    }
  }

  void ReadDouble(const toml::node& node, const std::string& path, const FieldDescriptor& field,
                  Message& message) {
    const std::optional<double> value =
        node.is_number() ? node.value<double>() : std::optional<double>();
    if (!value || !std::isfinite(*value)) return ReportMismatch(node, path, "a finite number");
    const Reflection& reflection = *message.GetReflection();
    if (field.is_repeated()) {
      reflection.AddDouble(&message, &field, *value);
    } else {
      reflection.SetDouble(&message, &field, *value);
    }
  }

  void ReadEnum(const toml::node& node, const std::string& path, const FieldDescriptor& field,
                Message& message) {
    const EnumNames names(*field.enum_type());
    const auto* text = node.as_string();
    const EnumValueDescriptor* value = text == nullptr ? nullptr : names.Find(text->get());
    if (value == nullptr) return ReportMismatch(node, path, names.Expected());
    const Reflection& reflection = *message.GetReflection();
    if (field.is_repeated()) {
      reflection.AddEnum(&message, &field, value);
    } else {
      reflection.SetEnum(&message, &field, value);
    }
  }

  void ReadUnsigned(const toml::node& node, const std::string& path, const FieldDescriptor& field,
                    Message& message) {
    const bool is_64_bit = field.cpp_type() == FieldDescriptor::CPPTYPE_UINT64;
    // TOML integers are signed 64-bit numbers.
    const std::int64_t limit = is_64_bit ? std::numeric_limits<std::int64_t>::max()
                                         : std::int64_t{std::numeric_limits<std::uint32_t>::max()};
    const auto* number = node.as_integer();
    if (number == nullptr || number->get() < 0 || number->get() > limit) {
      return ReportMismatch(node, path, "an integer from 0 to " + std::to_string(limit));
    }
    StoreUnsigned(static_cast<std::uint64_t>(number->get()), field, message);
  }

  static void StoreUnsigned(std::uint64_t value, const FieldDescriptor& field, Message& message) {
    const Reflection& reflection = *message.GetReflection();
    const auto narrow = static_cast<std::uint32_t>(value);
    if (field.cpp_type() == FieldDescriptor::CPPTYPE_UINT64) {
      field.is_repeated() ? reflection.AddUInt64(&message, &field, value)
                          : reflection.SetUInt64(&message, &field, value);
    } else {
      field.is_repeated() ? reflection.AddUInt32(&message, &field, narrow)
                          : reflection.SetUInt32(&message, &field, narrow);
    }
  }

  const std::string& file_name_;
  LineMap* lines_;
  std::vector<Problem> problems_;
};

}  // namespace

std::vector<Problem> ReadTomlInto(const std::string& file_name, std::string_view text,
                                  Message& message, LineMap* lines) {
  Reader reader(file_name, lines);
  if (text.size() > kMaxDocumentBytes) {
    reader.Report(0, "", std::to_string(text.size()) + " bytes",
                  "at most " + std::to_string(kMaxDocumentBytes) + " bytes");
    return reader.TakeProblems();
  }
  try {
    reader.ReadTable(toml::parse(text, file_name), "", message);
  } catch (const toml::parse_error& error) {
    reader.Report(error.source().begin.line, "", impl::Clip(std::string(error.description())),
                  "valid TOML");
  }
  return reader.TakeProblems();
}

}  // namespace briarwood::settings
