#pragma once

#include <boost/asio/basic_waitable_timer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <optional>
#include <string>
#include <utility>

#include "briarwood/common/time.h"

namespace briarwood::http {

using EventLoop = boost::asio::io_context;
using Socket = boost::asio::ip::tcp::socket;
using Endpoint = boost::asio::ip::tcp::endpoint;
/// Timer on the boot clock, so that deadlines also expire while the VM is suspended.
using Timer = boost::asio::basic_waitable_timer<common::BootClock>;

/// \returns the endpoint that "ip:port" names, or nothing if `address` is not of this form.
[[nodiscard]] std::optional<Endpoint> ParseEndpoint(const std::string& address);

/// Bounds the time until the kernel closes the connection to an unresponsive peer, by a limit for
/// unacknowledged data and by keep-alive probes on an idle connection. Also sets TCP_NODELAY.
void SetPeerTimeout(Socket& socket, std::chrono::milliseconds timeout) noexcept;

}  // namespace briarwood::http
