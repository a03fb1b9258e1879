#include "briarwood/observability/metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <map>
#include <mutex>
#include <shared_mutex>
#include <sstream>
#include <utility>
#include <vector>

namespace briarwood::observability {
namespace {

constexpr const char* kOtherLabel = "other";

using Buckets = prometheus::Histogram::BucketBoundaries;
using HistogramFamily = prometheus::Family<prometheus::Histogram>;
using CounterFamily = prometheus::Family<prometheus::Counter>;

// Upper bounds in seconds. They include the targets of the design size, 0.45 s and 26 ms.
Buckets FirstTokenBuckets() { return {0.02, 0.05, 0.1, 0.2, 0.3, 0.45, 0.7, 1, 2, 5, 10, 30}; }
Buckets TokenGapBuckets() { return {0.002, 0.005, 0.01, 0.02, 0.026, 0.04, 0.08, 0.2, 0.5, 2}; }
Buckets QueueTimeBuckets() { return {0.001, 0.005, 0.02, 0.05, 0.1, 0.2, 0.45, 1, 2, 5, 10}; }
Buckets TotalBuckets() { return {0.05, 0.1, 0.25, 0.5, 1, 2, 5, 10, 20, 60, 120, 300}; }

HistogramFamily& MakeHistogram(prometheus::Registry& registry, const char* name, const char* help) {
  return prometheus::BuildHistogram().Name(name).Help(help).Register(registry);
}

// Counters of one family, with a limit on their number.
class BoundedCounters {
 public:
  BoundedCounters(CounterFamily& family, std::string label, std::size_t limit)
      : family_(family), label_(std::move(label)), limit_(limit) {}

  void Increment(std::string_view value) {
    const std::lock_guard lock(mutex_);
    auto found = counters_.find(value);
    if (found == counters_.end()) {
      const std::string name(counters_.size() < limit_ ? value : std::string_view(kOtherLabel));
      found = counters_.emplace(name, &family_.Add({{label_, name}})).first;
    }
    found->second->Increment();
  }

 private:
  std::mutex mutex_;
  CounterFamily& family_;
  std::string label_;
  std::size_t limit_;
  std::map<std::string, prometheus::Counter*, std::less<>> counters_;
};

}  // namespace

void RequestSeries::FirstToken(common::Duration time) const {
  first_token_->Observe(common::ToSeconds(time));
}

void RequestSeries::TokenGap(common::Duration time) const {
  token_gap_->Observe(common::ToSeconds(time));
}

void RequestSeries::QueueTime(common::Duration time) const {
  queue_time_->Observe(common::ToSeconds(time));
}

void RequestSeries::Total(common::Duration time) const { total_->Observe(common::ToSeconds(time)); }

class Metrics::Impl {
 public:
  explicit Impl(const MetricsOptions& options)
      : options_(options),
        first_token_(MakeHistogram(registry_, "briarwood_first_token_seconds",
                                   "Time from arrival to the first token")),
        token_gap_(MakeHistogram(registry_, "briarwood_token_gap_seconds",
                                 "Time between two tokens of one answer")),
        queue_time_(MakeHistogram(registry_, "briarwood_queue_seconds",
                                  "Time from arrival to the first placement")),
        total_(MakeHistogram(registry_, "briarwood_request_seconds",
                             "Time from arrival to the end of the answer")),
        refusals_(prometheus::BuildCounter()
                      .Name("briarwood_refusals_total")
                      .Help("Requests that got an error, by code")
                      .Register(registry_),
                  "reason", options.max_reasons),
        events_(prometheus::BuildCounter()
                    .Name("briarwood_events_total")
                    .Help("Events of the component")
                    .Register(registry_),
                "event", options.max_reasons) {}

  RequestSeries Series(const common::CustomerId& customer, const common::ClassId& request_class) {
    const auto key = std::make_pair(customer.value(), request_class.value());
    {
      const std::shared_lock lock(mutex_);
      const auto found = series_.find(key);
      if (found != series_.end()) return found->second;
    }
    const std::unique_lock lock(mutex_);
    const auto found = series_.find(key);
    if (found != series_.end()) return found->second;
    if (series_.size() < options_.max_request_series) return Add(key);
    return Overflow(request_class.value());
  }

  void CountRefusal(std::string_view reason) { refusals_.Increment(reason); }
  void CountEvent(std::string_view event) { events_.Increment(event); }

  void AddGauge(const std::string& name, const std::string& help, std::function<double()> value) {
    prometheus::Gauge& gauge =
        prometheus::BuildGauge().Name(name).Help(help).Register(registry_).Add({});
    const std::unique_lock lock(mutex_);
    gauges_.emplace_back(&gauge, std::move(value));
  }

  [[nodiscard]] std::string Render() const {
    {
      const std::shared_lock lock(mutex_);
      for (const auto& [gauge, value] : gauges_) gauge->Set(value());
    }
    std::ostringstream text;
    prometheus::TextSerializer().Serialize(text, registry_.Collect());
    return text.str();
  }

 private:
  using SeriesKey = std::pair<std::string, std::string>;

  RequestSeries Add(const SeriesKey& key) {
    const std::map<std::string, std::string> labels = {{"customer", key.first},
                                                       {"class", key.second}};
    RequestSeries series;
    series.first_token_ = &first_token_.Add(labels, FirstTokenBuckets());
    series.token_gap_ = &token_gap_.Add(labels, TokenGapBuckets());
    series.queue_time_ = &queue_time_.Add(labels, QueueTimeBuckets());
    series.total_ = &total_.Add(labels, TotalBuckets());
    series_.emplace(key, series);
    return series;
  }

  // The number of classes is usually small, but the limit must not depend on it: beyond twice the
  // maximum, the class is "other" as well.
  RequestSeries Overflow(const std::string& request_class) {
    const bool keeps_class = series_.size() < 2 * options_.max_request_series;
    const SeriesKey key{kOtherLabel, keeps_class ? request_class : kOtherLabel};
    const auto found = series_.find(key);
    return found == series_.end() ? Add(key) : found->second;
  }

  MetricsOptions options_;
  prometheus::Registry registry_;
  HistogramFamily& first_token_;
  HistogramFamily& token_gap_;
  HistogramFamily& queue_time_;
  HistogramFamily& total_;
  BoundedCounters refusals_;
  BoundedCounters events_;
  mutable std::shared_mutex mutex_;
  std::map<SeriesKey, RequestSeries> series_;
  std::vector<std::pair<prometheus::Gauge*, std::function<double()>>> gauges_;
};

Metrics::Metrics(const MetricsOptions& options) : impl_(std::make_unique<Impl>(options)) {}

Metrics::~Metrics() = default;

RequestSeries Metrics::Series(const common::CustomerId& customer,
                              const common::ClassId& request_class) {
  return impl_->Series(customer, request_class);
}

void Metrics::CountRefusal(std::string_view reason) { impl_->CountRefusal(reason); }

void Metrics::CountEvent(std::string_view event) { impl_->CountEvent(event); }

void Metrics::AddGauge(const std::string& name, const std::string& help,
                       std::function<double()> value) {
  impl_->AddGauge(name, help, std::move(value));
}

std::string Metrics::Render() const { return impl_->Render(); }

}  // namespace briarwood::observability
