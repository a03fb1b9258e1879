#include "briarwood/observability/metrics.h"

#include <gtest/gtest.h>

#include <string>

namespace briarwood::observability {
namespace {

std::size_t Count(const std::string& text, const std::string& part) {
  std::size_t count = 0;
  for (std::size_t at = text.find(part); at != std::string::npos; at = text.find(part, at + 1)) {
    ++count;
  }
  return count;
}

// Guards against a scrape that grows with the number of customers.
TEST(MetricsTest, SeriesAreBoundedAt1300Customers) {
  Metrics metrics({.max_request_series = 10});
  for (int i = 0; i < 1300; ++i) {
    metrics.Series(common::CustomerId("c" + std::to_string(i)), common::ClassId("chat"))
        .Total(std::chrono::seconds(1));
  }
  const std::string text = metrics.Render();
  EXPECT_EQ(Count(text, "briarwood_request_seconds_count{"), 11U);
  EXPECT_NE(text.find("briarwood_request_seconds_count{class=\"chat\",customer=\"other\"} 1290"),
            std::string::npos)
      << text;
}

// Guards against rejections that no counter records.
TEST(MetricsTest, CountsEachRejectionReason) {
  Metrics metrics({.max_reasons = 2});
  for (const char* reason : {"keys_stale", "overloaded", "overloaded", "stopping", "no_backend"}) {
    metrics.CountRefusal(reason);
  }
  metrics.AddGauge("briarwood_in_flight", "Requests in flight", [] { return 3.0; });
  const std::string text = metrics.Render();
  EXPECT_NE(text.find("briarwood_refusals_total{reason=\"overloaded\"} 2"), std::string::npos);
  EXPECT_NE(text.find("briarwood_refusals_total{reason=\"other\"} 2"), std::string::npos);
  EXPECT_NE(text.find("briarwood_in_flight 3"), std::string::npos) << text;
}

}  // namespace
}  // namespace briarwood::observability
