#include "policy_sim/impl/engine.h"

#include <algorithm>
#include <utility>

namespace briarwood::policy_sim {

double EngineModel::Seconds(double uncached_input, double context, double output) {
  const double step =
      kStepSeconds + kSecondsPerStream * kCapacity + kSecondsPerContextToken * context * kCapacity;
  return uncached_input * kSecondsPerPrefillToken + output * step / kCapacity;
}

Engine::Engine(std::string id, std::uint32_t domain, bool queues, EventQueue& events,
               Callbacks callbacks)
    : id_(std::move(id)),
      domain_(domain),
      queues_(queues),
      events_(events),
      callbacks_(std::move(callbacks)) {}

std::string Engine::Key(const SimRequest& request, std::uint32_t attempt) {
  return request.queued.id.value() + '/' + std::to_string(attempt);
}

routing::AdmitVerdict Engine::Submit(SimRequest& request, bool floor_protected, bool alone) {
  const std::uint32_t attempt = request.attempt;
  if (queues_) {
    queue_.push_back(&request);
    AdmitWaiting();
    return routing::AdmitVerdict::kAdmitted;
  }
  const auto decision = running_.Admit({.key = Key(request, attempt),
                                        .tier = common::Tier(request.tier),
                                        .floor_protected = floor_protected,
                                        .alone = alone,
                                        .input_tokens = request.input_tokens},
                                       events_.now());
  if (decision.verdict != routing::AdmitVerdict::kAdmitted) return decision.verdict;
  if (decision.preempted) {
    const Stream victim = *by_key_.at(*decision.preempted);
    Remove(*decision.preempted);
    callbacks_.on_preempted(*victim.request, victim.attempt);
  }
  Begin(request, attempt);
  return decision.verdict;
}

void Engine::AdmitWaiting() {
  while (!queue_.empty() && running_.running() < running_.capacity()) {
    SimRequest& request = *queue_.front();
    queue_.pop_front();
    if (request.state != RequestState::kOpen) continue;
    const auto decision = running_.Admit(
        {.key = Key(request, request.attempt), .tier = common::Tier(0)}, events_.now());
    if (decision.verdict == routing::AdmitVerdict::kAdmitted) Begin(request, request.attempt);
  }
}

std::uint64_t Engine::UseCache(const SimRequest& request) {
  const std::uint64_t prefix = request.queued.prefix_hash;
  const auto found = std::find(cache_.begin(), cache_.end(), prefix);
  const bool hit = found != cache_.end();
  if (hit) cache_.erase(found);
  cache_.push_front(prefix);
  if (cache_.size() > EngineModel::kCachedPrefixes) cache_.pop_back();
  prompt_tokens_ += static_cast<double>(request.input_tokens);
  if (!hit) return 0;
  cached_tokens_ += static_cast<double>(request.prefix_tokens);
  return request.prefix_tokens;
}

void Engine::Begin(SimRequest& request, std::uint32_t attempt) {
  const std::uint64_t cached = UseCache(request);
  const std::uint64_t prefill =
      std::max<std::uint64_t>(1, request.input_tokens + request.delivered - cached);
  request.prefilled += static_cast<double>(prefill);
  if (request.first_prefill == 0) request.first_prefill = static_cast<double>(prefill);
  streams_.push_back({.request = &request, .attempt = attempt, .prefill_left = prefill});
  by_key_[Key(request, attempt)] = std::prev(streams_.end());
  ScheduleStep();
}

void Engine::Remove(const std::string& key) {
  const auto found = by_key_.find(key);
  if (found == by_key_.end()) return;
  streams_.erase(found->second);
  by_key_.erase(found);
  running_.Finish(key);
}

void Engine::Cancel(const SimRequest& request, std::uint32_t attempt) {
  Remove(Key(request, attempt));
  AdmitWaiting();
}

std::vector<Engine::Stream> Engine::Stop() {
  std::vector<Stream> ended(streams_.begin(), streams_.end());
  for (SimRequest* request : queue_) {
    if (request->state != RequestState::kOpen) continue;
    ended.push_back({.request = request, .attempt = request->attempt});
  }
  queue_.clear();
  streams_.clear();
  by_key_.clear();
  running_.Clear();
  cache_.clear();
  up_ = false;
  stepping_ = false;
  ++generation_;
  return ended;
}

void Engine::ScheduleStep() {
  if (stepping_ || streams_.empty() || !up_) return;
  stepping_ = true;
  std::vector<Stream*> prefilling;
  double seconds = EngineModel::kStepSeconds;
  for (Stream& stream : streams_) {
    if (!stream.decoding) {
      prefilling.push_back(&stream);
      continue;
    }
    const auto context = static_cast<double>(stream.request->input_tokens + stream.generated);
    seconds += EngineModel::kSecondsPerStream + EngineModel::kSecondsPerContextToken * context;
  }
  // Unless the agent queues requests, the engine prefills prompts of higher tiers first.
  std::stable_sort(prefilling.begin(), prefilling.end(), [this](const Stream* a, const Stream* b) {
    return !queues_ && a->request->tier < b->request->tier;
  });
  std::uint64_t budget = EngineModel::kPrefillTokensPerStep;
  for (Stream* stream : prefilling) {
    const std::uint64_t part = std::min(budget, stream->prefill_left);
    stream->prefill_left -= part;
    budget -= part;
    seconds += static_cast<double>(part) * EngineModel::kSecondsPerPrefillToken;
    if (stream->prefill_left == 0) stream->decoding = true;
  }
  seconds *= slowdown_;
  busy_seconds_ += seconds;
  events_.After(common::FromSeconds(seconds),
                [this, generation = generation_] { FinishStep(generation); });
}

void Engine::FinishStep(std::uint64_t generation) {
  if (generation != generation_) return;
  stepping_ = false;
  std::vector<std::pair<SimRequest*, std::uint32_t>> emitted;
  for (Stream& stream : streams_) {
    // Streams that started during the step still have to prefill.
    if (!stream.decoding) continue;
    ++stream.generated;
    ++stream.request->produced;
    running_.OnToken(Key(*stream.request, stream.attempt));
    emitted.emplace_back(stream.request, stream.attempt);
  }
  for (const auto& [request, attempt] : emitted) {
    if (request->poison) {
      callbacks_.on_poison(*this);
      return;
    }
    callbacks_.on_token(*request, attempt);
    if (generation != generation_) return;
    if (request->attempt != attempt || request->delivered < request->output_tokens) continue;
    Remove(Key(*request, attempt));
    callbacks_.on_end(*request, attempt);
  }
  callbacks_.on_step(*this);
  AdmitWaiting();
  ScheduleStep();
}

}  // namespace briarwood::policy_sim
