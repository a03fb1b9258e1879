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

enum class OrderAnswer : std::uint8_t { kAccepted, kRefused, kNoAnswer };

/// Answer of the platform to a usage report.
struct ReportAnswer {
  /// Nothing when no usable answer came.
  std::optional<std::string> receipt;
  /// The platform has seen a higher fence.
  bool fenced = false;

  // NOLINTNEXTLINE(google-explicit-constructor): a port that knows no fences returns a receipt
  ReportAnswer(std::optional<std::string> receipt_or_nothing)
      : receipt(std::move(receipt_or_nothing)) {}
  ReportAnswer(std::optional<std::string> receipt_or_nothing, bool is_fenced)
      : receipt(std::move(receipt_or_nothing)), fenced(is_fenced) {}

  friend bool operator==(const ReportAnswer& answer, std::string_view expected) {
    return answer.receipt == expected;
  }
};

/// Interfaces of the platform. Every function blocks and returns "no answer" instead of throwing.
struct PlatformPort {
  /// Sends the fixed report of a closed window.
  std::function<ReportAnswer(const schema::UsageWindow& window, common::Term fence)> send_report;
  std::function<OrderAnswer(const schema::Order& order)> send_order;
  /// \returns the ids of all orders that the platform has received, or nothing without an answer.
  std::function<std::optional<std::set<std::uint64_t>>()> list_orders;
};

/// \param base_url  "http://ip:port" of the platform
/// \returns a port that calls the platform over HTTP.
[[nodiscard]] PlatformPort MakeHttpPlatform(const std::string& base_url);

}  // namespace briarwood::control
