#include "soak/caller.h"

#include <utility>

#include "platform/names.h"
#include "soak/configuration_source.h"

namespace briarwood::soak {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kShortestPause{10};
constexpr std::uint64_t kPauseSpreadMs = 80;
constexpr milliseconds kConnectLimit{1000};
/// Time after the deadline in which an answer is still awaited.
constexpr milliseconds kPatience{1000};
constexpr double kLeaveChance = 0.04;
constexpr std::uint64_t kLeaveWithinMs = 80;

struct Kind {
  CallKind kind;
  const char* path;
};

constexpr Kind kKinds[] = {{CallKind::kOnce, "/book/slot"},
                           {CallKind::kRepeatable, "/read/slot"},
                           {CallKind::kStream, "/ask/question"},
                           {CallKind::kResumableStream, "/draft/plan"}};

}  // namespace

Caller::Caller(http::EventLoop& loop, CallerOptions options, RequestPromises& promises)
    : loop_(loop),
      options_(std::move(options)),
      promises_(promises),
      random_(options_.seed),
      timer_(loop) {}

void Caller::Start() { WaitAndSend(); }

void Caller::WaitAndSend() {
  if (stopped_) {
    if (connection_) connection_->Close();
    return;
  }
  timer_.expires_after(kShortestPause + milliseconds(random_.Below(kPauseSpreadMs)));
  timer_.async_wait([self = shared_from_this()](const boost::system::error_code& error) {
    if (!error) self->Send();
  });
}

http::RequestHead Caller::MakeHead(const std::string& path) const {
  http::RequestHead head{.method = "POST", .target = path, .headers = {}};
  head.headers.Add("Host", kHost);
  head.headers.Add(platform::kAttemptId, outcome_.id);
  head.headers.Add(platform::kAuthorization, "Bearer " + options_.key);
  head.headers.Add(platform::kDeadlineMs, std::to_string(TimeoutOf(outcome_.kind).count()));
  head.headers.Add(platform::kTokenUsage, "600,80");
  head.headers.Add(platform::kPrefixHash, "a1:400,b2:150,c3:50");
  return head;
}

void Caller::Send() {
  const Kind& kind = kKinds[random_.Below(std::size(kKinds))];
  const common::Time now = common::BootClock::now();
  in_call_ = true;
  outcome_ = {.id = options_.name + "-" + std::to_string(++number_),
              .kind = kind.kind,
              .sent_at = now,
              .ended_at = now};
  answer_ = {};
  const std::string body = "body of " + outcome_.id;
  promises_.OnSent(
      outcome_.id,
      {.kind = kind.kind, .target = kind.path, .body = body, .customer = options_.customer});
  if (!connection_ || !connection_->reusable()) {
    const std::string& entry = options_.entries[random_.Below(options_.entries.size())];
    connection_ = http::OutgoingConnection::Create(loop_, *http::ParseEndpoint(entry));
  }
  const std::uint64_t number = number_;
  const auto self = shared_from_this();
  connection_->Send(http::SerializeRequest(MakeHead(kind.path), body.size(), /*has_body=*/true),
                    std::make_shared<const std::string>(body), kConnectLimit,
                    {.on_head =
                         [self](const http::ResponseHead& head) {
                           self->answer_.status = head.status;
                           self->answer_.has_receipt =
                               head.headers.Find(platform::kSignature) != nullptr;
                           return true;
                         },
                     .on_data = [self](std::string_view data) { self->answer_.body += data; },
                     .on_end =
                         [self, number](http::CallEnd end) {
                           if (self->in_call_ && self->number_ == number) self->OnEnd(end);
                         }});
  const bool early = random_.Chance(kLeaveChance);
  timer_.expires_after(early ? milliseconds(1 + random_.Below(kLeaveWithinMs))
                             : TimeoutOf(kind.kind) + kPatience);
  timer_.async_wait([self, early, number](const boost::system::error_code& error) {
    if (!error && self->in_call_ && self->number_ == number) self->GiveUp(early);
  });
}

void Caller::OnEnd(http::CallEnd end) {
  timer_.cancel();
  answer_.complete = end == http::CallEnd::kComplete;
  const common::Time now = common::BootClock::now();
  if (answer_.status != 0 && end != http::CallEnd::kInvalid) {
    promises_.OnAnswer(outcome_.id, answer_, now);
  }
  outcome_.status = answer_.status;
  outcome_.complete = answer_.complete;
  Finish();
}

void Caller::GiveUp(bool early) {
  connection_->Close();
  connection_.reset();
  outcome_.left = early;
  Finish();
}

void Caller::Finish() {
  in_call_ = false;
  outcome_.ended_at = common::BootClock::now();
  options_.on_outcome(outcome_);
  WaitAndSend();
}

}  // namespace briarwood::soak
