#include "briarwood/routing/server_backpressure.h"

#include <gtest/gtest.h>

#include <deque>
#include <vector>

namespace briarwood::routing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr common::Time kStart{seconds(1000)};
const FleetPosition kAlone;
const FleetPosition kOneOf8{.entries = 8, .index = std::nullopt, .shared_clock_offset = {}};

ServerStatement Limit(double requests_per_second) {
  ServerStatement statement;
  statement.requests_per_second = requests_per_second;
  return statement;
}

/// Entries that learn of a limit at the same time and send to one server in virtual time.
class LimitedServer {
 public:
  LimitedServer(std::uint32_t entries, std::optional<double> limit, std::uint64_t seed,
                const std::optional<ColdLimit>& cold = std::nullopt) {
    common::Random random(seed);
    const std::uint64_t hash = random.Next();
    for (std::uint32_t i = 0; i < entries; ++i) {
      Sender& sender = senders_.emplace_back();
      sender.backpressure = ServerBackpressure(hash);
      sender.clock_ahead = milliseconds(random.Below(kMaxClockErrorMs));
      sender.position = {.entries = entries,
                         .index = i,
                         .shared_clock_offset = common::Duration(seconds(7)) - sender.clock_ahead};
      const common::Time local = kStart + sender.clock_ahead;
      if (limit) {
        sender.backpressure.OnStatement(Limit(*limit), local, sender.position, local, random);
      }
      sender.backpressure.SetColdLimit(cold, sender.position, local, random);
    }
  }

  /// Sends from all entries whatever their permits allow, in steps of 10 ms.
  void SendFrom(common::Time start, common::Time end) {
    for (common::Time now = start; now < end; now += milliseconds(10)) {
      for (Sender& sender : senders_) {
        const common::Time local = now + sender.clock_ahead;
        while (sender.backpressure.Admits(sender.position, local)) {
          sender.backpressure.OnSending(sender.position, local);
          arrivals_.push_back(now);
        }
      }
    }
  }

  [[nodiscard]] std::size_t MaxIn(common::Duration window) const {
    std::deque<common::Time> recent;
    std::size_t max = 0;
    for (const common::Time at : arrivals_) {
      recent.push_back(at);
      while (recent.front() < at - window) recent.pop_front();
      max = std::max(max, recent.size());
    }
    return max;
  }

  [[nodiscard]] std::size_t arrivals() const { return arrivals_.size(); }

 private:
  static constexpr std::uint64_t kMaxClockErrorMs = 20;

  struct Sender {
    ServerBackpressure backpressure;
    FleetPosition position;
    common::Duration clock_ahead{};
  };

  std::vector<Sender> senders_;
  std::vector<common::Time> arrivals_;
};

/// Requests that a server bears in 4 s: one and a half times its limit, and five.
double AllowedIn4Seconds(double limit) { return 4 * 1.5 * limit + 5; }

// Guards against entries that together send more than a server's limit allows: in a steady load,
// and after all of them were idle and have unused permits.
TEST(ServerBackpressureTest, EntriesTogetherKeepTheLimit) {
  for (const std::uint32_t entries : {1U, 3U, 8U, 30U, 60U, 360U}) {
    for (const double limit : {0.5, 1.0, 2.3, 10.0, 80.0}) {
      for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        LimitedServer server(entries, limit, seed);
        server.SendFrom(kStart, kStart + seconds(20));
        server.SendFrom(kStart + seconds(50), kStart + seconds(70));
        EXPECT_LE(static_cast<double>(server.MaxIn(seconds(4))), AllowedIn4Seconds(limit))
            << entries << " entries, limit " << limit << ", seed " << seed;
      }
    }
  }
}

// Guards against a limit that leaves most of what a server takes unused.
TEST(ServerBackpressureTest, EntriesTogetherUseTheLimit) {
  for (const std::uint32_t entries : {1U, 8U, 60U, 360U}) {
    for (const double limit : {2.3, 10.0, 80.0}) {
      LimitedServer server(entries, limit, 1);
      constexpr seconds kPeriod{400};
      server.SendFrom(kStart, kStart + kPeriod);
      EXPECT_GE(static_cast<double>(server.arrivals()), 0.8 * limit * kPeriod.count())
          << entries << " entries, limit " << limit;
    }
  }
}

