// An engine runs a booking and answers it with a status that promises that it has not run, without
// saying that it has not run it. The entry passes the promise on, and the client books again.

#include <atomic>
#include <string>
#include <thread>

#include "../rig.h"

namespace briarwood::review {
namespace {

constexpr unsigned kBookings = 300;
constexpr unsigned kEngines = 8;
/// One of eight engines fails 45% of its requests for 6.5 s at a time, with 1 s between: srv_grey
/// with share 0.125 and x 0.45.
constexpr unsigned kHundred = 100;
constexpr unsigned kFailingPercent = 45;
constexpr milliseconds kEpisode{6500};
constexpr milliseconds kEpisodePeriod{7500};
constexpr milliseconds kInterval{20};
constexpr const char* kKey = "n2ctnfzs989anu6wsjnb";

bool InEpisode() {
  static const Clock::time_point kStart = Clock::now();
  return (Clock::now() - kStart) % kEpisodePeriod < kEpisode;
}

bool RuleHeld(Record& record) {
  Runs runs;
  std::atomic<unsigned> answers = 0;
  std::vector<std::unique_ptr<Listener>> engines;
  Deployment deployment(record);
  for (unsigned i = 0; i < kEngines; ++i) {
    engines.push_back(std::make_unique<Listener>(
        deployment.AddEngine("i-" + std::to_string(i), "app", 6), [&, i](Channel& channel) {
          ServePlain(channel, runs, [&, i](const Head&) {
            // A permutation of 0 to 99, so that failures do not come in rows.
            constexpr unsigned kStep = 61;
            const bool fails =
                i == 0 && InEpisode() && answers++ * kStep % kHundred < kFailingPercent;
            if (!fails) return std::string("200 OK");
            return std::string(WithTrouble() ? "503 Service Unavailable"
                                             : "500 Internal Server Error");
          });
        }));
  }
  deployment.Start();
  const std::string tenants =
      R"([{"name":"t1","apiKeys":[")" + std::string(kKey) + R"("],"priority":1}])";
  if (deployment.PutConfiguration(MakeState(1, tenants)) != 200) {
    throw RigError("the first state is refused");
  }
  deployment.AwaitReady();
  unsigned false_promises = 0;
  unsigned booked_twice = 0;
  for (unsigned booking = 0; booking < kBookings; ++booking) {
    const std::string front = deployment.Front(booking % Deployment::kMachines);
    const std::string first = NewAttemptId();
    const Reply reply = Book(front, kKey, first);
    const bool promised =
        reply.status == 503 || reply.status == 429 || reply.status == 408 || reply.status == 421;
    std::string line = "booking " + std::to_string(booking) + ": attempt " + first + " status " +
                       std::to_string(reply.status) + " runs " + std::to_string(runs.Of(first));
    if (promised && runs.Of(first) > 0) ++false_promises;
    if (promised) {
      const std::string second = NewAttemptId();
      const Reply again = Book(front, kKey, second);
      line += ", again as " + second + " status " + std::to_string(again.status) + " runs " +
              std::to_string(runs.Of(second));
      if (runs.Of(first) > 0 && runs.Of(second) > 0) ++booked_twice;
    }
    record.Line(line);
    std::this_thread::sleep_for(kInterval);
  }
  record.Line("answered 429, 503, 408 or 421 although they have run: " +
              std::to_string(false_promises) + ", booked twice: " + std::to_string(booked_twice));
  return false_promises == 0;
}

}  // namespace
}  // namespace briarwood::review

int main(int argc, char** argv) {
  return briarwood::review::RunCase(briarwood::review::RuleHeld, argc, argv);
}
