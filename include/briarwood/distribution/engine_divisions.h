#pragma once

#include <google/protobuf/repeated_field.h>

#include <map>
#include <string>

#include "briarwood/routing/division_planner.h"
#include "fleet.pb.h"

/// Messages about the division of engines, see routing::DivisionPlanner.
namespace briarwood::distribution {

/// Adds the streams of an entry to its heartbeat.
void AddStreams(const std::map<std::string, routing::ServiceStreams>& streams,
                schema::Heartbeat& heartbeat);
[[nodiscard]] routing::ServiceStreams ReadStreams(const schema::StreamDemand& message);

[[nodiscard]] google::protobuf::RepeatedPtrField<schema::EngineDivision> ToMessages(
    const std::map<std::string, routing::EngineDivision>& divisions);
[[nodiscard]] std::map<std::string, routing::EngineDivision> ReadDivisions(
    const google::protobuf::RepeatedPtrField<schema::EngineDivision>& messages);

}  // namespace briarwood::distribution
