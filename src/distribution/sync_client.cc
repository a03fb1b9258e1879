#include "briarwood/distribution/sync_client.h"

#include <algorithm>
#include <utility>

#include "briarwood/rpc/error.h"

namespace briarwood::distribution {

SyncClient::SyncClient(SyncClientOptions options, Replica& replica, SyncClientCallbacks callbacks)
    : options_(std::move(options)), replica_(replica), callbacks_(std::move(callbacks)) {}

SyncClient::~SyncClient() { Stop(); }

void SyncClient::Register(rpc::Server& server) {
  server.Handle<schema::NotifyRequest, schema::NotifyResponse>(
      "Notify", [this](const schema::NotifyRequest& request) {
        if (common::LogIndex(request.index()) > replica_.index()) SyncNow();
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
  if (thread_.joinable()) thread_.join();
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
  parent_index_ = 0;
}

std::string SyncClient::parent() const {
  const std::lock_guard lock(mutex_);
  return options_.parents.empty() ? std::string() : options_.parents[parent_index_];
}

void SyncClient::Run() {
  std::unique_lock lock(mutex_);
  while (!stopping_) {
    sync_requested_ = false;
    lock.unlock();
    const common::Time started = common::BootClock::now();
    SyncRound round = RunRound();
    round.duration = common::BootClock::now() - started;
    if (callbacks_.on_round) callbacks_.on_round(round);
    lock.lock();
    const auto period =
        replica_.freshness() ? options_.period : std::min(options_.startup_period, options_.period);
    changed_.wait_for(lock, period, [this] { return sync_requested_ || stopping_; });
  }
}

SyncRound SyncClient::RunRound() {
  SyncRound round;
  std::size_t parents = 0;
  {
    const std::lock_guard lock(mutex_);
    parents = options_.parents.size();
  }
  while (round.calls < parents) {
    {
      const std::lock_guard lock(mutex_);
      if (stopping_) return round;
    }
    const std::shared_ptr<rpc::Client> parent = CurrentParent();
    if (!parent) return round;
    ++round.calls;
    if (SyncWith(*parent)) {
      round.parent = parent->address();
      return round;
    }
    SwitchToNextParent(parent->address());
  }
  return round;
}

std::shared_ptr<rpc::Client> SyncClient::CurrentParent() {
  const std::lock_guard lock(mutex_);
  if (options_.parents.empty()) return nullptr;
  const std::string& address = options_.parents[parent_index_];
  if (!client_ || client_->address() != address) {
    client_ = std::make_shared<rpc::Client>(rpc::ClientOptions{.address = address,
                                                               .credential = options_.credential,
                                                               .ca_file = options_.ca_file,
                                                               .timeout = options_.timeout});
  }
  return client_;
}

void SyncClient::SwitchToNextParent(const std::string& from) {
  const std::lock_guard lock(mutex_);
  if (options_.parents.empty() || options_.parents[parent_index_] != from) return;
  parent_index_ = (parent_index_ + 1) % options_.parents.size();
}

bool SyncClient::SyncWith(rpc::Client& parent) {
  schema::SyncRequest request;
  if (callbacks_.fill) callbacks_.fill(request);
  replica_.filter().ToRequest(request);
  request.set_since_index(replica_.index().value());
  const common::Time sent_at = common::BootClock::now();
  schema::SyncResponse response;
  try {
    response = parent.Call<schema::SyncResponse>("Sync", request, options_.timeout);
  } catch (const rpc::RpcError& error) {
    if (callbacks_.on_failure) callbacks_.on_failure(parent.address(), error.what());
    return false;
  }
  if (!replica_.Apply(response, sent_at)) return false;
  if (callbacks_.on_response) callbacks_.on_response(response, sent_at);
  const auto max_age_ms = static_cast<std::uint64_t>(options_.max_confirmation_age.count());
  return response.confirmed() && response.freshness_age_ms() <= max_age_ms;
}

}  // namespace briarwood::distribution
