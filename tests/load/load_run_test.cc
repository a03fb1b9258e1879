#include "briarwood/load/load_run.h"

#include <gtest/gtest.h>
#include <unistd.h>

#include "briarwood/emulator/model_engine.h"
#include "briarwood/load/stream_counter.h"

namespace briarwood::load {
namespace {

using std::chrono::microseconds;

// Guards against quantiles with an error of more than one bucket.
TEST(LatencyHistogramTest, QuantilesAreWithinOneBucket) {
  LatencyHistogram histogram;
  for (int i = 1; i <= 100'000; ++i) histogram.Add(microseconds(i));
  EXPECT_NEAR(static_cast<double>(histogram.Quantile(0.5).count()), 50'000, 50'000.0 / 64);
  EXPECT_NEAR(static_cast<double>(histogram.Quantile(0.99).count()), 99'000, 99'000.0 / 64);
  EXPECT_EQ(histogram.Quantile(1).count(), 100'000);
  histogram.Add(std::chrono::hours(10));
  EXPECT_EQ(histogram.Quantile(1), std::chrono::hours(10));
}

// Guards against tokens that are missed or counted twice if an event is split between chunks.
TEST(StreamCounterTest, CountsEventsInChunksOfAnySize) {
  const std::string stream =
      "data: {\"choices\":[{\"text\":\" a\"}]}\n\n"
      "data: {\"choices\":[{\"delta\":{\"content\":\" b\"}}]}\n\n"
      "data: {\"choices\":[{\"text\":\"\",\"finish_reason\":\"stop\"}]}\n\ndata: [DONE]\n\n";
  for (std::size_t size = 1; size < stream.size(); ++size) {
    StreamCounter counter;
    for (std::size_t at = 0; at < stream.size(); at += size) counter.Feed(stream.substr(at, size));
    ASSERT_EQ(counter.tokens(), 2U) << "chunks of " << size;
    ASSERT_TRUE(counter.done());
  }
}

// Guards against a stream that ends with an error event but counts as a success.
TEST(StreamCounterTest, FindsTheErrorEvent) {
  StreamCounter counter;
  counter.Feed("event: error\ndata: {\"error\":{\"code\":\"key_withdrawn\"}}\n\n");
  EXPECT_EQ(counter.error_code(), "key_withdrawn");
  EXPECT_FALSE(counter.done());
}

// Guards against a run that does not count all requests and tokens, or exceeds max_requests.
TEST(LoadRunTest, CountsEveryRequestOfAnEngine) {
  auto engine = emulator::ModelEngine::Start({.token_time = microseconds(200)});
  ASSERT_TRUE(engine.ok()) << engine.error();
  const auto report = RunLoad({.targets = {engine.value()->url()},
                               .rate_per_second = 500,
                               .max_requests = 50,
                               .duration = std::chrono::seconds(60),
                               .max_tokens = 4,
                               .watched = {getpid()}});
  ASSERT_TRUE(report.ok()) << report.error();
  EXPECT_EQ(report.value().succeeded, 50U);
  EXPECT_EQ(report.value().tokens, 200U);
  EXPECT_EQ(report.value().first_token.count(), 50U);
  EXPECT_EQ(report.value().token_gap.count(), 150U);
  EXPECT_GT(report.value().watched.at(0).at_end.resident_bytes, 0U);
  EXPECT_EQ(engine.value()->counters().completions_received, 50U);
}

// Guards against refused connections that count as successful requests.
TEST(LoadRunTest, ReportsRefusedConnections) {
  auto engine = emulator::ModelEngine::Start({.restart_delay = std::chrono::milliseconds(0)});
  ASSERT_TRUE(engine.ok()) << engine.error();
  engine.value()->Crash();
  while (engine.value()->counters().crashes == 0) std::this_thread::yield();
  const auto report =
      RunLoad({.targets = {engine.value()->url()}, .rate_per_second = 1000, .max_requests = 5});
  ASSERT_TRUE(report.ok()) << report.error();
  EXPECT_EQ(report.value().errors.at("connection_refused"), 5U);
}

}  // namespace
}  // namespace briarwood::load
