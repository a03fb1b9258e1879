// Engines of a plain service shed part of their requests for some seconds. The entry counts the
// body of each rejection as buffered and never releases it, until no answer fits any more. From
// then on it replaces the answers to requests that have run by 502, also long after the engines are
// sound.

#include <algorithm>
#include <atomic>
#include <string>
#include <thread>
#include <vector>

#include "rig.h"

namespace briarwood::review {
namespace {

constexpr unsigned kEngines = 3;
constexpr unsigned kSlots = 6;
constexpr milliseconds kWork{10};
/// The service's answers have 800 bytes on average and 4,800 at most.
constexpr std::size_t kAnswerBytes = 800;
constexpr std::size_t kPageBytes = 4800;
constexpr std::size_t kLineBytes = 400;

/// srv_grey with how "shed all", x 0.45 for 6.5 s, several times.
constexpr unsigned kShedPercent = 45;
constexpr milliseconds kShedFor{6500};
constexpr milliseconds kPause{1000};
constexpr unsigned kEpisodes = 6;
constexpr std::chrono::seconds kTraffic{90};

/// Clients of one zone, each with at most one request in this interval.
constexpr unsigned kClients = 120;
constexpr milliseconds kInterval{200};
constexpr const char* kKey = "n2ctnfzs989anu6wsjnb";
/// Share of refused and failed requests above which a day fails the gate.
constexpr double kMaxUnserved = 0.6;

struct Counts {
  std::atomic<unsigned> sent = 0;
  std::atomic<unsigned> served = 0;
  std::atomic<unsigned> run_but_replaced = 0;
  std::atomic<unsigned> refused = 0;

  [[nodiscard]] std::string ToText() const {
    return "sent " + std::to_string(sent) + ", served " + std::to_string(served) +
           ", run and answered 502 " + std::to_string(run_but_replaced) + ", refused with 503 " +
           std::to_string(refused);
  }
};

/// State that the engines of the service share.
struct Service {
  Runs runs;
  std::atomic<bool> shedding = false;
  std::atomic<unsigned> requests = 0;
  std::atomic<unsigned> rejections = 0;
};

/// Most rejections bring an error page, the others a line of text.
std::string Rejection(const std::string& id, unsigned number) {
  constexpr unsigned kRejectionsPerLine = 4;
  const std::size_t bytes = number % kRejectionsPerLine == 0 ? kLineBytes : kPageBytes;
  return "HTTP/1.1 503 Service Unavailable\r\nBriarwood-Attempt-Id: " + id +
         "\r\nBriarwood-Not-Executed: 1\r\nContent-Length: " + std::to_string(bytes) + "\r\n\r\n" +
         std::string(bytes, 'r');
}

void ServeBookings(Channel& channel, Service& service) {
  constexpr unsigned kHundred = 100;
  // A permutation of 0 to 99, so that rejections do not come in rows.
  constexpr unsigned kStep = 61;
  const std::string answer(kAnswerBytes, 'a');
  while (const auto head = channel.ReadHead()) {
    if (!channel.ReadBody(*head)) return;
    const std::string id = head->Find("briarwood-attempt-id");
    if (service.shedding && service.requests++ * kStep % kHundred < kShedPercent) {
      if (!channel.Write(Rejection(id, service.rejections++))) return;
      continue;
    }
    service.runs.Add(id);
    std::this_thread::sleep_for(kWork);
    if (!channel.Write(
            Join({"HTTP/1.1 200 OK\r\nBriarwood-Attempt-Id: ", id, "\r\nBriarwood-Signature: s.",
                  id, "\r\nContent-Length: ", std::to_string(kAnswerBytes), "\r\n\r\n", answer}))) {
      return;
    }
  }
}

bool RuleHeld(Record& record) {
  Service service;
  std::vector<std::unique_ptr<Listener>> engines;
  Deployment deployment(record);
  for (unsigned i = 0; i < kEngines; ++i) {
    engines.push_back(
        std::make_unique<Listener>(deployment.AddEngine("a-" + std::to_string(i), "app", kSlots),
                                   [&](Channel& channel) { ServeBookings(channel, service); }));
  }
  deployment.Start();
  const std::string tenants =
      R"([{"name":"t1","apiKeys":[")" + std::string(kKey) + R"("],"priority":1}])";
  if (deployment.PutConfiguration(MakeState(1, tenants)) != 200) {
    throw RigError("the first state is refused");
  }
  deployment.AwaitReady();

  Counts counts;
  const auto start = Clock::now();
  const auto end = start + kTraffic;
  std::vector<std::thread> clients;
  for (unsigned client = 0; client < kClients; ++client) {
    clients.emplace_back([&, client] {
      auto next = start + kInterval * client / kClients;
      while (next < end) {
        std::this_thread::sleep_until(next);
        next = std::max(next + kInterval, Clock::now());
        const std::string id = NewAttemptId();
        ++counts.sent;
        const Reply reply = Book(deployment.Front(0), kKey, id);
        if (reply.status == 200 && reply.body.size() == kAnswerBytes) ++counts.served;
        if (reply.status == 502 && service.runs.Of(id) > 0) ++counts.run_but_replaced;
        if (reply.status == 503) ++counts.refused;
      }
    });
  }
  for (unsigned episode = 0; episode < kEpisodes; ++episode) {
    std::this_thread::sleep_for(kPause);
    service.shedding = WithTrouble();
    std::this_thread::sleep_for(kShedFor);
    service.shedding = false;
    record.Line("after episode " + std::to_string(episode) + ": " + counts.ToText() +
                "; rejections by engines " + std::to_string(service.rejections));
  }
  constexpr std::chrono::seconds kReport{5};
  while (Clock::now() + kReport < end) {
    std::this_thread::sleep_for(kReport);
    record.Line("all engines are sound: " + counts.ToText());
  }
  for (std::thread& client : clients) client.join();
  const double unserved = 1 - static_cast<double>(counts.served) / counts.sent;
  record.Line("the whole time: " + counts.ToText() + "; share refused or failed " +
              std::to_string(unserved));
  return unserved <= kMaxUnserved;
}

}  // namespace
}  // namespace briarwood::review

int main(int argc, char** argv) {
  return briarwood::review::RunCase(briarwood::review::RuleHeld, argc, argv);
}
