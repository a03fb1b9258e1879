#pragma once

#include <gtest/gtest.h>

#include <atomic>
#include <chrono>
#include <functional>
#include <memory>
#include <mutex>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include "briarwood/distribution/backend_list.h"
#include "briarwood/forwarding/forwarding_node.h"
#include "platform/codec.h"
#include "platform/configuration_json.h"
#include "support/raw_call.h"
#include "support/raw_server.h"
#include "support/test_control.h"

namespace briarwood::forwarding {

using testing_support::RawCall;
using testing_support::RawServer;

inline constexpr const char* kKey = "key-of-east";
inline constexpr const char* kOk = "HTTP/1.1 200 OK\r\nBriarwood-Signature: s\r\n";

/// Polls until `done` returns true.
/// \returns false if it has not within 10 s.
inline bool Eventually(const std::function<bool()>& done) {
  const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(10);
  while (!done()) {
    if (std::chrono::steady_clock::now() > end) return false;
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
  return true;
}

/// Backend server on plain sockets that records the requests that it receives.
class FakeBackend {
 public:
  using Handler = std::function<void(const RawServer::Connection&, const RawServer::Request&)>;

  explicit FakeBackend(Handler handler)
      : server_([this, handler = std::move(handler)](const RawServer::Connection& connection,
                                                     const RawServer::Request& request) {
          {
            const std::lock_guard lock(mutex_);
            requests_.push_back(request);
          }
          handler(connection, request);
        }) {}

  [[nodiscard]] std::string address() const { return server_.address(); }
  void Crash() { server_.Crash(); }
  [[nodiscard]] std::vector<RawServer::Request> requests() const {
    const std::lock_guard lock(mutex_);
    return requests_;
  }

 private:
  mutable std::mutex mutex_;
  std::vector<RawServer::Request> requests_;
  RawServer server_;
};

inline std::string HeaderOf(const std::string& head, const std::string& name) {
  const std::size_t at = head.find("\r\n" + name + ": ");
  if (at == std::string::npos) return {};
  const std::size_t start = at + name.size() + 4;
  return head.substr(start, head.find("\r\n", start) - start);
}

/// \returns a response with a signature and the id of the request.
inline std::string Answer(const RawServer::Request& request, const std::string& body,
                          const std::string& status = "200 OK") {
  return "HTTP/1.1 " + status +
         "\r\nBriarwood-Attempt-Id: " + HeaderOf(request.head, "Briarwood-Attempt-Id") +
         "\r\nBriarwood-Signature: sig-1\r\nContent-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}

inline std::string StreamHead(const RawServer::Request& request) {
  return "HTTP/1.1 200 OK\r\nBriarwood-Attempt-Id: " +
         HeaderOf(request.head, "Briarwood-Attempt-Id") +
         "\r\nBriarwood-Signature: sig-1\r\nContent-Type: text/event-stream\r\n"
         "Transfer-Encoding: chunked\r\n\r\n";
}

inline std::string Chunk(const std::string& text) {
  std::ostringstream out;
  out << std::hex << text.size() << "\r\n" << text << "\r\n";
  return out.str();
}

inline std::string Event(int id) {
  return "id: " + std::to_string(id) + "\ndata: piece" + std::to_string(id) + "\n\n";
}

/// Runs a forwarding entry; the callers and backend servers use plain sockets.
class ForwardingTest : public ::testing::Test {
 protected:
  /// Called with the settings of an entry before it starts.
  virtual void Customize(schema::EntrySettings& /*settings*/) {}

  /// Starts the entry. List assigns service "app" to backend servers whose names start with "a" and
  /// "llm" to the others.
  void StartEntry() {
    node_ = MakeEntry("entry/vm-1", 7);
    ASSERT_NE(node_, nullptr);
  }

  /// Starts an entry with the list and the control member that all entries of a test share.
  /// \returns the entry, or null after a failure.
  std::unique_ptr<ForwardingNode> MakeEntry(const std::string& id, std::uint64_t incarnation) {
    return MakeEntry(id, incarnation, control_.address());
  }

  /// Starts an entry with the list that all entries of a test share.
  /// \param control  address of its control member
  std::unique_ptr<ForwardingNode> MakeEntry(const std::string& id, std::uint64_t incarnation,
                                            const std::string& control) {
    ForwardingNodeOptions options;
    schema::EntrySettings& settings = options.settings;
    settings.mutable_node()->set_id(id);
    settings.mutable_node()->set_failure_domain("east");
    settings.mutable_node()->set_rpc_listen("127.0.0.1:0");
    settings.set_listen("127.0.0.1:0");
    settings.add_control_rpc(control);
    settings.mutable_forwarding()->set_ready_listen("127.0.0.1:0");
    settings.mutable_forwarding()->set_usage_window_ms(5000);
    settings.mutable_forwarding()->set_repeat_burst(640);
    settings.mutable_forwarding()->set_list_stale_ms(50);
    Customize(settings);
    options.credential = testing_support::kFleetCredential;
    options.incarnation = common::Incarnation(incarnation);
    options.codec = platform::MakeCodec();
    options.read_backends = [this, id] {
      const std::lock_guard lock(list_mutex_);
      if (cut_off_.contains(id)) {
        return common::Result<schema::BackendList>::Failure("cut off");
      }
      schema::BackendList list = list_;
      distribution::SetListDigest(list);
      return common::Result<schema::BackendList>::Success(std::move(list));
    };
    auto node = ForwardingNode::Start(std::move(options));
    EXPECT_TRUE(node.ok()) << node.error();
    return node.ok() ? std::move(node).value() : nullptr;
  }

  void StartReadyEntry() {
    Configure();
    StartEntry();
    ASSERT_TRUE(Eventually([this] { return node_->Ready(); }));
  }

  void StartReadyEntryWithOneBackend() {
    only_backend_ = std::make_unique<FakeBackend>([](const auto& connection, const auto& request) {
      connection.Send(Answer(request, "ok"));
    });
    List("a-1", only_backend_->address());
    StartReadyEntry();
  }

  void List(const std::string& id, const std::string& address, bool leaving = false,
            std::uint64_t started_unix_ms = 0, const std::string& version = "") {
    const std::lock_guard lock(list_mutex_);
    for (schema::ListedBackend& backend : *list_.mutable_backends()) {
      if (backend.id() != id) continue;
      backend.set_address(address);
      backend.set_started_unix_ms(started_unix_ms);
      backend.set_leaving(leaving);
      return;
    }
    schema::ListedBackend& backend = *list_.add_backends();
    backend.set_id(id);
    backend.set_service(id.starts_with('a') ? "app" : "llm");
    backend.set_address(address);
    backend.set_failure_domain("east");
    backend.set_slots(8);
    backend.set_software_version(version);
    backend.set_started_unix_ms(started_unix_ms);
    backend.set_leaving(leaving);
  }

  static std::string Document(std::uint64_t version, const std::string& key) {
    return R"({"version":)" + std::to_string(version) + R"(,"routes":[
      {"name":"read","host":"h.example","pathPrefix":"/read/","type":"safe","timeoutMs":1500,
       "sloMs":500,"priority":2,"service":"app","attempts":2},
      {"name":"book","host":"h.example","pathPrefix":"/book/","type":"unsafe","timeoutMs":1500,
       "sloMs":500,"priority":2,"service":"app","attempts":2},
      {"name":"draft","host":"h.example","pathPrefix":"/draft/","type":"streaming",
       "timeoutMs":5000,"sloMs":800,"priority":0,"service":"llm","attempts":2,"resumable":true,
       "affinity":true,"itlTargetMs":200},
      {"name":"ask","host":"h.example","pathPrefix":"/ask/","type":"streaming","timeoutMs":5000,
       "sloMs":800,"priority":1,"service":"llm","attempts":1,"affinity":true,"itlTargetMs":200},
      {"name":"long","host":"h.example","pathPrefix":"/long/","type":"streaming",
       "timeoutMs":15000,"sloMs":800,"priority":1,"service":"llm","attempts":1,"itlTargetMs":200},
      {"name":"find","host":"h.example","pathPrefix":"/find/","type":"safe","timeoutMs":3000,
       "sloMs":500,"priority":2,"service":"app","attempts":3},
      {"name":"plan","host":"h.example","pathPrefix":"/plan/","type":"streaming",
       "timeoutMs":5000,"sloMs":800,"priority":0,"service":"llm","attempts":3,"resumable":true,
       "itlTargetMs":200},
      {"name":"open","host":"h.example","pathPrefix":"/open/","type":"safe","timeoutMs":1500,
       "sloMs":500,"priority":2,"service":"app","attempts":1,"public":true}],
      "services":[{"name":"app","healthPath":"/healthz","maxConns":100},
                  {"name":"llm","healthPath":"/healthz","maxConns":100}],
      "limits":{"maxHeaderBytes":4096,"maxBodyBytes":20000,"headerTimeoutMs":1000,
                "idleTimeoutMs":3000},
      "tenants":[{"name":"east","apiKeys":[")" +
           key + R"("]}]})";
  }

