#include "briarwood/emulator/platform.h"

#include <mutex>
#include <optional>
#include <utility>

#include "briarwood/emulator/vm_list.h"
#include "emulator/impl/delay_queue.h"
#include "emulator/impl/json.h"
#include "emulator/impl/platform_ledger.h"
#include "emulator/impl/restartable_server.h"

namespace briarwood::emulator {
namespace {

using ExchangePtr = std::shared_ptr<http::Exchange>;
using impl::ErrorResponse;
using impl::JsonResponse;

const char* ToName(VmState state) {
  switch (state) {
    case VmState::kStarting:
      return "starting";
    case VmState::kLive:
      return "live";
    default:
      return "leaving";
  }
}

std::optional<ResponseMode> ToMode(const std::string& name) {
  if (name == "normal") return ResponseMode::kNormal;
  if (name == "late") return ResponseMode::kLate;
  if (name == "lost") return ResponseMode::kLost;
  if (name == "twice") return ResponseMode::kTwice;
  return std::nullopt;
}

Json::Value ToJson(const PlatformOrder& order) {
  Json::Value item;
  item["id"] = Json::UInt64{order.id};
  item["fence"] = Json::UInt64{order.fencing_token};
  item["kind"] = order.kind;
  item["backend_server"] = order.backend_server;
  item["failure_domain"] = order.failure_domain;
  item["state"] = "accepted";
  return item;
}

std::optional<PlatformOrder> ParseOrder(std::string_view text) {
  const std::optional<Json::Value> body = impl::ReadObject(text);
  if (!body) return std::nullopt;
  const auto id = impl::ReadCount(*body, "id", 0);
  const auto fencing_token = impl::ReadCount(*body, "fence", 0);
  const auto expires = impl::ReadCount(*body, "expires_unix_ms", 0);
  const std::string kind = impl::ReadText(*body, "kind");
  if (!id || *id == 0 || !fencing_token || !expires || (kind != "start" && kind != "stop")) {
    return std::nullopt;
  }
  return PlatformOrder{.id = *id,
                       .fencing_token = *fencing_token,
                       .kind = kind,
                       .backend_server = impl::ReadText(*body, "backend_server"),
                       .failure_domain = impl::ReadText(*body, "failure_domain"),
                       .expires_unix_ms = *expires};
}

}  // namespace

class Platform::Impl {
 public:
  explicit Impl(const PlatformOptions& options)
      : options_(options),
        vms_(options.vm_start_time, options.vm_leave_time),
        server_([this](const ExchangePtr& exchange) { Handle(exchange); }) {}

  ~Impl() { server_.Stop(); }

  common::Result<std::uint16_t> Start() { return server_.Start(options_.listen); }

  [[nodiscard]] std::uint16_t port() const { return server_.port(); }

  /// Runs `action` on the ledger under the lock.
  template <typename Action>
  auto WithLedger(Action action) const {
    const std::lock_guard lock(mutex_);
    return action(ledger_);
  }

  void SetModes(std::optional<ResponseMode> orders, std::optional<ResponseMode> reports) {
    const std::lock_guard lock(mutex_);
    if (orders) order_mode_ = *orders;
    if (reports) report_mode_ = *reports;
  }

  void AddVm(const std::string& id, const std::string& failure_domain) {
    const std::lock_guard lock(mutex_);
    vms_.StartVm(id, failure_domain, Now());
  }

  void RemoveVm(const std::string& id) {
    const std::lock_guard lock(mutex_);
    vms_.StopVm(id, Now());
  }

 private:
  void Handle(const ExchangePtr& exchange) {
    const http::Request& request = exchange->request();
    const std::string route = request.method + " " + request.path;
    if (route == "POST /orders") {
      HandleOrder(exchange);
    } else if (route == "GET /orders") {
      exchange->Respond(ListOrders());
    } else if (route == "POST /usage-reports") {
      HandleReport(exchange);
    } else if (route == "GET /usage-reports") {
      exchange->Respond(ListReports());
    } else if (route == "GET /vms") {
      exchange->Respond(ListVms());
    } else if (route == "GET /weights") {
      HandleLoad(exchange);
    } else if (route == "GET /emulator") {
      exchange->Respond(Summary());
    } else if (route == "POST /emulator") {
      exchange->Respond(SetFaults(request.body));
    } else {
      exchange->Respond(ErrorResponse(http::Status::kNotFound, "not_found"));
    }
  }

