#include "soak/operators.h"

#include <algorithm>
#include <utility>

#include "platform/names.h"
#include "soak/configuration_source.h"
#include "soak/http_call.h"

namespace briarwood::soak {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kCallTimeout{1000};
constexpr milliseconds kBackoffStep{100};
constexpr milliseconds kMaxBackoff{800};
constexpr milliseconds kMinWriteDelay{150};
constexpr std::uint64_t kWriteDelaySpreadMs = 1200;
constexpr std::uint64_t kMaxVersionStep = 5;
constexpr double kInvalidProbability = 0.1;
constexpr milliseconds kProbeInterval{100};
/// Each entry is called for the newest due version once in this many intervals.
constexpr std::uint64_t kKeptProbeRounds = 2;

constexpr std::uint16_t kOk = 200;
constexpr std::uint16_t kFirstClientError = 400;
constexpr std::uint16_t kFirstServerError = 500;

http::RequestHead ConfigurationHead(const char* method) {
  http::RequestHead head{.method = method, .target = platform::kConfigurationPath, .headers = {}};
  head.headers.Add("Host", kHost);
  head.headers.Add("Content-Type", "application/json");
  return head;
}

}  // namespace

std::uint64_t VersionSequence::Next(common::Random& random) {
  if (last_ != 0) kept_.push_back(last_);
  if (kept_.size() > kKeptVersions) kept_.erase(kept_.begin());
  last_ += 1 + random.Below(kMaxVersionStep);
  return last_;
}

ConfigurationWriter::ConfigurationWriter(http::EventLoop& loop, std::uint64_t seed,
                                         std::vector<Listener> members, VersionSequence& versions,
                                         ConfigurationChecker& checker)
    : loop_(loop),
      random_(seed),
      members_(std::move(members)),
      versions_(versions),
      checker_(checker),
      timer_(loop) {}

void ConfigurationWriter::RunAfter(milliseconds delay, void (ConfigurationWriter::*next)()) {
  timer_.expires_after(delay);
  timer_.async_wait([self = shared_from_this(), next](const boost::system::error_code& error) {
    if (!error) ((*self).*next)();
  });
}

void ConfigurationWriter::SendNext() {
  if (stopped_) {
    idle_ = true;
    return;
  }
  version_ = versions_.Next(random_);
  // Until one configuration is acknowledged, nothing else can be observed; all are valid until
  // then.
  valid_ = checker_.acknowledged() == 0 || !random_.Chance(kInvalidProbability);
  content_ = MakeConfiguration(version_, versions_.kept(), valid_);
  attempts_ = 0;
  checker_.OnSent(version_, content_, versions_.kept());
  Send();
}

void ConfigurationWriter::Send() {
  ++attempts_;
  const Listener& member = members_[random_.Below(members_.size())];
  CallOnce(
      loop_, member.address, ConfigurationHead("PUT"), content_, kCallTimeout,
      [self = shared_from_this()](const std::optional<HttpResponse>& response) {
        const std::uint16_t status = response ? response->head.status : 0;
        if (status != 0) {
          self->checker_.OnResponse(self->version_, status, self->valid_, common::BootClock::now());
        }
        const bool rejected = status >= kFirstClientError && status < kFirstServerError;
        if (status == kOk || rejected) {
          self->RunAfter(kMinWriteDelay + milliseconds(self->random_.Below(kWriteDelaySpreadMs)),
                         &ConfigurationWriter::SendNext);
          return;
        }
        const milliseconds backoff = kBackoffStep * self->attempts_;
        self->RunAfter(std::min(backoff, kMaxBackoff), &ConfigurationWriter::Send);
      });
}

ConfigurationProbe::ConfigurationProbe(http::EventLoop& loop, std::uint64_t seed,
                                       std::vector<Listener> members, std::vector<Listener> entries,
                                       ConfigurationChecker& configurations,
                                       RequestChecker& requests)
    : loop_(loop),
      random_(seed),
      members_(std::move(members)),
      entries_(std::move(entries)),
      configurations_(configurations),
      requests_(requests),
      timer_(loop) {}

void ConfigurationProbe::Start() { Wait(); }

void ConfigurationProbe::Wait() {
  if (stopped_) return;
  timer_.expires_after(kProbeInterval);
  timer_.async_wait([self = shared_from_this()](const boost::system::error_code& error) {
    if (error || self->stopped_) return;
    self->Probe();
    self->Wait();
  });
}

