#include "briarwood/distribution/engine_divisions.h"

#include <chrono>

namespace briarwood::distribution {
namespace {

using std::chrono::milliseconds;

schema::EngineDivision ToMessage(const std::string& service,
                                 const routing::EngineDivision& division) {
  schema::EngineDivision message;
  message.set_service(service);
  message.set_stream_engines(division.stream_engines);
  message.set_draining_engines(division.draining_engines);
  message.set_max_gap_target_ms(static_cast<std::uint32_t>(division.max_gap_target.count()));
  return message;
}

routing::EngineDivision ReadDivision(const schema::EngineDivision& message) {
  return {.stream_engines = message.stream_engines(),
          .draining_engines = message.draining_engines(),
          .max_gap_target = milliseconds(message.max_gap_target_ms())};
}

}  // namespace

void AddStreams(const std::map<std::string, routing::ServiceStreams>& streams,
                schema::Heartbeat& heartbeat) {
  for (const auto& [service, item] : streams) {
    schema::StreamDemand& message = *heartbeat.add_streams();
    message.set_service(service);
    message.set_engines(item.engines);
    message.set_slots(item.slots);
    message.set_failure_domains(item.failure_domains);
    if (item.division.active()) *message.mutable_division() = ToMessage(service, item.division);
    for (const routing::GapClass& gap_class : item.classes) {
      schema::GapClassDemand& demand = *message.add_classes();
      demand.set_gap_target_ms(static_cast<std::uint32_t>(gap_class.gap_target.count()));
      demand.set_open(gap_class.open);
      demand.set_ended(gap_class.ended);
      demand.set_late(gap_class.late);
    }
  }
}

routing::ServiceStreams ReadStreams(const schema::StreamDemand& message) {
  routing::ServiceStreams streams{.engines = message.engines(),
                                  .slots = message.slots(),
                                  .failure_domains = message.failure_domains(),
                                  .classes = {},
                                  .division = ReadDivision(message.division())};
  for (const schema::GapClassDemand& item : message.classes()) {
    streams.classes.push_back({.gap_target = milliseconds(item.gap_target_ms()),
                               .open = item.open(),
                               .ended = item.ended(),
                               .late = item.late()});
  }
  return streams;
}

google::protobuf::RepeatedPtrField<schema::EngineDivision> ToMessages(
    const std::map<std::string, routing::EngineDivision>& divisions) {
  google::protobuf::RepeatedPtrField<schema::EngineDivision> messages;
  for (const auto& [service, division] : divisions) *messages.Add() = ToMessage(service, division);
  return messages;
}

std::map<std::string, routing::EngineDivision> ReadDivisions(
    const google::protobuf::RepeatedPtrField<schema::EngineDivision>& messages) {
  std::map<std::string, routing::EngineDivision> divisions;
  for (const schema::EngineDivision& message : messages) {
    const routing::EngineDivision division = ReadDivision(message);
    if (division.active()) divisions[message.service()] = division;
  }
  return divisions;
}

}  // namespace briarwood::distribution