  void HandleOrder(const ExchangePtr& exchange) {
    const std::optional<PlatformOrder> order = ParseOrder(exchange->request().body);
    if (!order) {
      exchange->Respond(ErrorResponse(http::Status::kBadRequest, "invalid_order"));
      return;
    }
    ResponseMode mode{};
    {
      const std::lock_guard lock(mutex_);
      if (order->expires_unix_ms != 0 && order->expires_unix_ms <= impl::UnixMillisNow()) {
        ledger_.CountExpiredOrder();
        exchange->Respond(ErrorResponse(http::Status::kConflict, "expired"));
        return;
      }
      mode = order_mode_;
      Execute(*order);
      if (mode == ResponseMode::kTwice) Execute(*order);
    }
    RespondInMode(exchange, mode, JsonResponse(http::Status::kOk, ToJson(*order)));
  }

  void Execute(const PlatformOrder& order) {
    ledger_.AddOrder(order);
    if (order.kind == "stop") {
      vms_.StopVm(order.backend_server, Now());
      return;
    }
    // The platform starts a VM for every order that it receives, so a duplicate order costs money.
    const std::string id = order.backend_server.empty()
                               ? "vm-" + std::to_string(ledger_.counters().orders)
                               : order.backend_server;
    vms_.StartVm(id, order.failure_domain, Now());
  }

  void HandleReport(const ExchangePtr& exchange) {
    const http::Request& request = exchange->request();
    const auto window = impl::QueryCount(request.query, "window");
    const auto fencing_token = impl::QueryCount(request.query, "fence");
    if (!window || !fencing_token) {
      exchange->Respond(ErrorResponse(http::Status::kBadRequest, "invalid_report"));
      return;
    }
    const UsageReport report{
        .window = *window, .fencing_token = *fencing_token, .body = request.body};
    ResponseMode mode{};
    Json::Value body;
    {
      const std::lock_guard lock(mutex_);
      mode = report_mode_;
      body["receipt"] = ledger_.AddReport(report);
      if (mode == ResponseMode::kTwice) ledger_.AddReport(report);
    }
    const bool accepted = !body["receipt"].asString().empty();
    RespondInMode(exchange, mode,
                  accepted ? JsonResponse(http::Status::kOk, body)
                           : ErrorResponse(http::Status::kConflict, "report_differs"));
  }

  void RespondInMode(const ExchangePtr& exchange, ResponseMode mode, http::Response response) {
    switch (mode) {
      case ResponseMode::kLate:
        delays_.RunAfter(options_.late_response_delay, [exchange, response = std::move(response)] {
          exchange->Respond(response);
        });
        break;
      case ResponseMode::kLost:
        server_.Hold(exchange);
        break;
      default:
        exchange->Respond(std::move(response));
    }
  }

  /// A load counts as running until its response is sent.
  void HandleLoad(const ExchangePtr& exchange) {
    {
      const std::lock_guard lock(mutex_);
      if (loads_ >= options_.parallel_loads) {
        ledger_.CountRejectedLoad();
        http::Response rejection = ErrorResponse(http::Status::kTooManyRequests, "busy");
        rejection.headers["Retry-After"] = "1";
        exchange->Respond(std::move(rejection));
        return;
      }
      ++loads_;
    }
    delays_.RunAfter(options_.load_time, [this, exchange] {
      {
        const std::lock_guard lock(mutex_);
        --loads_;
      }
      Json::Value body;
      body["state"] = "loaded";
      exchange->Respond(JsonResponse(http::Status::kOk, body));
    });
  }

  [[nodiscard]] http::Response ListOrders() const {
    Json::Value body;
    body["orders"] = Json::Value(Json::arrayValue);
    const std::lock_guard lock(mutex_);
    for (const PlatformOrder& order : ledger_.orders()) body["orders"].append(ToJson(order));
    return JsonResponse(http::Status::kOk, body);
  }

  [[nodiscard]] http::Response ListReports() const {
    Json::Value body;
    body["reports"] = Json::Value(Json::arrayValue);
    const std::lock_guard lock(mutex_);
    for (const UsageReport& report : ledger_.reports()) {
      Json::Value item;
      item["window"] = Json::UInt64{report.window};
      item["fence"] = Json::UInt64{report.fencing_token};
      item["body"] = report.body;
      body["reports"].append(item);
    }
    return JsonResponse(http::Status::kOk, body);
  }

