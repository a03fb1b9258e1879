#include "briarwood/routing/stream_versions.h"

#include <algorithm>

namespace briarwood::routing {
namespace {

constexpr std::size_t kMaxStreams = 65'536;
/// Starts that wait for the control members; further ones are known to this entry only.
constexpr std::size_t kMaxPendingStarts = 16'384;
constexpr std::chrono::seconds kExpiryInterval{1};

}  // namespace

common::Digest128 StreamVersions::KeyOf(const common::CustomerId& customer,
                                        std::string_view request_id) {
  // A NUL separator distinguishes ("ab", "c") from ("a", "bc").
  std::string input = customer.value();
  input.push_back('\0');
  input += request_id;
  return common::Hash128(input);
}

void StreamVersions::OnBegan(const common::Digest128& key, StreamOrigin origin,
                             std::chrono::milliseconds lifetime, common::Time now) {
  if (began_.size() >= kMaxStreams) return;
  if (!began_.try_emplace(key, Began{.origin = origin, .expires_at = now + lifetime}).second) {
    return;
  }
  if (pending_starts_ >= kMaxPendingStarts) return;
  ++pending_starts_;
  schema::StreamStarts& starts = starts_[{origin.service, origin.software_version}];
  starts.set_service(origin.service);
  starts.set_software_version(origin.software_version);
  starts.add_keys(key.high);
  starts.add_keys(key.low);
  starts.add_lifetimes_ms(static_cast<std::uint64_t>(std::max<std::int64_t>(lifetime.count(), 0)));
}

const StreamOrigin* StreamVersions::Find(const common::Digest128& key, common::Time now) const {
  const auto found = began_.find(key);
  return found == began_.end() || found->second.expires_at <= now ? nullptr : &found->second.origin;
}

void StreamVersions::Ask(std::uint64_t ticket, const common::Digest128& key,
                         const std::string& service) {
  questions_[ticket] = {.key = key, .service = service};
}

void StreamVersions::Withdraw(std::uint64_t ticket) { questions_.erase(ticket); }

std::optional<schema::RecordStreams> StreamVersions::TakeBatch() {
  if (starts_.empty() && questions_.empty()) return std::nullopt;
  schema::RecordStreams batch;
  for (auto& [origin, starts] : starts_) *batch.add_starts() = std::move(starts);
  starts_.clear();
  pending_starts_ = 0;
  asked_.clear();
  for (const auto& [ticket, question] : questions_) {
    asked_.push_back(ticket);
    schema::StreamLookup& lookup = *batch.add_lookups();
    lookup.set_key_high(question.key.high);
    lookup.set_key_low(question.key.low);
    lookup.set_service(question.service);
  }
  return batch;
}

std::vector<StreamLookupAnswer> StreamVersions::OnBatchApplied(
    const schema::CommandResult& result) {
  std::vector<StreamLookupAnswer> answers;
  for (std::size_t i = 0; i < asked_.size() && static_cast<int>(i) < result.streams_size(); ++i) {
    if (questions_.erase(asked_[i]) == 0) continue;
    const schema::StreamLookupResult& found = result.streams(static_cast<int>(i));
    StreamLookupAnswer answer{
        .ticket = asked_[i],
        .origin = std::nullopt,
        .recorded_versions = {found.recorded_versions().begin(), found.recorded_versions().end()}};
    if (found.known()) {
      answer.origin =
          StreamOrigin{.service = found.service(), .software_version = found.software_version()};
    }
    answers.push_back(std::move(answer));
  }
  asked_.clear();
  return answers;
}

void StreamVersions::OnBatchFailed(const schema::RecordStreams& batch) {
  asked_.clear();
  for (const schema::StreamStarts& failed : batch.starts()) {
    if (pending_starts_ >= kMaxPendingStarts) return;
    pending_starts_ += static_cast<std::size_t>(failed.lifetimes_ms_size());
    schema::StreamStarts& starts = starts_[{failed.service(), failed.software_version()}];
    starts.MergeFrom(failed);
  }
}

void StreamVersions::Expire(common::Time now) {
  if (now < next_expiry_) return;
  next_expiry_ = now + kExpiryInterval;
  std::erase_if(began_, [now](const auto& item) { return item.second.expires_at <= now; });
}

}  // namespace briarwood::routing
