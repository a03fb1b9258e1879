#include <arpa/inet.h>
#include <jsonrpccpp/common/exception.h>
#include <jsonrpccpp/server/abstractserver.h>
#include <jsonrpccpp/server/abstractserverconnector.h>
#include <microhttpd.h>
#include <netinet/in.h>

#include <cstring>
#include <mutex>
#include <utility>

#include "rpc_connectors/connectors.h"
#include "rpc_connectors/handler_pool.h"

namespace briarwood {
namespace rpc_connectors {
namespace {

constexpr unsigned kConnectionTimeoutSeconds = 60;
constexpr unsigned kMaxConnections = 4096;
/// Maximum concurrent handlers, far more than the calls that members and entries keep open.
constexpr std::size_t kMaxHandlerThreads = 512;
constexpr char kBearerPrefix[] = "Bearer ";

struct PendingRequest {
  std::string body;
  std::string response;
  bool too_large = false;
  bool handled = false;
};

bool EqualConstantTime(const std::string& left, const std::string& right) {
  unsigned difference = left.size() == right.size() ? 0 : 1;
  for (std::size_t i = 0; i < left.size() && i < right.size(); ++i) {
    difference |= static_cast<unsigned char>(left[i]) ^ static_cast<unsigned char>(right[i]);
  }
  return difference == 0;
}

sockaddr_in ToSocketAddress(const ServerOptions& options) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(options.port);
  if (inet_pton(AF_INET, options.address.c_str(), &address.sin_addr) != 1) {
    throw ConnectorError("invalid listen address \"" + options.address + "\"", false);
  }
  return address;
}

/// Connector that binds one IP address, checks the credential and limits the size of request
/// bodies. Replaces the connector of libjsonrpccpp, which binds all interfaces and does neither.
class HttpConnector : public jsonrpc::AbstractServerConnector {
 public:
  explicit HttpConnector(const ServerOptions& options)
      : options_(options), handlers_(kMaxHandlerThreads) {}
  ~HttpConnector() override { StopListening(); }

  bool StartListening() override {
    sockaddr_in address = ToSocketAddress(options_);
    unsigned flags = MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME;
    MHD_OptionItem tls[] = {
        {MHD_OPTION_END, 0, nullptr}, {MHD_OPTION_END, 0, nullptr}, {MHD_OPTION_END, 0, nullptr}};
    if (!options_.tls.certificate.empty()) {
      flags |= MHD_USE_TLS;
      tls[0] = {MHD_OPTION_HTTPS_MEM_CERT, 0, &options_.tls.certificate[0]};
      tls[1] = {MHD_OPTION_HTTPS_MEM_KEY, 0, &options_.tls.private_key[0]};
    }
    daemon_ = MHD_start_daemon(
        flags, options_.port, nullptr, nullptr, &HttpConnector::Handle, this, MHD_OPTION_SOCK_ADDR,
        &address, MHD_OPTION_THREAD_POOL_SIZE, options_.threads, MHD_OPTION_CONNECTION_TIMEOUT,
        kConnectionTimeoutSeconds, MHD_OPTION_CONNECTION_LIMIT, kMaxConnections,
        MHD_OPTION_NOTIFY_COMPLETED, &HttpConnector::OnRequestCompleted, this, MHD_OPTION_ARRAY,
        tls, MHD_OPTION_END);
    return daemon_ != nullptr;
  }

  bool StopListening() override {
    if (daemon_ == nullptr) return true;
    // No connection may be suspended when MHD_stop_daemon is called.
    {
      const std::lock_guard<std::mutex> lock(submit_mutex_);
      stopping_ = true;
    }
    handlers_.Drain();
    MHD_stop_daemon(daemon_);
    daemon_ = nullptr;
    return true;
  }

  bool SendResponse(const std::string& response, void* info) override {
    static_cast<PendingRequest*>(info)->response = response;
    return true;
  }

  std::uint16_t port() const noexcept {
    const MHD_DaemonInfo* info = MHD_get_daemon_info(daemon_, MHD_DAEMON_INFO_BIND_PORT);
    return info == nullptr ? options_.port : info->port;
  }

 private:
  static MHD_Result Handle(void* self, MHD_Connection* connection, const char* /*url*/,
                           const char* method, const char* /*version*/, const char* data,
                           std::size_t* size, void** state) {
    return static_cast<HttpConnector*>(self)->HandlePart(connection, method, data, size, state);
  }

