#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "briarwood/common/result.h"

namespace briarwood::emulator {

/// How the platform executes and responds to a kind of call.
enum class ResponseMode : std::uint8_t {
  kNormal,
  /// Executes the call immediately and responds after the delay.
  kLate,
  /// Executes the call and never responds.
  kLost,
  /// Executes the call twice.
  kTwice,
};

struct PlatformOptions {
  /// "ip:port"; port 0 selects a free port.
  std::string listen = "127.0.0.1:0";
  /// Delay of responses in ResponseMode::kLate.
  std::chrono::milliseconds late_response_delay{1000};
  /// Age of the list of VMs that GET /vms returns.
  std::chrono::milliseconds list_lag{0};
  std::chrono::milliseconds vm_start_time{1000};
  std::chrono::milliseconds vm_leave_time{5000};
  /// Weight store: maximum number of concurrent loads, and the duration of one load.
  std::size_t parallel_loads = 2;
  std::chrono::milliseconds load_time{1000};
};

struct PlatformOrder {
  std::uint64_t id = 0;
  std::uint64_t fencing_token = 0;
  /// "start" or "stop".
  std::string kind;
  std::string backend_server;
  std::string failure_domain;
  std::uint64_t expires_unix_ms = 0;
};

struct UsageReport {
  std::uint64_t window = 0;
  std::uint64_t fencing_token = 0;
  std::string body;
};

struct PlatformCounters {
  std::uint64_t orders = 0;
  /// Orders whose id had been received before.
  std::uint64_t duplicate_orders = 0;
  /// Orders whose fencing token was lower than one received before.
  std::uint64_t stale_orders = 0;
  /// Orders that arrived after their expiry and were rejected.
  std::uint64_t expired_orders = 0;
  std::uint64_t reports = 0;
  /// Reports that differ from the first report of the same window.
  std::uint64_t conflicting_reports = 0;
  std::uint64_t stale_reports = 0;
  std::uint64_t rejected_loads = 0;
};

/// Emulates the platform. Thread-safe.
///
/// Serves POST and GET /orders;
/// POST /usage-reports?window=&fence=, with the same acknowledgement for each report of a window;
/// GET /usage-reports; GET /vms, whose list is list_lag old;
/// GET /weights?model=, with status 429 and Retry-After while too many loads run;
/// GET and POST /emulator for counters and fault injection.
class Platform {
 public:
  /// \returns the running platform, or an error that describes why it cannot listen on the address.
  static common::Result<std::unique_ptr<Platform>> Start(const PlatformOptions& options);

  ~Platform();
  Platform(const Platform&) = delete;
  Platform& operator=(const Platform&) = delete;

  [[nodiscard]] std::uint16_t port() const noexcept;
  [[nodiscard]] std::string url() const;

  void SetOrderMode(ResponseMode mode);
  void SetReportMode(ResponseMode mode);

  /// Starts a VM without an order.
  void AddVm(const std::string& id, const std::string& failure_domain);
  /// Marks a VM as leaving without an order.
  void RemoveVm(const std::string& id);

  [[nodiscard]] PlatformCounters counters() const;
  /// Everything that was received, in order of arrival.
  [[nodiscard]] std::vector<PlatformOrder> orders() const;
  [[nodiscard]] std::vector<UsageReport> reports() const;

 private:
  class Impl;
  explicit Platform(std::unique_ptr<Impl> impl);

  std::unique_ptr<Impl> impl_;
};

}  // namespace briarwood::emulator
