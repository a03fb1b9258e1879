// A desired state drops the last tenant with its keys. Requests with a dropped key, and with one
// that no desired state ever held, are run.

#include <string>
#include <thread>

#include "../rig.h"

namespace briarwood::review {
namespace {

constexpr milliseconds kConfigMs{2000};
constexpr std::chrono::seconds kWatched{10};
constexpr milliseconds kInterval{500};
constexpr const char* kKey = "n2ctnfzs989anu6wsjnb";
constexpr const char* kNeverHeld = "zzzzzzzzzzzzzzzzzzzz";

bool RuleHeld(Record& record) {
  Runs runs;
  std::vector<std::unique_ptr<Listener>> engines;
  Deployment deployment(record);
  for (unsigned i = 0; i < 3; ++i) {
    engines.push_back(std::make_unique<Listener>(
        deployment.AddEngine("i-" + std::to_string(i), "app", 6), [&](Channel& channel) {
          ServePlain(channel, runs, [](const Head&) { return std::string("200 OK"); });
        }));
  }
  deployment.Start();
  const std::string tenants =
      R"([{"name":"t1","apiKeys":[")" + std::string(kKey) + R"("],"priority":1}])";
  if (deployment.PutConfiguration(MakeState(1, tenants)) != 200) {
    throw RigError("the first state is refused");
  }
  deployment.AwaitReady();
  const std::string before = NewAttemptId();
  record.Line("never held key under state 1: status " +
              std::to_string(Book(deployment.Front(0), kNeverHeld, before).status) + " runs " +
              std::to_string(runs.Of(before)));
  // Without the disruption the tenant stays and loses its key.
  const std::string dropped = WithTrouble() ? "[]" : R"([{"name":"t1","apiKeys":[],"priority":1}])";
  if (deployment.PutConfiguration(MakeState(2, dropped)) != 200) {
    record.Line("state 2 is refused");
    return true;
  }
  const auto acknowledged = Clock::now();
  record.Line("state 2 with the tenants " + dropped + " is acknowledged");
  std::this_thread::sleep_until(acknowledged + kConfigMs + kInterval);
  unsigned late_runs = 0;
  unsigned foreign_runs = 0;
  while (Clock::now() < acknowledged + kWatched) {
    for (std::size_t machine = 0; machine < Deployment::kMachines; ++machine) {
      const std::string with_dropped = NewAttemptId();
      const std::string with_foreign = NewAttemptId();
      const int dropped_status = Book(deployment.Front(machine), kKey, with_dropped).status;
      const int foreign_status = Book(deployment.Front(machine), kNeverHeld, with_foreign).status;
      late_runs += runs.Of(with_dropped) > 0 ? 1 : 0;
      foreign_runs += runs.Of(with_foreign) > 0 ? 1 : 0;
      record.Line(
          Join({"machine ", std::to_string(machine), ": dropped key ",
                Describe(with_dropped, dropped_status, runs.Of(with_dropped)), ", never held key ",
                Describe(with_foreign, foreign_status, runs.Of(with_foreign))}));
    }
    std::this_thread::sleep_for(kInterval);
  }
  record.Line("run with the dropped key: " + std::to_string(late_runs) +
              ", run with a key that no state ever held: " + std::to_string(foreign_runs));
  return foreign_runs == 0;
}

}  // namespace
}  // namespace briarwood::review

int main(int argc, char** argv) {
  return briarwood::review::RunCase(briarwood::review::RuleHeld, argc, argv);
}