  static void OnRequestCompleted(void* /*self*/, MHD_Connection* /*connection*/, void** state,
                                 MHD_RequestTerminationCode /*code*/) {
    delete static_cast<PendingRequest*>(*state);
    *state = nullptr;
  }

  MHD_Result HandlePart(MHD_Connection* connection, const char* method, const char* data,
                        std::size_t* size, void** state) {
    if (*state == nullptr) {
      *state = new PendingRequest();
      return MHD_YES;
    }
    auto* pending = static_cast<PendingRequest*>(*state);
    if (*size != 0) {
      pending->too_large =
          pending->too_large || pending->body.size() + *size > options_.max_request_bytes;
      if (!pending->too_large) pending->body.append(data, *size);
      *size = 0;
      return MHD_YES;
    }
    if (std::strcmp(method, "POST") != 0) return Reply(connection, MHD_HTTP_METHOD_NOT_ALLOWED, "");
    if (!Authorized(connection)) return Reply(connection, MHD_HTTP_UNAUTHORIZED, "");
    if (pending->too_large) return Reply(connection, MHD_HTTP_CONTENT_TOO_LARGE, "");
    if (pending->handled) return Reply(connection, MHD_HTTP_OK, pending->response);
    return RunHandler(connection, pending);
  }

  // The handler may block, so it must not run on a thread that serves other connections.
  MHD_Result RunHandler(MHD_Connection* connection, PendingRequest* pending) {
    const std::lock_guard<std::mutex> lock(submit_mutex_);
    if (stopping_) return Reply(connection, MHD_HTTP_SERVICE_UNAVAILABLE, "");
    MHD_suspend_connection(connection);
    handlers_.Submit([this, connection, pending] {
      OnRequest(pending->body, pending);
      pending->handled = true;
      MHD_resume_connection(connection);
    });
    return MHD_YES;
  }

  bool Authorized(MHD_Connection* connection) const {
    if (options_.credential.empty()) return true;
    const char* header = MHD_lookup_connection_value(connection, MHD_HEADER_KIND, "Authorization");
    return header != nullptr && EqualConstantTime(header, kBearerPrefix + options_.credential);
  }

  static MHD_Result Reply(MHD_Connection* connection, unsigned status, const std::string& body) {
    MHD_Response* response = MHD_create_response_from_buffer(
        body.size(), const_cast<char*>(body.data()), MHD_RESPMEM_MUST_COPY);
    MHD_add_response_header(response, "Content-Type", "application/json");
    const MHD_Result result = MHD_queue_response(connection, status, response);
    MHD_destroy_response(response);
    return result;
  }

  ServerOptions options_;
  MHD_Daemon* daemon_ = nullptr;
  std::mutex submit_mutex_;
  bool stopping_ = false;
  HandlerPool handlers_;
};

class DispatchServer : public jsonrpc::AbstractServer<DispatchServer> {
 public:
  DispatchServer(HttpConnector& connector, Dispatch dispatch)
      : AbstractServer(connector, jsonrpc::JSONRPC_SERVER_V2), dispatch_(std::move(dispatch)) {
    bindAndAddMethod(
        jsonrpc::Procedure("call", jsonrpc::PARAMS_BY_NAME, jsonrpc::JSON_STRING, "method",
                           jsonrpc::JSON_STRING, "payload", jsonrpc::JSON_STRING, NULL),
        &DispatchServer::HandleCall);
  }

 private:
  void HandleCall(const Json::Value& parameters, Json::Value& result) {
    try {
      result = dispatch_(parameters["method"].asString(), parameters["payload"].asString());
    } catch (const std::exception& error) {
      throw jsonrpc::JsonRpcException(jsonrpc::Errors::ERROR_RPC_INTERNAL_ERROR, error.what());
    }
  }

  Dispatch dispatch_;
};

class HttpListener : public Listener {
 public:
  HttpListener(const ServerOptions& options, Dispatch dispatch)
      : connector_(options), server_(connector_, std::move(dispatch)) {
    if (!server_.StartListening()) {
      throw ConnectorError(
          "cannot listen on " + options.address + ":" + std::to_string(options.port), false);
    }
  }
  ~HttpListener() override { connector_.StopListening(); }

  std::uint16_t port() const noexcept override { return connector_.port(); }

 private:
  HttpConnector connector_;
  DispatchServer server_;
};

}  // namespace

std::unique_ptr<Listener> Listener::Start(const ServerOptions& options, Dispatch dispatch) {
  return std::unique_ptr<Listener>(new HttpListener(options, std::move(dispatch)));
}

}  // namespace rpc_connectors
}  // namespace briarwood