  void Configure(std::uint64_t version = 1, const std::string& key = kKey) {
    schema::Command command;
    command.mutable_apply_configuration()->set_document("platform");
    command.mutable_apply_configuration()->set_version(version);
    command.mutable_apply_configuration()->set_content(Document(version, key));
    ASSERT_EQ(control_.Apply(command).code(), schema::RESULT_CODE_OK);
  }

  static std::string Request(const std::string& line, const std::string& headers = "",
                             const std::string& body = "", const std::string& key = kKey) {
    std::string text = line + " HTTP/1.1\r\nHost: h.example\r\nBriarwood-Attempt-Id: id-1\r\n";
    if (!key.empty()) text += "Authorization: Bearer " + key + "\r\n";
    text += headers + "Connection: close\r\n";
    if (!body.empty()) text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    return text + "\r\n" + body;
  }

  std::string Call(const std::string& line, const std::string& headers = "",
                   const std::string& body = "", const std::string& key = kKey) {
    return RawCall(node_->port(), Request(line, headers, body, key)).Finish();
  }

  testing_support::TestControl control_{platform::MakeParser(schema::PlatformSettings())};
  std::mutex list_mutex_;
  /// Entries that cannot read the list.
  std::set<std::string> cut_off_;
  schema::BackendList list_;
  std::unique_ptr<FakeBackend> only_backend_;
  std::unique_ptr<ForwardingNode> node_;
};

}  // namespace briarwood::forwarding
