#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "briarwood/http/client.h"
#include "briarwood/requests/engine_protocol.h"
#include "fleet.pb.h"

namespace briarwood::agent::impl {

/// Events for the entry that follow from a part of the backend server's response.
struct ResponseEvents {
  /// Without request id, entry incarnation and attempt, which Run sets.
  std::vector<schema::RunEvent> events;
  /// The last event is an end or error event; the rest of the response is ignored.
  bool ended = false;
};

/// Translates the completion stream of a model engine into events.
class EngineResponse {
 public:
  explicit EngineResponse(std::uint64_t resume_from) : stream_(resume_from) {}

  [[nodiscard]] ResponseEvents OnHead(std::uint16_t status, const std::string& content_type);
  [[nodiscard]] ResponseEvents OnData(std::string_view data);
  [[nodiscard]] ResponseEvents OnEnd(const http::CallOutcome& outcome);

 private:
  requests::EngineStream stream_;
  bool any_token_ = false;
};

/// Collects the answer of a plain service into one event.
class ServiceResponse {
 public:
  [[nodiscard]] ResponseEvents OnHead(std::uint16_t status, const std::string& content_type);
  [[nodiscard]] ResponseEvents OnData(std::string_view data);
  [[nodiscard]] ResponseEvents OnEnd(const http::CallOutcome& outcome);

 private:
  schema::StoredAnswer answer_;
};

using BackendResponse = std::variant<EngineResponse, ServiceResponse>;

[[nodiscard]] schema::RunEvent MakeErrorEvent(schema::RunErrorCode code, schema::RunState run,
                                              const std::string& message);

}  // namespace briarwood::agent::impl
