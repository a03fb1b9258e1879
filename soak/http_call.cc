#include "soak/http_call.h"

#include <memory>
#include <utility>

#include "briarwood/http/outgoing.h"

namespace briarwood::soak {
namespace {

struct PendingCall {
  explicit PendingCall(http::EventLoop& loop) : timer(loop) {}

  void End(bool complete) {
    if (!on_end) return;
    timer.cancel();
    connection->Close();
    std::exchange(on_end, nullptr)(complete ? std::optional<HttpResponse>(std::move(response))
                                            : std::nullopt);
  }

  std::shared_ptr<http::OutgoingConnection> connection;
  http::Timer timer;
  HttpResponse response;
  std::function<void(std::optional<HttpResponse>)> on_end;
};

}  // namespace

void CallOnce(http::EventLoop& loop, const std::string& address, const http::RequestHead& head,
              const std::string& body, std::chrono::milliseconds timeout,
              std::function<void(std::optional<HttpResponse> response)> on_end) {
  auto call = std::make_shared<PendingCall>(loop);
  call->on_end = std::move(on_end);
  call->connection = http::OutgoingConnection::Create(loop, *http::ParseEndpoint(address));
  call->timer.expires_after(timeout);
  call->timer.async_wait([call](const boost::system::error_code& error) {
    if (!error) call->End(/*complete=*/false);
  });
  call->connection->Send(
      http::SerializeRequest(head, body.size(), !body.empty()),
      std::make_shared<const std::string>(body), timeout,
      {.on_head =
           [call](const http::ResponseHead& received) {
             call->response.head = received;
             return true;
           },
       .on_data = [call](std::string_view data) { call->response.body += data; },
       .on_end = [call](http::CallEnd end) { call->End(end == http::CallEnd::kComplete); }});
}

}  // namespace briarwood::soak