  [[nodiscard]] http::Response ListVms() const {
    Json::Value body;
    body["vms"] = Json::Value(Json::arrayValue);
    const std::lock_guard lock(mutex_);
    for (const VmRow& row : vms_.ViewAt(Now() - options_.list_lag)) {
      Json::Value item;
      item["id"] = row.id;
      item["failure_domain"] = row.failure_domain;
      item["state"] = ToName(row.state);
      body["vms"].append(item);
    }
    return JsonResponse(http::Status::kOk, body);
  }

  [[nodiscard]] http::Response Summary() const {
    const PlatformCounters counters =
        WithLedger([](const impl::PlatformLedger& ledger) { return ledger.counters(); });
    Json::Value body;
    body["orders"] = Json::UInt64{counters.orders};
    body["repeated_orders"] = Json::UInt64{counters.duplicate_orders};
    body["stale_orders"] = Json::UInt64{counters.stale_orders};
    body["expired_orders"] = Json::UInt64{counters.expired_orders};
    body["reports"] = Json::UInt64{counters.reports};
    body["conflicting_reports"] = Json::UInt64{counters.conflicting_reports};
    body["stale_reports"] = Json::UInt64{counters.stale_reports};
    body["refused_loads"] = Json::UInt64{counters.rejected_loads};
    return JsonResponse(http::Status::kOk, body);
  }

  http::Response SetFaults(std::string_view text) {
    const std::optional<Json::Value> body = impl::ReadObject(text);
    if (!body) return ErrorResponse(http::Status::kBadRequest, "invalid_json");
    SetModes(ToMode(impl::ReadText(*body, "order_mode")),
             ToMode(impl::ReadText(*body, "report_mode")));
    const std::string leaving = impl::ReadText(*body, "remove_vm");
    if (!leaving.empty()) RemoveVm(leaving);
    return Summary();
  }

  [[nodiscard]] static common::Time Now() { return common::BootClock::now(); }

  PlatformOptions options_;
  mutable std::mutex mutex_;
  impl::PlatformLedger ledger_;
  VmList vms_;
  ResponseMode order_mode_ = ResponseMode::kNormal;
  ResponseMode report_mode_ = ResponseMode::kNormal;
  std::size_t loads_ = 0;
  impl::RestartableServer server_;
  // Destroyed first, so that no task uses the members above afterwards.
  impl::DelayQueue delays_;
};

Platform::Platform(std::unique_ptr<Impl> impl) : impl_(std::move(impl)) {}

Platform::~Platform() = default;

common::Result<std::unique_ptr<Platform>> Platform::Start(const PlatformOptions& options) {
  using Outcome = common::Result<std::unique_ptr<Platform>>;
  auto impl = std::make_unique<Impl>(options);
  const auto port = impl->Start();
  if (!port.ok()) return Outcome::Failure(port.error());
  return Outcome::Success(std::unique_ptr<Platform>(new Platform(std::move(impl))));
}

std::uint16_t Platform::port() const noexcept { return impl_->port(); }

std::string Platform::url() const { return "http://127.0.0.1:" + std::to_string(port()); }

void Platform::SetOrderMode(ResponseMode mode) { impl_->SetModes(mode, std::nullopt); }

void Platform::SetReportMode(ResponseMode mode) { impl_->SetModes(std::nullopt, mode); }

void Platform::AddVm(const std::string& id, const std::string& failure_domain) {
  impl_->AddVm(id, failure_domain);
}

void Platform::RemoveVm(const std::string& id) { impl_->RemoveVm(id); }

PlatformCounters Platform::counters() const {
  return impl_->WithLedger([](const impl::PlatformLedger& ledger) { return ledger.counters(); });
}

std::vector<PlatformOrder> Platform::orders() const {
  return impl_->WithLedger([](const impl::PlatformLedger& ledger) { return ledger.orders(); });
}

std::vector<UsageReport> Platform::reports() const {
  return impl_->WithLedger([](const impl::PlatformLedger& ledger) { return ledger.reports(); });
}

}  // namespace briarwood::emulator
