#include "briarwood/rpc/client.h"

#include <mutex>
#include <optional>
#include <utility>
#include <vector>

#include "briarwood/common/base64.h"
#include "rpc_connectors/connectors.h"

namespace briarwood::rpc {

class Client::Impl {
 public:
  explicit Impl(const ClientOptions& options)
      : options_{.url = (options.ca_file.empty() ? "http://" : "https://") + options.address,
                 .credential = options.credential,
                 .ca_file = options.ca_file,
                 .timeout_ms = options.timeout.count()} {}

  std::string Call(const std::string& method, const std::string& payload, std::int64_t timeout_ms) {
    std::unique_ptr<rpc_connectors::JsonRpcClient> client = Take();
    std::string response_payload = client->Call(method, payload, timeout_ms);
    // If the call fails, the client is destroyed with its connection.
    const std::lock_guard lock(mutex_);
    idle_.push_back(std::move(client));
    return response_payload;
  }

 private:
  std::unique_ptr<rpc_connectors::JsonRpcClient> Take() {
    const std::lock_guard lock(mutex_);
    if (idle_.empty()) return rpc_connectors::JsonRpcClient::Create(options_);
    std::unique_ptr<rpc_connectors::JsonRpcClient> client = std::move(idle_.back());
    idle_.pop_back();
    return client;
  }

  rpc_connectors::ClientOptions options_;
  std::mutex mutex_;
  std::vector<std::unique_ptr<rpc_connectors::JsonRpcClient>> idle_;
};

Client::Client(ClientOptions options)
    : options_(std::move(options)), impl_(std::make_unique<Impl>(options_)) {}

Client::~Client() = default;

void Client::CallRaw(const std::string& method, const std::string& request,
                     std::chrono::milliseconds timeout, google::protobuf::MessageLite& response) {
  std::optional<std::string> payload;
  try {
    payload =
        common::DecodeBase64(impl_->Call(method, common::EncodeBase64(request), timeout.count()));
  } catch (const rpc_connectors::ConnectorError& error) {
    throw RpcError(error.what(), error.sent(), error.refused());
  }
  if (!payload || !response.ParseFromString(*payload)) {
    throw RpcError("response to \"" + method + "\" is not a valid " + response.GetTypeName(), true);
  }
}

}  // namespace briarwood::rpc
