#pragma once

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "support/raw_server.h"

namespace briarwood::testing_support {

/// Engine and plain service on loopback that responds according to its options and records the
/// requests.
class ScriptedBackend {
 public:
  struct Options {
    std::uint64_t incarnation = 1;
    /// Number of tokens ("t0 ", "t1 ", ...) in each response.
    std::size_t tokens = 4;
    /// Responses are held before this token until Release; not held if larger than `tokens`.
    std::size_t hold_before = 1'000'000'000;
    /// Delay before each token, for tests in which an event must occur during the stream.
    std::chrono::milliseconds token_delay{0};
    /// A completion whose body contains this text crashes the engine; empty for none.
    std::string crash_marker;
  };

  explicit ScriptedBackend(const Options& options) : options_(options) {}

  ~ScriptedBackend() { Crash(); }

  ScriptedBackend(const ScriptedBackend&) = delete;
  ScriptedBackend& operator=(const ScriptedBackend&) = delete;

  [[nodiscard]] bool crashed() const { return crashed_; }

  [[nodiscard]] std::string url() const { return server_.url(); }

  /// Refuses connections and cuts off all responses from now on.
  void Crash() {
    crashed_ = true;
    server_.Crash();
    Release();
  }

  /// Continues the held responses; later ones are not held.
  void Release() {
    const std::lock_guard lock(mutex_);
    released_ = true;
    changed_.notify_all();
  }

  /// Waits until `count` responses have been held. \returns false after 20 s.
  [[nodiscard]] bool WaitUntilHeld(std::size_t count) {
    std::unique_lock lock(mutex_);
    return changed_.wait_for(lock, std::chrono::seconds(20), [&] { return held_ >= count; });
  }

  /// Requests except probes, as "METHOD path body".
  [[nodiscard]] std::vector<std::string> received() const {
    const std::lock_guard lock(mutex_);
    return received_;
  }

  /// Number of GET /load requests, which an agent sends periodically.
  [[nodiscard]] std::size_t probes() const {
    const std::lock_guard lock(mutex_);
    return probes_;
  }

  /// All received heads and bodies, to be searched for secrets.
  [[nodiscard]] std::string received_bytes() const {
    const std::lock_guard lock(mutex_);
    return everything_;
  }

 private:
  void Handle(const RawServer::Connection& connection, const RawServer::Request& request) {
    {
      const std::lock_guard lock(mutex_);
      everything_ += request.head + request.body;
      if (request.path == "/load") {
        ++probes_;
      } else {
        received_.push_back(request.method + " " + request.path + " " + request.body);
      }
    }
    if (request.path == "/load") {
      connection.Respond("200 OK", R"({"running":0,"capacity":8,"incarnation":)" +
                                       std::to_string(options_.incarnation) + "}");
    } else if (request.path == "/orders") {
      connection.Respond("201 Created", "{}");
    } else if (request.path == "/cancel") {
      connection.Respond("200 OK", "{}");
    } else if (request.path == "/v1/completions") {
      const std::string& marker = options_.crash_marker;
      if (!marker.empty() && request.body.find(marker) != std::string::npos) Crash();
      Stream(connection, ResumeFrom(request.body));
    } else {
      if (options_.hold_before <= options_.tokens) Hold();
      connection.Respond("201 Created", R"({"slot":7})");
    }
  }

  void Stream(const RawServer::Connection& connection, std::size_t from) {
    connection.Send(
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
    for (std::size_t i = from; i < options_.tokens; ++i) {
      if (i == options_.hold_before) Hold();
      if (crashed_) return;
      std::this_thread::sleep_for(options_.token_delay);
      const std::string index = std::to_string(i);
      std::string event = "data: {\"token_index\":" + index;
      event += ",\"choices\":[{\"text\":\"t" + index + " \"}]}\n\n";
      SendChunk(connection, event);
    }
    SendChunk(connection,
              "data: {\"choices\":[{\"text\":\"\",\"finish_reason\":\"stop\"}],"
              "\"usage\":{\"prompt_tokens\":3}}\n\ndata: [DONE]\n\n");
    connection.Send("0\r\n\r\n");
  }

  static void SendChunk(const RawServer::Connection& connection, const std::string& text) {
    constexpr std::string_view kDigits = "0123456789abcdef";
    std::string size;
    for (std::size_t remaining = text.size(); remaining != 0; remaining /= 16) {
      size.insert(size.begin(), kDigits[remaining % 16]);
    }
    connection.Send(size + "\r\n" + text + "\r\n");
  }

  void Hold() {
    std::unique_lock lock(mutex_);
    ++held_;
    changed_.notify_all();
    changed_.wait(lock, [this] { return released_; });
  }

  static std::size_t ResumeFrom(const std::string& body) {
    constexpr std::string_view kField = "\"resume_from\":";
    const std::size_t at = body.find(kField);
    return at == std::string::npos ? 0 : std::stoul(body.substr(at + kField.size()));
  }

  Options options_;
  mutable std::mutex mutex_;
  std::condition_variable changed_;
  std::atomic<bool> crashed_ = false;
  bool released_ = false;
  std::size_t held_ = 0;
  std::size_t probes_ = 0;
  std::vector<std::string> received_;
  std::string everything_;
  RawServer server_{[this](const RawServer::Connection& connection,
                           const RawServer::Request& request) { Handle(connection, request); }};
};

}  // namespace briarwood::testing_support
