#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "briarwood/common/result.h"
#include "briarwood/http/event_loop.h"
#include "briarwood/http/incoming.h"
#include "soak/promises.h"

namespace briarwood::soak {

/// Entry of the platform's list.
struct ListedServer {
  std::string id;
  std::string service;
  std::string address;
  std::string failure_domain;
  std::uint32_t slots = 0;
  bool leaving = false;
};

/// The platform's interface: the list of backend servers in pages, and usage reports. Belongs to
/// the thread of the event loop.
class PlatformStandIn {
 public:
  /// \param list   called for each page
  /// \returns the running platform, or a sentence why the address cannot be used.
  static common::Result<std::unique_ptr<PlatformStandIn>> Start(
      http::EventLoop& loop, const std::string& listen,
      std::function<std::vector<ListedServer>()> list, UsagePromises& usage);

  /// Answers every call with 503.
  void SetDown(bool down) noexcept { down_ = down; }

 private:
  PlatformStandIn(std::function<std::vector<ListedServer>()> list, UsagePromises& usage)
      : list_(std::move(list)), usage_(usage) {}

  void Handle(http::IncomingRequest& request);
  void AnswerList(http::IncomingRequest& request);
  void AnswerUsage(http::IncomingRequest& request);

  std::function<std::vector<ListedServer>()> list_;
  UsagePromises& usage_;
  std::unique_ptr<http::IncomingServer> server_;
  bool down_ = false;
};

}  // namespace briarwood::soak
