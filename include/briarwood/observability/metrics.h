#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "briarwood/common/ids.h"
#include "briarwood/common/time.h"

namespace prometheus {
class Histogram;
}  // namespace prometheus

namespace briarwood::observability {

/// Histograms of one customer and class; valid during the lifetime of the Metrics that created
/// them. Thread-safe.
class RequestSeries {
 public:
  void FirstToken(common::Duration time) const;
  void TokenGap(common::Duration time) const;
  void QueueTime(common::Duration time) const;
  void Total(common::Duration time) const;

 private:
  friend class Metrics;

  prometheus::Histogram* first_token_ = nullptr;
  prometheus::Histogram* token_gap_ = nullptr;
  prometheus::Histogram* queue_time_ = nullptr;
  prometheus::Histogram* total_ = nullptr;
};

struct MetricsOptions {
  /// Maximum number of customer and class pairs with their own histograms; further pairs share a
  /// series with customer "other". 1,300 customers with 3 classes would be 3,900 pairs of 4
  /// histograms, or about 230,000 lines for each scrape of each process.
  std::size_t max_request_series = 256;
  /// Maximum number of label values with their own counter; further ones count as "other".
  std::size_t max_reasons = 64;
};

/// Metrics of one process in Prometheus format. Thread-safe.
class Metrics {
 public:
  explicit Metrics(const MetricsOptions& options);
  ~Metrics();
  Metrics(const Metrics&) = delete;
  Metrics& operator=(const Metrics&) = delete;

  [[nodiscard]] RequestSeries Series(const common::CustomerId& customer,
                                     const common::ClassId& request_class);

  /// Counts a request that ended with an error of this code.
  void CountRefusal(std::string_view reason);
  /// Counts an event of the component, such as "retry" or "preemption".
  void CountEvent(std::string_view event);

  /// Calls `value` at each scrape; it must not block, and must be callable until destruction.
  void AddGauge(const std::string& name, const std::string& help, std::function<double()> value);

  /// \returns the metrics in text format, as served at /metrics.
  [[nodiscard]] std::string Render() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace briarwood::observability
