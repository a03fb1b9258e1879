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
/// Timer on the boot clock, so that deadlines pass while the VM is suspended.
using Timer = boost::asio::basic_waitable_timer<common::BootClock>;

/// \returns the endpoint of an "ip:port" text, or nothing.
[[nodiscard]] std::optional<Endpoint> ParseEndpoint(const std::string& address);

/// Bounds the time until a silent peer is noticed by the kernel: unacknowledged data, and
/// keep-alive probes on an idle connection.
void LimitSilence(Socket& socket, std::chrono::milliseconds limit) noexcept;

}  // namespace briarwood::http