// Guards against a limit that a late response to an older request ends, and against one that is
// kept after the server has ended it.
TEST(ServerBackpressureTest, LimitEndsWithAResponseToANewerRequest) {
  common::Random random(1);
  ServerBackpressure server;
  EXPECT_TRUE(server.OnStatement(Limit(1), kStart, kOneOf8, kStart + seconds(2), random));
  EXPECT_FALSE(server.OnStatement({}, kStart + seconds(1), kOneOf8, kStart + seconds(3), random));
  EXPECT_TRUE(server.Rate(kOneOf8).has_value());
  EXPECT_TRUE(server.OnStatement({}, kStart + seconds(4), kOneOf8, kStart + seconds(5), random));
  EXPECT_TRUE(server.Admits(kOneOf8, kStart + seconds(5)));
}

// Guards against a server that states a limit of 0 and is never asked again.
TEST(ServerBackpressureTest, LimitOfZeroAdmitsARequestNowAndThen) {
  LimitedServer server(8, 0, 1);
  server.SendFrom(kStart, kStart + seconds(120));
  EXPECT_GE(server.arrivals(), 8U);
  EXPECT_LE(server.MaxIn(seconds(4)), 5U);
}

// Guards against a permit that is lost with a request that never reached the server.
TEST(ServerBackpressureTest, ReturnsThePermitOfARequestThatWasNotSent) {
  common::Random random(1);
  ServerBackpressure server;
  server.OnStatement(Limit(1), kStart, kAlone, kStart, random);
  const common::Time now = kStart + seconds(5);
  server.OnSending(kAlone, now);
  EXPECT_FALSE(server.Admits(kAlone, now));
  server.OnNotSent();
  EXPECT_TRUE(server.Admits(kAlone, now));
}

// Guards against requests to a server that stops, after a response that does not say so.
TEST(ServerBackpressureTest, LeavingServerAdmitsNothing) {
  common::Random random(1);
  ServerBackpressure server;
  ServerStatement leaving;
  leaving.leaving = true;
  EXPECT_TRUE(server.OnStatement(leaving, kStart, kAlone, kStart, random));
  EXPECT_FALSE(server.OnStatement({}, kStart + seconds(1), kAlone, kStart + seconds(2), random));
  EXPECT_FALSE(server.Admits(kAlone, kStart + seconds(600)));
  EXPECT_FALSE(server.AdmitsAt(kAlone, kStart).has_value());
}

// Guards against requests to a server that asked to be left alone, and against a shorter time that
// replaces a longer one.
TEST(ServerBackpressureTest, AdmitsNothingUntilABackOffHasPassed) {
  common::Random random(1);
  ServerBackpressure server;
  ServerStatement rejection;
  rejection.back_off = seconds(3);
  EXPECT_TRUE(server.OnStatement(rejection, kStart, kAlone, kStart, random));
  rejection.back_off = milliseconds(100);
  EXPECT_FALSE(server.OnStatement(rejection, kStart, kAlone, kStart + milliseconds(10), random));
  EXPECT_FALSE(server.Admits(kAlone, kStart + milliseconds(2990)));
  EXPECT_EQ(server.AdmitsAt(kAlone, kStart), kStart + seconds(3));
  EXPECT_TRUE(server.Admits(kAlone, kStart + seconds(3)));
}

// Guards against entries that together send a cold server more within a second than it tolerates,
// and against limits that leave a cold server unused.
TEST(ServerBackpressureTest, EntriesTogetherKeepToTheColdLimit) {
  for (const ColdLimit cold :
       {ColdLimit{17, 1.5, 5}, ColdLimit{4, 1.2, 2}, ColdLimit{60, 1.5, 5}}) {
    for (const std::uint32_t entries : {1U, 3U, 14U, 26U, 120U, 300U}) {
      LimitedServer server(entries, std::nullopt, entries, cold);
      server.SendFrom(kStart, kStart + seconds(60));
      EXPECT_LE(static_cast<double>(server.MaxIn(seconds(1))),
                cold.requests_per_second * cold.overage + cold.slack)
          << entries << " entries, " << cold.requests_per_second << " per second";
      EXPECT_GE(static_cast<double>(server.arrivals()), 0.5 * 60 * cold.requests_per_second)
          << entries;
    }
  }
}

// Guards against a cold server that states a lower limit itself and gets the higher one.
TEST(ServerBackpressureTest, TheLowerOfTwoLimitsHolds) {
  LimitedServer server(3, 4, 1, ColdLimit{17, 1.5, 5});
  server.SendFrom(kStart, kStart + seconds(20));
  EXPECT_LE(server.arrivals(), 4 * 20 + 5U);
}

}  // namespace
}  // namespace briarwood::routing
