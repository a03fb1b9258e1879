#pragma once

#include <mutex>
#include <string>
#include <vector>

#include "support/raw_server.h"

namespace briarwood::testing_support {

/// Plain service that responds to the first booking and keeps the connection open. From the second
/// booking on, it reads the complete request and closes the connection without a response.
class DisconnectingServer {
 public:
  [[nodiscard]] std::string url() const { return server_.url(); }

  /// Bodies of the bookings that were read completely, in order.
  [[nodiscard]] std::vector<std::string> bookings() const {
    const std::lock_guard lock(mutex_);
    return bookings_;
  }

 private:
  void Handle(const RawServer::Connection& connection, const RawServer::Request& request) {
    if (request.method != "POST") {
      connection.Respond("200 OK", R"({"capacity":8})");
      return;
    }
    const std::lock_guard lock(mutex_);
    bookings_.push_back(request.body);
    if (bookings_.size() > 1) {
      connection.Close();
    } else {
      connection.Respond("200 OK", R"({"slot":1})");
    }
  }

  mutable std::mutex mutex_;
  std::vector<std::string> bookings_;
  RawServer server_{[this](const RawServer::Connection& connection,
                           const RawServer::Request& request) { Handle(connection, request); }};
};

}  // namespace briarwood::testing_support
