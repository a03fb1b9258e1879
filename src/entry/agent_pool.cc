#include "entry/impl/agent_pool.h"

#include <utility>

#include "briarwood/requests/run_codec.h"

namespace briarwood::entry::impl {
namespace {

// Longer than the agent's timeout for its backend server, so that the agent reports the error.
constexpr std::chrono::milliseconds kAgentIdleTimeout{125'000};

}  // namespace

std::shared_ptr<http::Call> AgentPool::Dispatch(const std::string& address,
                                                const schema::RunRequest& request,
                                                http::CallHandlers handlers) {
  const std::shared_ptr<http::Client> client = ClientOf(address);
  std::string body = requests::EncodeRunRequest(request);
  if (request.repeatable()) {
    return client->Send("POST", "/internal/run", MakeHeaders(), std::move(body),
                        std::move(handlers));
  }
  return client->SendOnNewConnection("POST", "/internal/run", MakeHeaders(), std::move(body),
                                     std::move(handlers));
}

void AgentPool::Cancel(const std::string& address, const schema::CancelRequest& request) {
  ClientOf(address)->Send("POST", "/internal/cancel", MakeHeaders(),
                          requests::EncodeCancelRequest(request), {});
}

std::shared_ptr<http::Client> AgentPool::ClientOf(const std::string& address) {
  const std::lock_guard lock(mutex_);
  std::shared_ptr<http::Client>& client = clients_[address];
  if (!client) {
    client = std::make_shared<http::Client>(
        http::ClientOptions{.base_url = (ca_file_.empty() ? "http://" : "https://") + address,
                            .timeout = kAgentIdleTimeout,
                            .ca_file = ca_file_});
  }
  return client;
}

http::Headers AgentPool::MakeHeaders() const {
  return {{"Content-Type", "application/json"}, {"Briarwood-Fleet-Credential", credential_}};
}

}  // namespace briarwood::entry::impl
