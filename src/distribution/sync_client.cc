#include "briarwood/distribution/sync_client.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "briarwood/rpc/error.h"

namespace briarwood::distribution {
namespace {

/// Calls at a time; each has a thread.
constexpr std::size_t kMaxCalls = 4;
/// Calls at a time to parents that were silent before, so that threads are left for the others.
constexpr std::size_t kMaxSilentCalls = 2;

}  // namespace

SyncClient::SyncClient(SyncClientOptions options, Replica& replica, SyncClientCallbacks callbacks)
    : options_(std::move(options)), replica_(replica), callbacks_(std::move(callbacks)) {}

SyncClient::~SyncClient() { Stop(); }

void SyncClient::Register(rpc::Server& server) {
  server.Handle<schema::NotifyRequest, schema::NotifyResponse>(
      "Notify", [this](const schema::NotifyRequest& request) {
        if (common::LogIndex(request.index()) > replica_.index()) {
          {
            const std::lock_guard lock(mutex_);
            notified_ = true;
          }
          changed_.notify_all();
        }
        return schema::NotifyResponse();
      });
}

void SyncClient::Start() {
  thread_ = std::thread([this] { Run(); });
}

void SyncClient::Stop() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  changed_.notify_all();
  // The call threads are created by this one.
  if (thread_.joinable()) thread_.join();
  for (std::thread& thread : call_threads_) {
    if (thread.joinable()) thread.join();
  }
}

void SyncClient::SyncNow() {
  {
    const std::lock_guard lock(mutex_);
    sync_requested_ = true;
  }
  changed_.notify_all();
}

void SyncClient::SetParents(std::vector<std::string> parents) {
  const std::lock_guard lock(mutex_);
  if (parents == options_.parents) return;
  options_.parents = std::move(parents);
  std::erase_if(parents_, [this](const auto& item) {
    return !item.second.in_call && std::find(options_.parents.begin(), options_.parents.end(),
                                             item.first) == options_.parents.end();
  });
}

std::string SyncClient::parent() const {
  const std::lock_guard lock(mutex_);
  const common::Time now = common::BootClock::now();
  const auto first = std::min_element(options_.parents.begin(), options_.parents.end(),
                                      [&](const std::string& left, const std::string& right) {
                                        return HealthOf(left, now) < HealthOf(right, now);
                                      });
  return first == options_.parents.end() ? std::string() : *first;
}

void SyncClient::Run() {
  std::unique_lock lock(mutex_);
  while (!stopping_) {
    sync_requested_ = false;
    const common::Time started = common::BootClock::now();
    SyncRound round = RunRound(lock);
    round.duration = common::BootClock::now() - started;
    if (callbacks_.on_round) {
      lock.unlock();
      {
        const std::lock_guard callback_lock(callback_mutex_);
        callbacks_.on_round(round);
      }
      lock.lock();
    }
    const auto period =
        replica_.freshness() ? options_.period : std::min(options_.startup_period, options_.period);
    changed_.wait_for(lock, period, [this] { return sync_requested_ || notified_ || stopping_; });
  }
}

SyncRound SyncClient::RunRound(std::unique_lock<std::mutex>& lock) {
  SyncRound round;
  current_parent_.clear();
  std::set<std::string> called;
  while (!stopping_ && current_parent_.empty()) {
    // A notification shows that a parent has a newer table than those called so far gave.
    if (std::exchange(notified_, false)) called.clear();
    const common::Time now = common::BootClock::now();
    const std::string next = NextParent(called, now);
    if (next.empty() && CountCalls() == CountSilentCalls(now)) break;
    if (!next.empty()) {
      called.insert(next);
      ++round.calls;
      StartCall(next, now);
    }
    const std::uint64_t ended_calls = ended_calls_;
    changed_.wait_for(lock, options_.hedge_delay,
                      [&] { return stopping_ || notified_ || ended_calls_ != ended_calls; });
  }
  round.parent = current_parent_;
  return round;
}

SyncClient::Health SyncClient::HealthOf(const std::string& address, common::Time now) const {
  const auto found = parents_.find(address);
  if (found == parents_.end()) return Health::kCurrent;
  const Parent& parent = found->second;
  if (parent.in_call && now - parent.called_at >= options_.hedge_delay) return Health::kSilent;
  return now < parent.avoid_until ? parent.health : Health::kCurrent;
}

