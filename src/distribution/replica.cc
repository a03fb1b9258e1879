#include "briarwood/distribution/replica.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace briarwood::distribution {

Replica::Subscription::Subscription(Subscription&& other) noexcept
    : replica_(std::exchange(other.replica_, nullptr)), id_(other.id_) {}

Replica::Subscription& Replica::Subscription::operator=(Subscription&& other) noexcept {
  if (this != &other) {
    Reset();
    replica_ = std::exchange(other.replica_, nullptr);
    id_ = other.id_;
  }
  return *this;
}

Replica::Subscription::~Subscription() { Reset(); }

void Replica::Subscription::Reset() noexcept {
  if (replica_ != nullptr) replica_->Unsubscribe(id_);
  replica_ = nullptr;
}

bool Replica::Apply(const schema::SyncResponse& response, common::Time sent_at) {
  std::vector<RowTable::RowKey> changed;
  {
    const std::unique_lock lock(mutex_);
    const Delta delta{.index = common::LogIndex(response.index()),
                      .full = response.full(),
                      .rows = {response.rows().begin(), response.rows().end()}};
    if (delta.index < table_.index()) return false;
    changed = table_.Merge(delta);
    UpdateKeys(changed);
    for (const schema::DocumentVersion& stated : response.document_versions()) {
      document_versions_[stated.document()] = stated.version();
    }
    if (response.confirmed()) {
      const common::Time confirmed_at =
          sent_at - std::chrono::milliseconds(response.freshness_age_ms());
      freshness_ = freshness_ ? std::max(*freshness_, confirmed_at) : confirmed_at;
      fence_ = std::max(fence_, common::Term(response.fence()));
    }
  }
  if (!changed.empty()) NotifySubscribers(changed);
  return true;
}

void Replica::UpdateKeys(const std::vector<RowTable::RowKey>& changed) {
  for (const auto& [kind, id] : changed) {
    if (kind != schema::ROW_KIND_KEY) continue;
    const schema::Row* row = table_.Find(kind, id);
    schema::KeyRow key;
    if (row != nullptr && key.ParseFromString(row->value())) {
      keys_[id] = std::move(key);
    } else {
      keys_.erase(id);
    }
  }
}

void Replica::NotifySubscribers(const std::vector<RowTable::RowKey>& changed) {
  const std::lock_guard lock(callback_mutex_);
  const auto callbacks = callbacks_;
  for (const auto& [id, callback] : callbacks) {
    if (callbacks_.contains(id)) (*callback)(changed);
  }
}

common::LogIndex Replica::index() const {
  const std::shared_lock lock(mutex_);
  return table_.index();
}

std::optional<common::Time> Replica::freshness() const {
  const std::shared_lock lock(mutex_);
  return freshness_;
}

common::Term Replica::fence() const {
  const std::shared_lock lock(mutex_);
  return fence_;
}

std::map<std::string, std::uint64_t> Replica::document_versions() const {
  const std::shared_lock lock(mutex_);
  return document_versions_;
}

Delta Replica::DeltaSince(common::LogIndex index, const RowFilter& filter) const {
  const std::shared_lock lock(mutex_);
  Delta delta = table_.DeltaSince(index, filter);
  delta.document_versions = document_versions_;
  return delta;
}

std::optional<schema::KeyRow> Replica::FindKey(std::string_view sha256_hex) const {
  const std::shared_lock lock(mutex_);
  const auto found = keys_.find(std::string(sha256_hex));
  if (found == keys_.end()) return std::nullopt;
  return found->second;
}

std::optional<schema::Customer> Replica::FindCustomer(const std::string& id) const {
  const std::shared_lock lock(mutex_);
  const schema::Row* row = table_.Find(schema::ROW_KIND_CUSTOMER, id);
  schema::Customer customer;
  if (row == nullptr || !customer.ParseFromString(row->value())) return std::nullopt;
  return customer;
}

