#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "briarwood/common/result.h"
#include "briarwood/emulator/continuous_batch.h"
#include "briarwood/emulator/order_gate.h"
#include "briarwood/emulator/prefix_cache.h"
#include "briarwood/emulator/text_generator.h"

namespace briarwood::emulator {

struct ModelEngineOptions {
  /// "ip:port"; port 0 selects a free port.
  std::string listen = "127.0.0.1:0";
  /// Loaded models; if empty, every model is served.
  std::vector<std::string> models;
  BatchOptions batch;
  /// Duration of a step, and its increase for each running sequence.
  std::chrono::microseconds token_time{10'000};
  std::chrono::microseconds token_time_per_sequence{0};
  NaturalLength natural_length;
  /// Token limit of a request that sets none.
  std::uint64_t default_max_tokens = 256;
  /// Age of the load that GET /load reports.
  std::chrono::milliseconds load_lag{0};
  PrefixCacheOptions cache;
  bool checks_fencing_token = true;
  /// A running request whose prompt contains this text crashes the engine.
  std::string crash_marker = "[[crash]]";
  /// Delay until a crashed engine restarts; 0 waits for a call of Restart.
  std::chrono::milliseconds restart_delay{500};
  /// Called when the engine crashes, so that a program can terminate the process.
  std::function<void()> on_crash;
};

/// Counters since the first start of the engine.
struct ModelEngineCounters {
  std::uint64_t completions_received = 0;
  std::uint64_t completions_finished = 0;
  std::uint64_t completions_rejected = 0;
  std::uint64_t cancelled = 0;
  std::uint64_t tokens = 0;
  /// Incremented once the engine has stopped.
  std::uint64_t crashes = 0;
  std::uint64_t orders_accepted = 0;
  /// Requests of any kind that contained the watched text.
  std::uint64_t watched_text_seen = 0;
};

/// Emulates a model engine: POST /v1/completions and /v1/chat/completions, POST /cancel,
/// GET /load, GET /events?since=, POST /orders, and GET and POST /emulator for counters and fault
/// injection. Thread-safe.
class ModelEngine {
 public:
  /// \returns the running engine, or an error that describes why it cannot listen on the address.
  static common::Result<std::unique_ptr<ModelEngine>> Start(const ModelEngineOptions& options);

  ~ModelEngine();
  ModelEngine(const ModelEngine&) = delete;
  ModelEngine& operator=(const ModelEngine&) = delete;

  [[nodiscard]] std::uint16_t port() const noexcept;
  [[nodiscard]] std::string url() const;
  [[nodiscard]] bool up() const;
  [[nodiscard]] ModelEngineCounters counters() const;
  [[nodiscard]] std::vector<EngineOrder> orders() const;

  /// Sets the factor by which each step is slowed down; 1 is normal.
  void SetSlowFactor(double factor);

  /// Makes the engine crash after it has read the next completion request.
  void CrashAfterReading();

  /// Crashes the engine now: running streams are aborted and connections are refused.
  void Crash();

  /// Restarts a crashed engine on the same port, with a new incarnation.
  void Restart();

  /// Counts requests that contain `text` in path, query, a header or the body.
  void WatchFor(const std::string& text);

 private:
  class Impl;
  explicit ModelEngine(std::shared_ptr<Impl> impl);

  std::shared_ptr<Impl> impl_;
};

}  // namespace briarwood::emulator
