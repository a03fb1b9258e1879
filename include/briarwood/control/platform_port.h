#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>

#include "briarwood/common/ids.h"
#include "control.pb.h"
#include "usage.pb.h"

namespace briarwood::control {

enum class OrderResponse : std::uint8_t { kAccepted, kRejected, kNoResponse };

/// Response of the platform to a usage report.
struct ReportResponse {
  /// Acknowledgement of the platform, or std::nullopt without a valid response.
  std::optional<std::string> receipt;
  /// True if the platform has received a higher fencing token.
  bool stale_fencing_token = false;

  // NOLINTNEXTLINE(google-explicit-constructor): for ports without support for fencing tokens
  ReportResponse(std::optional<std::string> optional_acknowledgement)
      : receipt(std::move(optional_acknowledgement)) {}
  ReportResponse(std::optional<std::string> optional_acknowledgement, bool is_fenced)
      : receipt(std::move(optional_acknowledgement)), stale_fencing_token(is_fenced) {}

  friend bool operator==(const ReportResponse& answer, std::string_view expected) {
    return answer.receipt == expected;
  }
};

/// Calls to the platform. All functions block; they report a failed call in the return value and
/// do not throw.
struct PlatformPort {
  /// Sends the report of a closed window, which no longer changes.
  std::function<ReportResponse(const schema::UsageWindow& window, common::Term fencing_token)>
      send_report;
  std::function<OrderResponse(const schema::Order& order)> send_order;
  /// \returns the ids of all orders that the platform has received, or std::nullopt without a
  /// response.
  std::function<std::optional<std::set<std::uint64_t>>()> list_orders;
};

/// \param base_url  "http://ip:port" of the platform
/// \returns a port that calls the platform over HTTP.
[[nodiscard]] PlatformPort MakeHttpPlatform(const std::string& base_url);

}  // namespace briarwood::control
