#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <string>
#include <unordered_map>
#include <vector>

#include "briarwood/routing/running_set.h"
#include "policy_sim/impl/event_queue.h"
#include "policy_sim/impl/request.h"

namespace briarwood::policy_sim {

/// Cost model of the simulated engine. A step produces one token for every decoding stream; its
/// duration grows with the batch size, the total context and the prompt tokens prefilled.
struct EngineModel {
  static constexpr std::uint32_t kCapacity = 32;
  static constexpr double kStepSeconds = 0.012;
  static constexpr double kSecondsPerStream = 0.00025;
  static constexpr double kSecondsPerContextToken = 1e-7;
  static constexpr double kSecondsPerPrefillToken = 8e-5;
  static constexpr std::uint64_t kPrefillTokensPerStep = 256;
  /// Number of prompt prefixes in the cache; the least recently used one is evicted.
  static constexpr std::size_t kCachedPrefixes = 24;
  /// Cost of a prompt token relative to an output token, derived from the times above at a full
  /// batch.
  static constexpr double kInputWeight = 0.11;

  /// \returns the engine time of a request at a full batch, in seconds.
  [[nodiscard]] static double Seconds(double uncached_input, double context, double output);
};

/// Simulated engine with continuous batching and a limited prefix cache, together with its agent.
class Engine {
 public:
  struct Callbacks {
    std::function<void(SimRequest&, std::uint32_t attempt)> on_token;
    std::function<void(SimRequest&, std::uint32_t attempt)> on_end;
    std::function<void(SimRequest&, std::uint32_t attempt)> on_preempted;
    /// Called after each step, to send load samples to entries with streams on this engine.
    std::function<void(Engine&)> on_step;
    /// Called when a request crashes the engine.
    std::function<void(Engine&)> on_poison;
  };
  struct Stream {
    SimRequest* request = nullptr;
    std::uint32_t attempt = 0;
    std::uint64_t prefill_left = 0;
    std::uint64_t generated = 0;
    bool decoding = false;
  };

  Engine(std::string id, std::uint32_t domain, bool queues, EventQueue& events,
         Callbacks callbacks);

  [[nodiscard]] routing::AdmitVerdict Submit(SimRequest& request, bool floor_protected, bool alone);
  void Cancel(const SimRequest& request, std::uint32_t attempt);
  /// Ends all streams.
  /// \returns the ended streams and the waiting requests.
  std::vector<Stream> Stop();
  void Start() { up_ = true; }
  void SetSlowdown(double factor) { slowdown_ = factor; }

  [[nodiscard]] const std::string& id() const { return id_; }
  [[nodiscard]] std::uint32_t domain() const { return domain_; }
  [[nodiscard]] bool up() const { return up_; }
  [[nodiscard]] const routing::RunningSet& running_set() const { return running_; }
  [[nodiscard]] const std::list<Stream>& streams() const { return streams_; }
  [[nodiscard]] double busy_seconds() const { return busy_seconds_; }
  [[nodiscard]] double prompt_tokens() const { return prompt_tokens_; }
  [[nodiscard]] double cached_tokens() const { return cached_tokens_; }
  [[nodiscard]] std::uint32_t waiting() const { return static_cast<std::uint32_t>(queue_.size()); }

 private:
  [[nodiscard]] static std::string Key(const SimRequest& request, std::uint32_t attempt);
  void Begin(SimRequest& request, std::uint32_t attempt);
  void Remove(const std::string& key);
  void ScheduleStep();
  void FinishStep(std::uint64_t generation);
  [[nodiscard]] std::uint64_t UseCache(const SimRequest& request);
  void AdmitWaiting();

  std::string id_;
  std::uint32_t domain_;
  bool queues_;
  EventQueue& events_;
  Callbacks callbacks_;
  routing::RunningSet running_{EngineModel::kCapacity};
  std::list<Stream> streams_;
  std::unordered_map<std::string, std::list<Stream>::iterator> by_key_;
  std::deque<SimRequest*> queue_;
  std::list<std::uint64_t> cache_;
  double slowdown_ = 1;
  bool up_ = true;
  bool stepping_ = false;
  std::uint64_t generation_ = 0;
  double busy_seconds_ = 0;
  double prompt_tokens_ = 0;
  double cached_tokens_ = 0;
};

}  // namespace briarwood::policy_sim
