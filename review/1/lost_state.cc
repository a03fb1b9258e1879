// A desired state that cannot be read in full is acknowledged. From then on no entry can parse the
// responses of the control members, so a key that a later state drops goes on working. Once the
// members have saved a snapshot, none of them can start again, and all that was acknowledged is
// gone.

#include <signal.h>

#include <string>
#include <thread>

#include "../rig.h"

namespace briarwood::review {
namespace {

/// Interval of config_storm at the site.
constexpr milliseconds kChangeInterval{330};
constexpr unsigned kChanges = 200;
constexpr unsigned kRoutes = 150;
constexpr milliseconds kRestartDelay{300};
/// recoverS of the site, and time to read back.
constexpr std::chrono::seconds kRecover{12};
constexpr std::chrono::seconds kReadBack{8};

constexpr milliseconds kConfigMs{2000};
constexpr std::chrono::seconds kWatched{8};
constexpr milliseconds kBookingInterval{500};

constexpr const char* kOldKey = "n2ctnfzs989anu6wsjnb";
constexpr const char* kNewKey = "anfqasnmgkcuyj8pjbvk";

std::string TenantWith(const std::string& key) {
  return R"([{"name":"t1","apiKeys":[")" + key + R"("],"priority":1}])";
}

/// The escape names the second half of a character without the first, as a tool writes it that has
/// cut a name in two.
std::string CutTenants() {
  return R"([{"name":"t1","apiKeys":[")" + std::string(kOldKey) +
         R"("],"priority":1},{"name":"\udc00-night","apiKeys":["fida11fida11fida11ab"],)"
         R"("priority":2}])";
}

/// Books with the dropped and with the new key at each entry, later than configMs after the
/// acknowledgement. \returns the number of bookings that ran with the dropped key.
unsigned CountRunsWithDroppedKey(const Deployment& deployment, const Runs& runs,
                                 Clock::time_point acknowledged, Record& record) {
  std::this_thread::sleep_until(acknowledged + kConfigMs + kBookingInterval);
  unsigned late_runs = 0;
  while (Clock::now() < acknowledged + kWatched) {
    for (std::size_t machine = 0; machine < Deployment::kMachines; ++machine) {
      const std::string with_old = NewAttemptId();
      const std::string with_new = NewAttemptId();
      const int old_status = Book(deployment.Front(machine), kOldKey, with_old).status;
      const int new_status = Book(deployment.Front(machine), kNewKey, with_new).status;
      late_runs += runs.Of(with_old) > 0 ? 1 : 0;
      record.Line(Join({"machine ", std::to_string(machine), ": dropped key ",
                        Describe(with_old, old_status, runs.Of(with_old)), ", new key ",
                        Describe(with_new, new_status, runs.Of(with_new))}));
    }
    std::this_thread::sleep_for(kBookingInterval);
  }
  record.Line("bookings run with the dropped key: " + std::to_string(late_runs));
  return late_runs;
}

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
  if (deployment.PutConfiguration(MakeState(1, TenantWith(kOldKey))) != 200) {
    throw RigError("the first state is refused");
  }
  deployment.AwaitReady();
  if (WithTrouble()) {
    const int status = deployment.PutConfiguration(MakeState(2, CutTenants()));
    record.Line("state 2, which cannot be read in full: status " + std::to_string(status));
  }
  unsigned version = 3;
  const std::string tenants = TenantWith(kNewKey);
  if (deployment.PutConfiguration(MakeState(version, tenants)) != 200) {
    throw RigError("state 3 is refused");
  }
  record.Line("state 3, which drops the old key: acknowledged");
  const unsigned late_runs = CountRunsWithDroppedKey(deployment, runs, Clock::now(), record);
  auto next = Clock::now();
  for (unsigned change = 0; change < kChanges; ++change) {
    next += kChangeInterval;
    std::this_thread::sleep_until(next);
    ++version;
    if (deployment.PutConfiguration(MakeState(version, tenants, kRoutes)) != 200) {
      throw RigError("state " + std::to_string(version) + " is not acknowledged");
    }
  }
  record.Line("state " + std::to_string(version) + " is acknowledged");
  for (std::size_t machine = 0; machine < Deployment::kMachines; ++machine) {
    deployment.WriteMemberSettings(machine, /*bootstrap=*/false);
    deployment.member(machine).Signal(SIGKILL);
  }
  record.Line("killed all processes of the core");
  for (std::size_t machine = 0; machine < Deployment::kMachines; ++machine) {
    deployment.member(machine).Kill();
  }
  std::this_thread::sleep_for(kRestartDelay);
  for (std::size_t machine = 0; machine < Deployment::kMachines; ++machine) {
    deployment.member(machine).Start();
  }
  const auto restarted = Clock::now();
  record.Line("started all processes of the core");
  unsigned own_ends = 0;
  bool read_back = false;
  const std::string expected = R"({"version":)" + std::to_string(version) + ",";
  while (Clock::now() < restarted + kRecover + kReadBack && !read_back) {
    for (std::size_t machine = 0; machine < Deployment::kMachines; ++machine) {
      if (!deployment.member(machine).Running()) {
        ++own_ends;
        std::this_thread::sleep_for(kRestartDelay);
        deployment.member(machine).Start();
      }
      const Reply reply = deployment.ReadConfiguration(machine);
      if (reply.status != 200) continue;
      record.Line("read at machine " + std::to_string(machine) + ": " + reply.body.substr(0, 20));
      read_back = read_back || reply.body.starts_with(expected);
    }
    std::this_thread::sleep_for(kRestartDelay);
  }
  record.Line("own ends of members after the restart: " + std::to_string(own_ends));
  record.Line(read_back ? "the acknowledged state was read back"
                        : "the acknowledged state could not be read back at any machine");
  return read_back && late_runs == 0;
}

}  // namespace
}  // namespace briarwood::review

int main(int argc, char** argv) {
  return briarwood::review::RunCase(briarwood::review::RuleHeld, argc, argv);
}
