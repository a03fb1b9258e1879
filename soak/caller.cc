#include "soak/caller.h"

#include <utility>

#include "briarwood/common/digest.h"
#include "platform/names.h"
#include "soak/configuration_source.h"

namespace briarwood::soak {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kMinCallDelay{10};
constexpr std::uint64_t kCallDelaySpreadMs = 80;
constexpr milliseconds kMinSlowCallDelay{500};
constexpr std::uint64_t kSlowCallDelaySpreadMs = 2500;
constexpr milliseconds kConnectTimeout{1000};
/// Additional wait for a response after the deadline of the call.
constexpr milliseconds kResponseGracePeriod{1000};
constexpr double kDisconnectProbability = 0.04;
constexpr std::uint64_t kMaxDisconnectDelayMs = 80;

struct CallRoute {
  CallKind kind;
  const char* path;
};

constexpr CallRoute kCallRoutes[] = {{CallKind::kOnce, "/book/slot"},
                                     {CallKind::kRetryable, "/read/slot"},
                                     {CallKind::kStream, "/ask/question"},
                                     {CallKind::kResumableStream, "/draft/plan"}};
constexpr std::size_t kFirstStreamRoute = 2;
constexpr std::uint64_t kSharedParts = 6;

}  // namespace

Caller::Caller(http::EventLoop& loop, CallerOptions options, RequestChecker& checker)
    : loop_(loop),
      options_(std::move(options)),
      checker_(checker),
      random_(options_.seed),
      timer_(loop) {}

void Caller::Start() { ScheduleNext(); }

void Caller::ScheduleNext() {
  if (stopped_) {
    if (connection_) connection_->Close();
    return;
  }
  timer_.expires_after(options_.slow
                           ? kMinSlowCallDelay + milliseconds(random_.Below(kSlowCallDelaySpreadMs))
                           : kMinCallDelay + milliseconds(random_.Below(kCallDelaySpreadMs)));
  timer_.async_wait([self = shared_from_this()](const boost::system::error_code& error) {
    if (!error) self->Send();
  });
}

std::string Caller::PromptParts() const {
  // Requests share the first part; some share the second, and the last belongs to the request.
  const std::uint64_t hash = common::Hash64(outcome_.id);
  const std::string second = "b" + std::to_string(hash % kSharedParts) + ":150,";
  const std::string extra = options_.extra_part.empty() ? "" : options_.extra_part + ":60,";
  return "a1:400," + (hash % 2 == 0 ? extra + second : second + extra) + std::to_string(hash) +
         ":50";
}

http::RequestHead Caller::MakeHead(const std::string& path) const {
  http::RequestHead head{.method = "POST", .target = path, .headers = {}};
  head.headers.Add("Host", kHost);
  head.headers.Add(platform::kAttemptId, outcome_.id);
  head.headers.Add(platform::kAuthorization, "Bearer " + options_.key);
  head.headers.Add(platform::kDeadlineMs, std::to_string(TimeoutOf(outcome_.kind).count()));
  head.headers.Add(platform::kTokenUsage, "600,80");
  head.headers.Add(platform::kPrefixHash, PromptParts());
  return head;
}

void Caller::Connect(common::Time now) {
  if (connection_) connection_->Close();
  entry_ = &options_.entries[random_.Below(options_.entries.size())];
  entry_lifetime_ = entry_->lifetime();
  connected_at_ = now;
  connection_ = http::OutgoingConnection::Create(loop_, *http::ParseEndpoint(entry_->address));
}

void Caller::Send() {
  const std::size_t first = options_.extra_part.empty() ? 0 : kFirstStreamRoute;
  const CallRoute& route = kCallRoutes[first + random_.Below(std::size(kCallRoutes) - first)];
  const common::Time now = common::BootClock::now();
  if (!connection_ || !connection_->reusable() || connection_->HasInput()) Connect(now);
  in_call_ = true;
  outcome_ = {.id = options_.name + "-" + std::to_string(++number_),
              .kind = route.kind,
              .entry = entry_->name,
              .entry_address = entry_->address,
              .entry_lifetime = entry_lifetime_,
              .connected_at = connected_at_,
              .sent_at = now,
              .ended_at = now};
  response_ = {};
  const std::string body = "body of " + outcome_.id;
  checker_.OnSent(outcome_.id, {.kind = route.kind,
                                .target = route.path,
                                .body = body,
                                .customer = options_.customer,
                                .entry = entry_->name});
  const std::uint64_t number = number_;
  const auto self = shared_from_this();
  connection_->Send(http::SerializeRequest(MakeHead(route.path), body.size(), /*has_body=*/true),
                    std::make_shared<const std::string>(body), kConnectTimeout,
                    {.on_head =
                         [self](const http::ResponseHead& head) {
                           self->response_.status = head.status;
                           self->response_.has_signature =
                               head.headers.Find(platform::kSignature) != nullptr;
                           return true;
                         },
                     .on_data = [self](std::string_view data) { self->response_.body += data; },
                     .on_end =
                         [self, number](http::CallEnd end) {
                           if (self->in_call_ && self->number_ == number) self->OnEnd(end);
                         }});
  const bool early = random_.Chance(kDisconnectProbability);
  timer_.expires_after(early ? milliseconds(1 + random_.Below(kMaxDisconnectDelayMs))
                             : TimeoutOf(route.kind) + kResponseGracePeriod);
  timer_.async_wait([self, early, number](const boost::system::error_code& error) {
    if (!error && self->in_call_ && self->number_ == number) self->Abandon(early);
  });
}

void Caller::OnEnd(http::CallEnd end) {
  timer_.cancel();
  response_.complete = end == http::CallEnd::kComplete;
  const common::Time now = common::BootClock::now();
  if (response_.status != 0 && end != http::CallEnd::kInvalid && end != http::CallEnd::kOversized) {
    checker_.OnResponse(outcome_.id, response_, now);
  }
  outcome_.status = response_.status;
  outcome_.complete = response_.complete;
  outcome_.not_sent = end == http::CallEnd::kNotSent;
  Finish();
}

void Caller::Abandon(bool early) {
  connection_->Close();
  connection_.reset();
  outcome_.status = response_.status;
  outcome_.disconnected = early;
  Finish();
}

void Caller::Finish() {
  in_call_ = false;
  outcome_.ended_at = common::BootClock::now();
  options_.on_outcome(outcome_);
  ScheduleNext();
}

}  // namespace briarwood::soak
