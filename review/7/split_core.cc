// The core has five machines, of which the first three vote. Two voters are cut from the other
// three machines. They acknowledge a change that no machine of the larger side obeys.

#include <string>
#include <thread>
#include <vector>

#include "../fleet.h"

namespace briarwood::review {
namespace {

constexpr std::size_t kMachines = 5;
constexpr milliseconds kStartTimeout{20'000};
constexpr milliseconds kAddedRun{10'000};
/// contactMs, after which the larger side is stable and in touch, and a second more.
constexpr milliseconds kBeforeChange{4000};
constexpr milliseconds kConfigMs{2000};
constexpr milliseconds kSlack{250};
constexpr milliseconds kCut{10'000};
constexpr milliseconds kAckTimeout{2000};
constexpr milliseconds kInterval{250};
constexpr const char* kKept = "n2ctnfzs989anu6wsjnb";
constexpr const char* kDropped = "anfqasnmgkcuyj8pjbvk";

std::string Tenants(bool with_dropped) {
  std::string text = R"([{"name":"t1","apiKeys":[")" + std::string(kKept) + "\"";
  if (with_dropped) text += ",\"" + std::string(kDropped) + "\"";
  return text + R"(],"priority":1}])";
}

bool RuleHeld(Record& record) {
  Runs runs;
  std::vector<std::unique_ptr<Listener>> engines;
  Fleet fleet(record, kMachines, Paths::kThroughLinks);
  for (unsigned i = 0; i < 3; ++i) {
    engines.push_back(std::make_unique<Listener>(
        fleet.AddEngine("i-" + std::to_string(i), "app", 6), [&](Channel& channel) {
          ServePlain(channel, runs, [](const Head&) { return std::string("200 OK"); });
        }));
  }
  fleet.StartFirst();
  if (fleet.Put({0, 1, 2}, MakeState(1, Tenants(true)), kStartTimeout) != 200) {
    throw RigError("state 1 is not acknowledged");
  }
  fleet.StartSuccessor(3);
  fleet.StartSuccessor(4);
  std::this_thread::sleep_for(kAddedRun);
  for (std::size_t machine = 0; machine < kMachines; ++machine) fleet.AwaitReady(machine);
  record.Line("all entries are ready");
  const auto cut_at = Clock::now();
  if (WithTrouble()) fleet.Cut({0, 1});
  std::this_thread::sleep_until(cut_at + kBeforeChange);
  const int status = fleet.Put({0, 1}, MakeState(2, Tenants(false)), kAckTimeout);
  const auto acknowledged = Clock::now();
  record.Line("state 2, which drops a key, at machines 0 and 1: " + std::to_string(status));
  const std::vector<std::size_t> larger_side = {2, 3, 4};
  unsigned late = 0;
  if (status == 200) {
    std::this_thread::sleep_until(acknowledged + kConfigMs + kSlack);
    while (Clock::now() < cut_at + kCut - kInterval) {
      for (const std::size_t machine : larger_side) {
        const std::string id = NewAttemptId();
        const int answer = Book(fleet.Front(machine), kDropped, id).status;
        late += runs.Of(id) > 0 ? 1 : 0;
        record.Line("machine " + std::to_string(machine) +
                    ", dropped key: " + Describe(id, answer, runs.Of(id)));
      }
      std::this_thread::sleep_for(kInterval);
    }
  }
  if (WithTrouble()) {
    std::this_thread::sleep_until(cut_at + kCut);
    fleet.Heal();
  }
  record.Line("requests with the dropped key that were run later than configMs: " +
              std::to_string(late));
  return late == 0;
}

}  // namespace
}  // namespace briarwood::review

int main(int argc, char** argv) {
  return briarwood::review::RunCase(briarwood::review::RuleHeld, argc, argv);
}
