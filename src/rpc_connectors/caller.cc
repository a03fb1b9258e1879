#include <curl/curl.h>
#include <jsonrpccpp/client.h>
#include <jsonrpccpp/client/iclientconnector.h>

#include <cerrno>
#include <utility>

#include "rpc_connectors/connectors.h"

namespace briarwood {
namespace rpc_connectors {
namespace {

constexpr std::int64_t kHttpOk = 200;
constexpr std::size_t kMaxResponseBytes = std::size_t{256} * 1024 * 1024;

std::size_t AppendBody(char* data, std::size_t size, std::size_t count, void* target) {
  auto* body = static_cast<std::string*>(target);
  if (body->size() + size * count > kMaxResponseBytes) return 0;
  body->append(data, size * count);
  return size * count;
}

/// Connector over libcurl with a CA file, a credential and a timeout for each call. Replaces the
/// connector of libjsonrpccpp, for which no CA can be set.
class HttpConnector : public jsonrpc::IClientConnector {
 public:
  explicit HttpConnector(const ClientOptions& options)
      : options_(options), timeout_ms_(options.timeout_ms), curl_(curl_easy_init()) {
    if (curl_ == nullptr) throw ConnectorError("cannot create an HTTP client", false);
    headers_ = curl_slist_append(headers_, "Content-Type: application/json");
    // Without this, libcurl waits up to 1 s for "100 Continue" before it sends a large body.
    headers_ = curl_slist_append(headers_, "Expect:");
    if (!options_.credential.empty()) {
      headers_ =
          curl_slist_append(headers_, ("Authorization: Bearer " + options_.credential).c_str());
    }
  }
  HttpConnector(const HttpConnector&) = delete;
  HttpConnector& operator=(const HttpConnector&) = delete;
  ~HttpConnector() override {
    curl_slist_free_all(headers_);
    curl_easy_cleanup(curl_);
  }

  void set_timeout(std::int64_t timeout_ms) { timeout_ms_ = timeout_ms; }

  void SendRPCMessage(const std::string& message,
                      std::string& result) throw(jsonrpc::JsonRpcException) override {
    result.clear();
    sent_ = true;
    refused_ = false;
    curl_easy_setopt(curl_, CURLOPT_URL, options_.url.c_str());
    curl_easy_setopt(curl_, CURLOPT_HTTPHEADER, headers_);
    curl_easy_setopt(curl_, CURLOPT_POSTFIELDS, message.data());
    curl_easy_setopt(curl_, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(message.size()));
    curl_easy_setopt(curl_, CURLOPT_WRITEFUNCTION, &AppendBody);
    curl_easy_setopt(curl_, CURLOPT_WRITEDATA, &result);
    curl_easy_setopt(curl_, CURLOPT_TIMEOUT_MS,
                     static_cast<long>(timeout_ms_));  // NOLINT(google-runtime-int)
    curl_easy_setopt(curl_, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(curl_, CURLOPT_TCP_NODELAY, 1L);
    if (!options_.ca_file.empty()) {
      curl_easy_setopt(curl_, CURLOPT_CAINFO, options_.ca_file.c_str());
    }
    const CURLcode code = curl_easy_perform(curl_);
    if (code != CURLE_OK) {
      sent_ = code != CURLE_COULDNT_CONNECT && code != CURLE_PEER_FAILED_VERIFICATION &&
              code != CURLE_SSL_CONNECT_ERROR && code != CURLE_COULDNT_RESOLVE_HOST;
      long system_error = 0;  // NOLINT(google-runtime-int): type that libcurl writes
      curl_easy_getinfo(curl_, CURLINFO_OS_ERRNO, &system_error);
      refused_ = code == CURLE_COULDNT_CONNECT && system_error == ECONNREFUSED;
      throw jsonrpc::JsonRpcException(
          jsonrpc::Errors::ERROR_CLIENT_CONNECTOR,
          std::string("call to ") + options_.url + " failed: " + curl_easy_strerror(code));
    }
    long status = 0;  // NOLINT(google-runtime-int): type that libcurl writes
    curl_easy_getinfo(curl_, CURLINFO_RESPONSE_CODE, &status);
    if (status != kHttpOk) {
      throw jsonrpc::JsonRpcException(
          jsonrpc::Errors::ERROR_CLIENT_CONNECTOR,
          "call to " + options_.url + " returned HTTP status " + std::to_string(status));
    }
  }

  bool sent() const { return sent_; }
  bool refused() const { return refused_; }

 private:
  ClientOptions options_;
  std::int64_t timeout_ms_;
  CURL* curl_;
  curl_slist* headers_ = nullptr;
  bool sent_ = false;
  bool refused_ = false;
};

class HttpJsonRpcClient : public JsonRpcClient {
 public:
  explicit HttpJsonRpcClient(const ClientOptions& options)
      : connector_(options), client_(connector_, jsonrpc::JSONRPC_CLIENT_V2) {}

  std::string Call(const std::string& method, const std::string& payload,
                   std::int64_t timeout_ms) override {
    Json::Value parameters;
    parameters["method"] = method;
    parameters["payload"] = payload;
    connector_.set_timeout(timeout_ms);
    try {
      return client_.CallMethod("call", parameters).asString();
    } catch (const jsonrpc::JsonRpcException& error) {
      throw ConnectorError(error.GetMessage(), connector_.sent(), connector_.refused());
    } catch (const Json::Exception& error) {
      throw ConnectorError(std::string("invalid response: ") + error.what(), connector_.sent());
    }
  }

 private:
  HttpConnector connector_;
  jsonrpc::Client client_;
};

}  // namespace

std::unique_ptr<JsonRpcClient> JsonRpcClient::Create(const ClientOptions& options) {
  return std::unique_ptr<JsonRpcClient>(new HttpJsonRpcClient(options));
}

}  // namespace rpc_connectors
}  // namespace briarwood