std::string SyncClient::NextParent(const std::set<std::string>& called, common::Time now) const {
  const bool may_call_silent = CountSilentCalls(now) < kMaxSilentCalls;
  std::string next;
  std::tuple<Health, common::Time> best;
  if (CountCalls() >= kMaxCalls) return next;
  for (const std::string& address : options_.parents) {
    const auto known = parents_.find(address);
    if (called.contains(address) || (known != parents_.end() && known->second.in_call)) continue;
    const Health health = HealthOf(address, now);
    if (health == Health::kSilent && !may_call_silent) continue;
    // Silent parents take turns; the others are called in order of preference.
    const common::Time called_at =
        health == Health::kSilent ? known->second.called_at : common::Time::min();
    const std::tuple candidate(health, called_at);
    if (!next.empty() && candidate >= best) continue;
    next = address;
    best = candidate;
  }
  return next;
}

std::size_t SyncClient::CountSilentCalls(common::Time now) const {
  return static_cast<std::size_t>(
      std::count_if(parents_.begin(), parents_.end(), [&](const auto& item) {
        return item.second.in_call && HealthOf(item.first, now) == Health::kSilent;
      }));
}

std::size_t SyncClient::CountCalls() const {
  return static_cast<std::size_t>(std::count_if(
      parents_.begin(), parents_.end(), [](const auto& item) { return item.second.in_call; }));
}

void SyncClient::StartCall(const std::string& address, common::Time now) {
  Parent& parent = parents_[address];
  if (!parent.client) {
    parent.client =
        std::make_shared<rpc::Client>(rpc::ClientOptions{.address = address,
                                                         .credential = options_.credential,
                                                         .ca_file = options_.ca_file,
                                                         .timeout = options_.timeout});
  }
  parent.called_at = now;
  parent.in_call = true;
  call_queue_.push_back(address);
  if (idle_call_threads_ < call_queue_.size()) {
    call_threads_.emplace_back([this] { RunCalls(); });
  }
  changed_.notify_all();
}

void SyncClient::RunCalls() {
  std::unique_lock lock(mutex_);
  while (true) {
    ++idle_call_threads_;
    changed_.wait(lock, [this] { return stopping_ || !call_queue_.empty(); });
    --idle_call_threads_;
    if (stopping_) return;
    const std::string address = std::move(call_queue_.front());
    call_queue_.pop_front();
    const std::shared_ptr<rpc::Client> client = parents_.at(address).client;
    lock.unlock();
    const Health health = Call(*client);
    lock.lock();
    OnCallEnded(address, health);
  }
}

SyncClient::Health SyncClient::Call(rpc::Client& parent) {
  schema::SyncRequest request;
  {
    const std::lock_guard lock(callback_mutex_);
    if (callbacks_.fill) callbacks_.fill(request);
  }
  replica_.filter().ToRequest(request);
  request.set_since_index(replica_.index().value());
  const common::Time sent_at = common::BootClock::now();
  schema::SyncResponse response;
  try {
    response = parent.Call<schema::SyncResponse>("Sync", request, options_.timeout);
  } catch (const rpc::RpcError& error) {
    const std::lock_guard lock(callback_mutex_);
    if (callbacks_.on_failure) callbacks_.on_failure(parent.address(), error.what());
    return Health::kSilent;
  }
  {
    const std::lock_guard lock(callback_mutex_);
    if (!replica_.Apply(response, sent_at)) return Health::kNotCurrent;
    if (callbacks_.on_response) callbacks_.on_response(response, sent_at, parent.address());
  }
  const auto max_age_ms = static_cast<std::uint64_t>(options_.max_confirmation_age.count());
  const bool fresh = response.confirmed() && response.freshness_age_ms() <= max_age_ms;
  return fresh ? Health::kCurrent : Health::kNotCurrent;
}

void SyncClient::OnCallEnded(const std::string& address, Health health) {
  const common::Time now = common::BootClock::now();
  Parent& parent = parents_.at(address);
  parent.in_call = false;
  parent.health = health;
  if (health == Health::kCurrent) {
    parent.avoid_until = now;
    current_parent_ = address;
    CloseOtherConnections(address);
  } else {
    parent.avoid_until = now + options_.avoid_period;
  }
  ++ended_calls_;
  changed_.notify_all();
}

void SyncClient::CloseOtherConnections(const std::string& address) {
  for (auto& [other, parent] : parents_) {
    if (other != address && !parent.in_call) parent.client.reset();
  }
}

}  // namespace briarwood::distribution
