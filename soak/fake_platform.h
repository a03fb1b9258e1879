#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "briarwood/common/result.h"
#include "briarwood/http/event_loop.h"
#include "briarwood/http/incoming.h"
#include "soak/invariant_checkers.h"

namespace briarwood::soak {

/// Backend server in the list of the platform.
struct ListedServer {
  std::string id;
  std::string service;
  std::string address;
  std::string failure_domain;
  std::uint32_t slots = 0;
  bool draining = false;
};

/// Fake of the platform API: a paginated list of backend servers, and usage reports. Not
/// thread-safe: use it on the thread of the event loop.
class FakePlatform {
 public:
  /// \param list  called for each page; returns all backend servers
  /// \returns the running platform, or an error that describes why the address cannot be used.
  static common::Result<std::unique_ptr<FakePlatform>> Start(
      http::EventLoop& loop, const std::string& listen,
      std::function<std::vector<ListedServer>()> list, UsageChecker& usage);

  /// Responds to every call with 503 while `unavailable` is true.
  void SetUnavailable(bool unavailable) noexcept { unavailable_ = unavailable; }

 private:
  FakePlatform(std::function<std::vector<ListedServer>()> list, UsageChecker& usage)
      : list_(std::move(list)), usage_(usage) {}

  void Handle(http::IncomingRequest& request);
  void HandleListRequest(http::IncomingRequest& request);
  void HandleUsageReport(http::IncomingRequest& request);

  std::function<std::vector<ListedServer>()> list_;
  UsageChecker& usage_;
  std::unique_ptr<http::IncomingServer> server_;
  bool unavailable_ = false;
};

}  // namespace briarwood::soak
