#include "usage/impl/report.h"

#include <jsoncpp/json/json.h>

namespace briarwood::usage {
namespace {

Json::Value ToJson(const schema::UsageLine& line) {
  Json::Value json;
  json["customer"] = line.customer();
  json["class"] = line.class_();
  json["model"] = line.model();
  json["input_tokens"] = Json::UInt64{line.input_tokens()};
  json["output_tokens"] = Json::UInt64{line.output_tokens()};
  json["calls"] = Json::UInt64{line.calls()};
  json["late_input_tokens"] = Json::UInt64{line.late_input_tokens()};
  json["late_output_tokens"] = Json::UInt64{line.late_output_tokens()};
  json["late_calls"] = Json::UInt64{line.late_calls()};
  return json;
}

}  // namespace

std::string MakeReport(const schema::UsageWindow& window) {
  Json::Value json;
  json["window"] = Json::UInt64{window.id()};
  json["start_unix_ms"] = Json::UInt64{window.start_unix_ms()};
  json["end_unix_ms"] = Json::UInt64{window.end_unix_ms()};
  json["lines"] = Json::Value(Json::arrayValue);
  for (const schema::UsageLine& line : window.lines()) json["lines"].append(ToJson(line));
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  return Json::writeString(builder, json);
}

}  // namespace briarwood::usage
