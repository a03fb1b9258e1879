#include "briarwood/http/blocking_call.h"

#include <memory>
#include <optional>
#include <utility>

#include "briarwood/http/outgoing.h"

namespace briarwood::http {
namespace {

std::string Describe(CallEnd end) {
  switch (end) {
    case CallEnd::kComplete:
      return "the response is complete";
    case CallEnd::kNotSent:
      return "the connection was refused or not established in time";
    case CallEnd::kNoResponse:
      return "the connection ended without a response";
    case CallEnd::kCutShort:
      return "the connection ended during the response";
    case CallEnd::kInvalid:
      return "the response is not valid HTTP";
    case CallEnd::kOversized:
      return "the response exceeds a limit";
  }
  return "unknown result";
}

}  // namespace

common::Result<CallResponse> CallAndWait(const std::string& address, const RequestHead& head,
                                         std::string body, std::chrono::milliseconds timeout,
                                         std::size_t max_response_bytes) {
  using CallResult = common::Result<CallResponse>;
  const std::optional<Endpoint> endpoint = ParseEndpoint(address);
  if (!endpoint) return CallResult::Failure("\"" + address + "\" is not of the form ip:port");
  EventLoop loop(1);
  const auto connection = OutgoingConnection::Create(loop, *endpoint);
  CallResponse response;
  std::optional<CallEnd> ended;
  const std::size_t body_bytes = body.size();
  const bool has_body = body_bytes > 0 || head.method == "POST";
  connection->Send(SerializeRequest(head, body_bytes, has_body),
                   std::make_shared<const std::string>(std::move(body)), timeout,
                   {.on_head =
                        [&](const ResponseHead& received) {
                          response.head = received;
                          return true;
                        },
                    .on_data =
                        [&](std::string_view data) {
                          if (response.body.size() + data.size() <= max_response_bytes) {
                            response.body += data;
                            return;
                          }
                          ended = CallEnd::kOversized;
                          connection->Close();
                        },
                    .on_end = [&](CallEnd end) { ended = end; }});
  const common::Time deadline = common::BootClock::now() + timeout;
  while (!ended && common::BootClock::now() < deadline) {
    if (loop.run_one_for(deadline - common::BootClock::now()) == 0 && loop.stopped()) {
      loop.restart();
    }
  }
  connection->Close();
  loop.restart();
  loop.poll();
  if (!ended) return CallResult::Failure("no response in time");
  if (*ended != CallEnd::kComplete) return CallResult::Failure(Describe(*ended));
  return CallResult::Success(std::move(response));
}

}  // namespace briarwood::http
