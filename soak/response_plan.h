#pragma once

#include <chrono>
#include <string>

namespace briarwood::soak {

/// Shape of the response to one request; the same ids always give the same shape.
struct ResponsePlan {
  /// Delay before a plain response or before the first event of a stream.
  std::chrono::milliseconds processing_delay{20};
  std::chrono::milliseconds event_interval{25};
  /// Number of the event before which the server is silent; 0 if it is never silent.
  int silent_before = 0;
  /// Length of that silence, and of the one that FakeBackend::SetQuiet causes.
  std::chrono::milliseconds silence{0};
  /// The response has neither a length nor chunks and ends with its connection.
  bool until_close = false;
};

/// \returns the number of events in a complete stream; a share of the streams takes 3 to 6 s.
[[nodiscard]] int EventCount(const std::string& request_id);
/// \param server  id of the backend server, so that a second run has another shape
[[nodiscard]] ResponsePlan PlanResponse(const std::string& request_id, const std::string& server);

}  // namespace briarwood::soak
