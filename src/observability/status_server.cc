#include "briarwood/observability/status_server.h"

#include <utility>

#include "briarwood/http/server.h"

namespace briarwood::observability {
namespace {

http::Response MakeResponse(http::Status status, std::string body) {
  return {.status = http::ToNumber(status),
          .headers = {{"Content-Type", "text/plain; version=0.0.4"}},
          .body = std::move(body)};
}

http::Response MakeStatusResponse(const std::string& path, const Metrics& metrics, bool ready) {
  if (path == "/metrics") return MakeResponse(http::Status::kOk, metrics.Render());
  if (path == "/healthz") return MakeResponse(http::Status::kOk, "ok\n");
  if (path != "/readyz") return MakeResponse(http::Status::kNotFound, "no such path\n");
  return ready ? MakeResponse(http::Status::kOk, "ready\n")
               : MakeResponse(http::Status::kUnavailable, "not ready\n");
}

}  // namespace

StatusServer::StatusServer(std::unique_ptr<http::Server> server) : server_(std::move(server)) {}

StatusServer::~StatusServer() = default;

common::Result<std::unique_ptr<StatusServer>> StatusServer::Start(const std::string& listen,
                                                                  const Metrics& metrics,
                                                                  std::function<bool()> ready) {
  using StartResult = common::Result<std::unique_ptr<StatusServer>>;
  auto server = http::Server::Start(
      {.listen = listen},
      [&metrics, ready = std::move(ready)](const std::shared_ptr<http::Exchange>& exchange) {
        exchange->Respond(MakeStatusResponse(exchange->request().path, metrics, ready()));
      });
  if (!server.ok()) return StartResult::Failure(server.error());
  return StartResult::Success(
      std::unique_ptr<StatusServer>(new StatusServer(std::move(server).value())));
}

std::uint16_t StatusServer::port() const noexcept { return server_->port(); }

}  // namespace briarwood::observability
