#include "emulator/impl/restartable_server.h"

#include <chrono>
#include <utility>

namespace briarwood::emulator::impl {
namespace {

/// Delay for the listener to close its sockets before held exchanges are released. If they were
/// released earlier, they would be answered; if they were not released, the listener could not
/// close.
constexpr std::chrono::milliseconds kSocketCloseDelay{50};

}  // namespace

common::Result<std::uint16_t> RestartableServer::Start(const std::string& listen) {
  using Outcome = common::Result<std::uint16_t>;
  const std::lock_guard lock(mutex_);
  if (server_) return Outcome::Success(port_);
  auto server = http::Server::Start({.listen = address_.empty() ? listen : address_}, handler_);
  if (!server.ok()) return Outcome::Failure(server.error());
  server_ = std::move(server).value();
  port_ = server_->port();
  address_ = listen.substr(0, listen.rfind(':') + 1) + std::to_string(port_);
  return Outcome::Success(port_);
}

void RestartableServer::Hold(std::shared_ptr<http::Exchange> exchange) {
  const std::lock_guard lock(mutex_);
  held_.push_back(std::move(exchange));
}

void RestartableServer::Stop() {
  std::unique_ptr<http::Server> server;
  {
    const std::lock_guard lock(mutex_);
    server = std::move(server_);
  }
  if (!server) return;
  std::thread closing([&server] { server->Close(); });
  std::this_thread::sleep_for(kSocketCloseDelay);
  std::vector<std::shared_ptr<http::Exchange>> held;
  {
    const std::lock_guard lock(mutex_);
    held.swap(held_);
  }
  held.clear();
  closing.join();
}

bool RestartableServer::up() const {
  const std::lock_guard lock(mutex_);
  return server_ != nullptr;
}

std::uint16_t RestartableServer::port() const {
  const std::lock_guard lock(mutex_);
  return port_;
}

}  // namespace briarwood::emulator::impl
