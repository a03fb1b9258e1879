#include "soak/operators.h"

#include <algorithm>
#include <utility>

#include "platform/names.h"
#include "soak/configuration_source.h"
#include "soak/http_call.h"

namespace briarwood::soak {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kCallLimit{1000};
constexpr milliseconds kFirstBackoff{100};
constexpr milliseconds kLongestBackoff{800};
constexpr milliseconds kShortestPause{150};
constexpr std::uint64_t kPauseSpreadMs = 1200;
constexpr std::uint64_t kLongestStep = 5;
constexpr double kInvalidChance = 0.1;
constexpr milliseconds kProbePause{100};

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

ConfigurationWriter::ConfigurationWriter(http::EventLoop& loop, std::uint64_t seed,
                                         std::vector<Listener> members, VersionSequence& versions,
                                         ConfigurationPromises& promises)
    : loop_(loop),
      random_(seed),
      members_(std::move(members)),
      versions_(versions),
      promises_(promises),
      timer_(loop) {}

void ConfigurationWriter::After(milliseconds pause, void (ConfigurationWriter::*next)()) {
  timer_.expires_after(pause);
  timer_.async_wait([self = shared_from_this(), next](const boost::system::error_code& error) {
    if (!error) ((*self).*next)();
  });
}

void ConfigurationWriter::SendNext() {
  if (stopped_) {
    idle_ = true;
    return;
  }
  versions_.last += 1 + random_.Below(kLongestStep);
  version_ = versions_.last;
  // The first one must take effect before anything else can be seen.
  valid_ = promises_.acknowledged() == 0 || !random_.Chance(kInvalidChance);
  content_ = MakeConfiguration(version_, valid_);
  tries_ = 0;
  promises_.OnSent(version_, content_);
  Send();
}

void ConfigurationWriter::Send() {
  ++tries_;
  const Listener& member = members_[random_.Below(members_.size())];
  CallOnce(loop_, member.address, ConfigurationHead("PUT"), content_, kCallLimit,
           [self = shared_from_this()](const std::optional<HttpReply>& reply) {
             const std::uint16_t status = reply ? reply->head.status : 0;
             if (status != 0) {
               self->promises_.OnAnswer(self->version_, status, self->valid_,
                                        common::BootClock::now());
             }
             const bool refused = status >= kFirstClientError && status < kFirstServerError;
             if (status == kOk || refused) {
               self->After(kShortestPause + milliseconds(self->random_.Below(kPauseSpreadMs)),
                           &ConfigurationWriter::SendNext);
               return;
             }
             const milliseconds backoff = kFirstBackoff * self->tries_;
             self->After(std::min(backoff, kLongestBackoff), &ConfigurationWriter::Send);
           });
}

ConfigurationProbe::ConfigurationProbe(http::EventLoop& loop, std::uint64_t seed,
                                       std::vector<Listener> members, std::vector<Listener> entries,
                                       ConfigurationPromises& configurations,
                                       RequestPromises& requests)
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
  timer_.expires_after(kProbePause);
  timer_.async_wait([self = shared_from_this()](const boost::system::error_code& error) {
    if (error || self->stopped_) return;
    self->Probe();
    self->Wait();
  });
}

void ConfigurationProbe::Probe() {
  Read(members_[random_.Below(members_.size())], [](std::uint64_t /*version*/) {});
  const std::uint64_t newest = configurations_.acknowledged();
  if (newest == 0) return;
  if (seen_versions_.empty() || seen_versions_.back() != newest) seen_versions_.push_back(newest);
  // Asks for the newest version mostly, and else for an older one, which must not come back.
  constexpr std::size_t kOldVersions = 4;
  const std::size_t back =
      random_.Chance(0.5) ? 0 : random_.Below(std::min(kOldVersions, seen_versions_.size()));
  Ask(entries_[random_.Below(entries_.size())], seen_versions_[seen_versions_.size() - 1 - back],
      [](std::uint16_t /*status*/) {});
}

void ConfigurationProbe::Read(const Listener& member,
                              std::function<void(std::uint64_t version)> on_version) {
  const common::Time sent_at = common::BootClock::now();
  CallOnce(loop_, member.address, ConfigurationHead("GET"), {}, kCallLimit,
           [self = shared_from_this(), name = member.name, sent_at,
            on_version = std::move(on_version)](const std::optional<HttpReply>& reply) {
             if (!reply || reply->head.status != kOk) {
               on_version(0);
               return;
             }
             const std::uint64_t version = VersionOf(reply->body).value_or(0);
             self->configurations_.OnRead(name, version, reply->body, sent_at,
                                          common::BootClock::now());
             on_version(version);
           });
}

void ConfigurationProbe::Ask(const Listener& entry, std::uint64_t version,
                             std::function<void(std::uint16_t status)> on_answer) {
  const std::string id = "probe-" + std::to_string(++number_);
  http::RequestHead head{.method = "GET", .target = VersionPath(version) + "x", .headers = {}};
  head.headers.Add("Host", kHost);
  head.headers.Add(platform::kAttemptId, id);
  head.headers.Add(platform::kAuthorization, std::string("Bearer ") + kKeyA);
  head.headers.Add(platform::kDeadlineMs, std::to_string(kCallLimit.count()));
  requests_.OnSent(
      id,
      {.kind = CallKind::kRepeatable, .target = head.target, .body = {}, .customer = kCustomerA});
  const common::Time sent_at = common::BootClock::now();
  CallOnce(loop_, entry.address, head, {}, kCallLimit,
           [self = shared_from_this(), name = entry.name, lifetime = entry.lifetime(), version,
            sent_at, on_answer = std::move(on_answer)](const std::optional<HttpReply>& reply) {
             const std::uint16_t status = reply ? reply->head.status : 0;
             if (status == kOk) {
               self->configurations_.OnServed(name, lifetime, version, sent_at,
                                              common::BootClock::now());
             }
             on_answer(status);
           });
}

}  // namespace briarwood::soak
