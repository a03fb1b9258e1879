#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "briarwood/common/ids.h"
#include "briarwood/common/time.h"
#include "briarwood/forwarding/event_splitter.h"
#include "briarwood/forwarding/wire_codec.h"
#include "briarwood/http/outgoing.h"
#include "briarwood/routing/engine_division.h"
#include "fleet.pb.h"
#include "forwarding/impl/buffered_body.h"

namespace briarwood::forwarding::impl {

/// State of one attempt at a backend server.
struct Attempt {
  /// Distinguishes the attempts of one request.
  std::uint64_t number = 0;
  common::BackendServerId backend_server;
  /// Identifies the server process that the attempt was sent to, see Forwarder::LifetimeOf.
  std::string server_lifetime;
  /// Software version of the server when the attempt was sent; empty if unknown.
  std::string server_version;
  common::Tier tier;
  common::Time started_at;
  /// Time of the last progress: the start of the attempt, its response or a whole new event. Other
  /// bytes are no progress, since a stalled server may send some now and then.
  common::Time progress_at;
  /// Time of the last event of the stream, or of the start of the response.
  common::Time last_event_at;
  double work = 1;
  /// Work, see QueuedRequest::work, that counts against the service's prompt limit until the first
  /// event of the attempt.
  double prompt_work = 0;
  /// Side of the engines whose prompt limit `prompt_work` counts against.
  routing::EngineSide side = routing::EngineSide::kAny;
  std::shared_ptr<http::OutgoingConnection> connection;
  http::ResponseHead head;
  ResponseMetadata facts;
  bool has_head = false;
  /// Time of the head, if the response may be passed on to the caller.
  std::optional<common::Time> began_at;
  /// The connection has served a previous request.
  bool reused_connection = false;
  BufferedBody body;
  EventSplitter events;
  /// Whole events that are part of the response.
  std::uint64_t event_count = 0;
  bool streaming = false;
  /// Reading waits for the caller, which reads more slowly than the server sends.
  bool paused = false;
  /// The response has started; for a stream, its first event has arrived.
  bool has_progress = false;

  /// True if the next part of the response is to arrive, unless its server has rejected the
  /// request.
  [[nodiscard]] bool IsExpectingProgress() const { return has_head == streaming && !paused; }
  /// True if the server owes the next part of a response on `route` and nothing has arrived for a
  /// multiple of the route's target: of that for the first event, or, after the first event of a
  /// stream, of that for the gap between events.
  [[nodiscard]] bool IsStalled(const schema::ForwardRoute& route, common::Time now) const;
};

/// \returns the time without a first event after which an attempt on `route` is stalled.
[[nodiscard]] common::Duration FirstEventStallTimeout(const schema::ForwardRoute& route);

}  // namespace briarwood::forwarding::impl