void ConfigurationProbe::Probe() {
  ReadMember(members_[random_.Below(members_.size())], [](std::uint64_t /*version*/) {});
  const std::uint64_t newest = configurations_.acknowledged();
  if (newest == 0) return;
  if (seen_versions_.empty() || seen_versions_.back() != newest) seen_versions_.push_back(newest);
  // Mostly probes the newest version, otherwise an older one, which must not be in force again.
  constexpr std::size_t kRecentVersions = 12;
  const std::size_t back =
      random_.Chance(0.5) ? 0 : random_.Below(std::min(kRecentVersions, seen_versions_.size()));
  ProbeEntry(entries_[random_.Below(entries_.size())],
             seen_versions_[seen_versions_.size() - 1 - back], [](std::uint16_t /*status*/) {});
  const std::optional<std::uint64_t> due = configurations_.DueVersion(common::BootClock::now());
  if (!due) return;
  // Each entry is called in turn, with a route and a key alternately.
  ++kept_probes_;
  for (std::size_t i = 0; i < entries_.size(); ++i) {
    if ((kept_probes_ + i) % kKeptProbeRounds != 0) continue;
    ProbeKept(entries_[i], *due, kept_probes_ / kKeptProbeRounds % 2 == 0);
  }
}

void ConfigurationProbe::ReadMember(const Listener& member,
                                    std::function<void(std::uint64_t version)> on_version) {
  const common::Time sent_at = common::BootClock::now();
  CallOnce(loop_, member.address, ConfigurationHead("GET"), {}, kCallTimeout,
           [self = shared_from_this(), name = member.name, sent_at,
            on_version = std::move(on_version)](const std::optional<HttpResponse>& response) {
             if (!response || response->head.status != kOk) {
               on_version(0);
               return;
             }
             const std::uint64_t version = ParseVersion(response->body).value_or(0);
             self->configurations_.OnRead(name, version, response->body, sent_at,
                                          common::BootClock::now());
             on_version(version);
           });
}

void ConfigurationProbe::ProbeEntry(const Listener& entry, std::uint64_t version,
                                    std::function<void(std::uint16_t status)> on_response) {
  const common::Time sent_at = common::BootClock::now();
  CallEntry(entry, VersionPath(version), kCustomerA, kKeyA,
            [self = shared_from_this(), name = entry.name, lifetime = entry.lifetime(), version,
             sent_at, on_response = std::move(on_response)](std::uint16_t status) {
              if (status == kOk) {
                self->configurations_.OnServed(name, lifetime, version, sent_at,
                                               common::BootClock::now());
              }
              on_response(status);
            });
}

void ConfigurationProbe::ProbeKept(const Listener& entry, std::uint64_t version, bool by_key) {
  const common::Time sent_at = common::BootClock::now();
  CallEntry(entry, by_key ? "/read/" : KeptPath(version), by_key ? kCustomerC : kCustomerA,
            by_key ? KeptKey(version) : kKeyA,
            [self = shared_from_this(), name = entry.name, version, sent_at](std::uint16_t status) {
              self->configurations_.OnKeptCall(name, version, status, sent_at,
                                               common::BootClock::now());
            });
}

void ConfigurationProbe::CallEntry(const Listener& entry, const std::string& path,
                                   const std::string& customer, const std::string& key,
                                   std::function<void(std::uint16_t status)> on_response) {
  const std::string id = "probe-" + std::to_string(++number_);
  http::RequestHead head{.method = "GET", .target = path + "x", .headers = {}};
  head.headers.Add("Host", kHost);
  head.headers.Add(platform::kAttemptId, id);
  head.headers.Add(platform::kAuthorization, "Bearer " + key);
  head.headers.Add(platform::kDeadlineMs, std::to_string(kCallTimeout.count()));
  requests_.OnSent(
      id, {.kind = CallKind::kRetryable, .target = head.target, .body = {}, .customer = customer});
  CallOnce(loop_, entry.address, head, {}, kCallTimeout,
           [on_response = std::move(on_response)](const std::optional<HttpResponse>& response) {
             on_response(response ? response->head.status : 0);
           });
}

}  // namespace briarwood::soak