template <typename Message>
std::vector<Message> Replica::ReadAll(schema::RowKind kind) const {
  std::vector<Message> messages;
  const std::shared_lock lock(mutex_);
  table_.ForEach(kind, [&](const schema::Row& row) {
    Message message;
    if (message.ParseFromString(row.value())) messages.push_back(std::move(message));
  });
  return messages;
}

std::vector<schema::FailureDomain> Replica::FailureDomains() const {
  return ReadAll<schema::FailureDomain>(schema::ROW_KIND_FAILURE_DOMAIN);
}

std::vector<schema::Customer> Replica::Customers() const {
  return ReadAll<schema::Customer>(schema::ROW_KIND_CUSTOMER);
}

std::vector<schema::RequestClass> Replica::Classes() const {
  return ReadAll<schema::RequestClass>(schema::ROW_KIND_CLASS);
}

std::vector<schema::Model> Replica::Models() const {
  return ReadAll<schema::Model>(schema::ROW_KIND_MODEL);
}

std::vector<schema::Route> Replica::Routes() const {
  return ReadAll<schema::Route>(schema::ROW_KIND_ROUTE);
}

std::vector<schema::BackendServer> Replica::BackendServers() const {
  return ReadAll<schema::BackendServer>(schema::ROW_KIND_BACKEND_SERVER);
}

std::vector<schema::Vm> Replica::Vms() const { return ReadAll<schema::Vm>(schema::ROW_KIND_VM); }

std::vector<schema::ForwardRoute> Replica::ForwardRoutes() const {
  return ReadAll<schema::ForwardRoute>(schema::ROW_KIND_FORWARD_ROUTE);
}

std::vector<schema::Service> Replica::Services() const {
  return ReadAll<schema::Service>(schema::ROW_KIND_SERVICE);
}

std::optional<schema::CallerLimits> Replica::CallerLimits() const {
  const auto limits = ReadAll<schema::CallerLimits>(schema::ROW_KIND_CALLER_LIMITS);
  if (limits.empty()) return std::nullopt;
  return limits.front();
}

std::vector<common::BackendServerId> Replica::Draining() const {
  std::vector<common::BackendServerId> ids;
  const std::shared_lock lock(mutex_);
  table_.ForEach(schema::ROW_KIND_DRAINING,
                 [&](const schema::Row& row) { ids.emplace_back(row.id()); });
  return ids;
}

std::set<common::FailureDomainId> Replica::DrainingDomains() const {
  std::set<common::FailureDomainId> domains;
  const std::shared_lock lock(mutex_);
  table_.ForEach(schema::ROW_KIND_DRAINING_DOMAIN,
                 [&](const schema::Row& row) { domains.emplace(row.id()); });
  return domains;
}

std::map<std::string, schema::SuspectRow> Replica::Suspects() const {
  std::map<std::string, schema::SuspectRow> suspects;
  const std::shared_lock lock(mutex_);
  table_.ForEach(schema::ROW_KIND_SUSPECT, [&](const schema::Row& row) {
    schema::SuspectRow suspect;
    if (suspect.ParseFromString(row.value())) suspects.emplace(row.id(), std::move(suspect));
  });
  return suspects;
}

std::vector<schema::CrashEvidence> Replica::CrashEvidence() const {
  return ReadAll<schema::CrashEvidence>(schema::ROW_KIND_CRASH_EVIDENCE);
}

std::vector<common::Incarnation> Replica::DeadIncarnations() const {
  std::vector<common::Incarnation> incarnations;
  for (const schema::DeclareDead& dead :
       ReadAll<schema::DeclareDead>(schema::ROW_KIND_DEAD_INCARNATION)) {
    incarnations.emplace_back(dead.incarnation());
  }
  return incarnations;
}

Replica::Subscription Replica::Subscribe(Callback callback) {
  const std::lock_guard lock(callback_mutex_);
  const std::uint64_t id = next_callback_id_++;
  callbacks_[id] = std::make_shared<Callback>(std::move(callback));
  return {this, id};
}

void Replica::Unsubscribe(std::uint64_t id) noexcept {
  const std::lock_guard lock(callback_mutex_);
  callbacks_.erase(id);
}

}  // namespace briarwood::distribution
