#include <jsoncpp/json/json.h>

#include <iomanip>
#include <sstream>

#include "briarwood/load/load_run.h"

namespace briarwood::load {
namespace {

constexpr double kBytesPerMib = 1024.0 * 1024.0;

double Millis(std::chrono::microseconds time) { return static_cast<double>(time.count()) / 1e3; }

double Seconds(std::chrono::microseconds time) { return static_cast<double>(time.count()) / 1e6; }

double PerSecond(std::uint64_t count, std::chrono::microseconds time) {
  return time.count() == 0 ? 0 : static_cast<double>(count) / Seconds(time);
}

void WriteLatency(std::ostream& out, const char* name, const LatencyHistogram& latency) {
  out << name << " ms: p50 " << Millis(latency.Quantile(0.5)) << ", p95 "
      << Millis(latency.Quantile(0.95)) << ", p99 " << Millis(latency.Quantile(0.99)) << ", max "
      << Millis(latency.max()) << " (" << latency.count() << " samples)\n";
}

Json::Value LatencyJson(const LatencyHistogram& latency) {
  Json::Value value;
  value["samples"] = Json::UInt64{latency.count()};
  value["p50_us"] = Json::Int64{latency.Quantile(0.5).count()};
  value["p95_us"] = Json::Int64{latency.Quantile(0.95).count()};
  value["p99_us"] = Json::Int64{latency.Quantile(0.99).count()};
  value["max_us"] = Json::Int64{latency.max().count()};
  return value;
}

double CpuShare(const WatchedProcess& process, std::chrono::microseconds elapsed) {
  if (elapsed.count() == 0) return 0;
  return (process.at_end.cpu_seconds - process.at_start.cpu_seconds) / Seconds(elapsed);
}

}  // namespace

std::string ToText(const LoadReport& report) {
  std::ostringstream out;
  out << std::fixed << std::setprecision(2);
  out << "sent " << report.sent << ", succeeded " << report.succeeded << ", not sent "
      << report.not_sent << ", " << Seconds(report.elapsed) << " s\n";
  out << "tokens " << report.tokens << ", " << PerSecond(report.tokens, report.elapsed)
      << " tokens/s, " << PerSecond(report.succeeded, report.elapsed) << " answers/s\n";
  WriteLatency(out, "first token", report.first_token);
  WriteLatency(out, "token gap", report.token_gap);
  for (const auto& [error, count] : report.errors) {
    out << "error " << error << ": " << count << "\n";
  }
  for (const WatchedProcess& process : report.watched) {
    out << "process " << process.pid << ": "
        << static_cast<double>(process.at_end.resident_bytes) / kBytesPerMib << " MiB resident, "
        << static_cast<double>(process.at_end.peak_resident_bytes) / kBytesPerMib << " MiB peak, "
        << CpuShare(process, report.elapsed) * 100 << "% of a core\n";
  }
  return out.str();
}

std::string ToJson(const LoadReport& report) {
  Json::Value body;
  body["sent"] = Json::UInt64{report.sent};
  body["succeeded"] = Json::UInt64{report.succeeded};
  body["not_sent"] = Json::UInt64{report.not_sent};
  body["tokens"] = Json::UInt64{report.tokens};
  body["elapsed_us"] = Json::Int64{report.elapsed.count()};
  body["first_token"] = LatencyJson(report.first_token);
  body["token_gap"] = LatencyJson(report.token_gap);
  body["errors"] = Json::Value(Json::objectValue);
  for (const auto& [error, count] : report.errors) body["errors"][error] = Json::UInt64{count};
  body["processes"] = Json::Value(Json::arrayValue);
  for (const WatchedProcess& process : report.watched) {
    Json::Value item;
    item["pid"] = process.pid;
    item["resident_bytes"] = Json::UInt64{process.at_end.resident_bytes};
    item["peak_resident_bytes"] = Json::UInt64{process.at_end.peak_resident_bytes};
    item["core_share"] = CpuShare(process, report.elapsed);
    body["processes"].append(item);
  }
  Json::StreamWriterBuilder writer;
  writer["indentation"] = "";
  return Json::writeString(writer, body);
}

}  // namespace briarwood::load
