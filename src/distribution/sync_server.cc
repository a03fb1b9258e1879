#include "briarwood/distribution/sync_server.h"

#include <algorithm>
#include <utility>

#include "briarwood/rpc/error.h"

namespace briarwood::distribution {
namespace {

std::uint64_t AgeMillis(common::Time from, common::Time now) {
  // Rounded up, so that the child never considers the table fresher than it is.
  return static_cast<std::uint64_t>(
      std::max<std::int64_t>(0, std::chrono::ceil<std::chrono::milliseconds>(now - from).count()));
}

}  // namespace

SyncSource SourceOf(const Replica& replica) {
  SyncSource source;
  source.delta = [&replica](common::LogIndex since, const RowFilter& filter) {
    return replica.DeltaSince(since, filter);
  };
  source.confirmation = [&replica] {
    return Confirmation{.confirmed_at = replica.freshness(), .fence = replica.fence()};
  };
  return source;
}

SyncServer::SyncServer(SyncServerOptions options, SyncSource source)
    : options_(std::move(options)), source_(std::move(source)) {
  for (unsigned i = 0; i < options_.threads; ++i) {
    threads_.emplace_back([this] { RunNotifier(); });
  }
}

SyncServer::~SyncServer() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  changed_.notify_all();
  for (std::thread& thread : threads_) thread.join();
}

void SyncServer::Register(rpc::Server& server) {
  server.Handle<schema::SyncRequest, schema::SyncResponse>(
      "Sync", [this](const schema::SyncRequest& request) {
        const common::Time now = common::BootClock::now();
        RecordChild(request, now);
        schema::SyncResponse response = MakeResponse(request, now);
        SetChildIndex(request.node().rpc_address(), common::LogIndex(response.index()));
        return response;
      });
}

schema::SyncResponse SyncServer::MakeResponse(const schema::SyncRequest& request,
                                              common::Time now) {
  if (source_.on_request) source_.on_request(request);
  // The confirmation is read before the rows, so that the rows are at least as recent.
  const Confirmation confirmation = source_.confirmation();
  Delta delta =
      source_.delta(common::LogIndex(request.since_index()), RowFilter::FromRequest(request));
  schema::SyncResponse response;
  response.set_index(delta.index.value());
  response.set_full(delta.full);
  for (schema::Row& row : delta.rows) *response.add_rows() = std::move(row);
  for (const auto& [document, version] : delta.document_versions) {
    schema::DocumentVersion& stated = *response.add_document_versions();
    stated.set_document(document);
    stated.set_version(version);
  }
  if (confirmation.confirmed_at && delta.index >= confirmation.index) {
    response.set_confirmed(true);
    response.set_freshness_age_ms(AgeMillis(*confirmation.confirmed_at, now));
    response.set_fence(confirmation.fence.value());
  }
  if (source_.complete) source_.complete(request, response);
  return response;
}

void SyncServer::RecordChild(const schema::SyncRequest& request, common::Time now) {
  const std::string& address = request.node().rpc_address();
  if (address.empty()) return;
  const std::lock_guard lock(mutex_);
  const auto [position, inserted] = children_.try_emplace(address);
  Child& child = position->second;
  // The response to this request contains all changes notified so far.
  if (inserted || child.incarnation != request.node().incarnation()) child.index = notified_index_;
  child.incarnation = request.node().incarnation();
  child.last_seen = now;
  child.unreachable = false;
  if (!child.client) {
    child.client = std::make_shared<rpc::Client>(rpc::ClientOptions{
        .address = address, .credential = options_.credential, .ca_file = options_.ca_file});
  }
}

void SyncServer::SetChildIndex(const std::string& address, common::LogIndex index) {
  const std::lock_guard lock(mutex_);
  const auto child = children_.find(address);
  if (child != children_.end()) child->second.index = std::max(child->second.index, index);
}

void SyncServer::Notify(common::LogIndex index) {
  {
    const std::lock_guard lock(mutex_);
    notified_index_ = std::max(notified_index_, index);
  }
  changed_.notify_all();
}

std::size_t SyncServer::children() const {
  const std::lock_guard lock(mutex_);
  return children_.size();
}

std::map<std::string, SyncServer::Child>::iterator SyncServer::NextChildToNotify(common::Time now) {
  std::erase_if(children_, [&](const auto& item) {
    return !item.second.notifying && now - item.second.last_seen > options_.child_timeout;
  });
  return std::find_if(children_.begin(), children_.end(), [&](const auto& item) {
    const Child& child = item.second;
    return !child.notifying && !child.unreachable && child.index < notified_index_;
  });
}

void SyncServer::RunNotifier() {
  std::unique_lock lock(mutex_);
  while (!stopping_) {
    const auto next = NextChildToNotify(common::BootClock::now());
    if (next == children_.end()) {
      changed_.wait(lock);
      continue;
    }
    const std::string address = next->first;
    const std::shared_ptr<rpc::Client> client = next->second.client;
    const common::LogIndex index = notified_index_;
    next->second.notifying = true;
    lock.unlock();
    const bool reached = SendNotification(*client, index);
    lock.lock();
    // A child is not erased while it is being notified.
    Child& child = children_.at(address);
    child.notifying = false;
    child.unreachable = !reached;
    child.index = std::max(child.index, index);
  }
}

bool SyncServer::SendNotification(rpc::Client& client, common::LogIndex index) const {
  schema::NotifyRequest request;
  request.set_index(index.value());
  try {
    static_cast<void>(
        client.Call<schema::NotifyResponse>("Notify", request, options_.notify_timeout));
    return true;
  } catch (const rpc::RpcError&) {
    return false;  // the child still syncs once per period
  }
}

}  // namespace briarwood::distribution
