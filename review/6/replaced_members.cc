// Two machines of the core, whose successors have run for some time, are removed one second apart.
// From then on, no change is acknowledged and no read of the desired state is answered.

#include <string>
#include <thread>
#include <vector>

#include "../fleet.h"

namespace briarwood::review {
namespace {

constexpr std::size_t kMachines = 5;
constexpr milliseconds kStartTimeout{20'000};
/// Two and a half times catchUpS, after which a new machine no longer counts as lost.
constexpr milliseconds kSuccessorsRun{10'000};
constexpr milliseconds kBetweenRemovals{1000};
/// Longer than recoverS, ackMs and twice contactMs together.
constexpr milliseconds kWatched{30'000};
constexpr milliseconds kReadInterval{1000};

bool RuleHeld(Record& record) {
  Fleet fleet(record, kMachines);
  fleet.StartFirst();
  if (fleet.Put({0, 1, 2}, MakePlainState(1), kStartTimeout) != 200) {
    throw RigError("the first state is not acknowledged");
  }
  fleet.StartSuccessor(3);
  fleet.StartSuccessor(4);
  std::this_thread::sleep_for(kSuccessorsRun);
  std::string content;
  for (std::size_t machine = 0; machine < kMachines; ++machine) {
    if (fleet.Get(machine, content) != 200 || !HasVersion(content, 1)) {
      throw RigError("machine " + std::to_string(machine) + " does not serve state 1");
    }
  }
  record.Line("all machines serve state 1");
  if (fleet.Put({3, 4, 0, 1, 2}, MakePlainState(2), kStartTimeout) != 200) {
    throw RigError("state 2 is not acknowledged");
  }
  record.Line("state 2 is acknowledged");
  std::vector<std::size_t> left = {2, 3, 4};
  if (WithTrouble()) {
    fleet.Remove(0);
    std::this_thread::sleep_for(kBetweenRemovals);
    fleet.Remove(1);
    fleet.AwaitEnd(0);
    fleet.AwaitEnd(1);
  } else {
    left.insert(left.end(), {0, 1});
  }
  const auto end = Clock::now() + kWatched;
  bool read_back = false;
  while (Clock::now() < end && !read_back) {
    for (const std::size_t machine : left) {
      const int status = fleet.Get(machine, content);
      record.Line("machine " + std::to_string(machine) +
                  (fleet.Running(machine) ? "" : " (ended)") + ": read of the desired state " +
                  std::to_string(status));
      read_back = read_back || (status == 200 && HasVersion(content, 2));
    }
    std::this_thread::sleep_for(kReadInterval);
  }
  const int put = fleet.Put(left, MakePlainState(3), kReadInterval * 10);
  record.Line("state 3: " + (put == 0 ? "no acknowledgement" : std::to_string(put)));
  return read_back;
}

}  // namespace
}  // namespace briarwood::review

int main(int argc, char** argv) {
  return briarwood::review::RunCase(briarwood::review::RuleHeld, argc, argv);
}
