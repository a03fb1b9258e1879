#include "soak/link.h"

#include <algorithm>
#include <array>
#include <boost/asio/write.hpp>
#include <utility>

namespace briarwood::soak {

namespace asio = boost::asio;
using ErrorCode = boost::system::error_code;
using asio::ip::tcp;

namespace {

constexpr std::size_t kChunkBytes = 16384;

}  // namespace

/// Connection from a client and the corresponding connection to the server.
class Link::Session : public std::enable_shared_from_this<Session> {
 public:
  Session(Link& link, http::Socket client)
      : link_(&link),
        alive_(link.alive_),
        client_(std::move(client)),
        server_(link.loop_),
        to_server_{client_, server_, http::Timer(link.loop_), {}, false, false},
        to_client_{server_, client_, http::Timer(link.loop_), {}, false, false} {}

  void Start() {
    server_.async_connect(link_->server_, [self = shared_from_this()](const ErrorCode& error) {
      if (error) {
        self->Reset();
        return;
      }
      ErrorCode ignored;
      self->client_.set_option(tcp::no_delay(true), ignored);
      self->server_.set_option(tcp::no_delay(true), ignored);
      self->ReadChunk(self->to_server_);
      self->ReadChunk(self->to_client_);
    });
  }

  void Reset() {
    if (std::exchange(closed_, true)) return;
    ErrorCode ignored;
    for (http::Socket* socket : {&client_, &server_}) {
      socket->set_option(asio::socket_base::linger(true, 0), ignored);
      socket->close(ignored);
    }
    to_server_.timer.cancel();
    to_client_.timer.cancel();
  }

  void Silence() noexcept { silent_ = true; }
  [[nodiscard]] bool closed() const noexcept { return closed_; }

  /// Continues forwarding after a cut has ended.
  void Resume() {
    if (closed_) return;
    for (Direction* direction : {&to_server_, &to_client_}) {
      if (direction->held && !IsHeld(*direction)) {
        direction->held = false;
        Forward(*direction);
      }
    }
  }

 private:
  struct Direction {
    http::Socket& from;
    http::Socket& to;
    http::Timer timer;
    std::array<char, kChunkBytes> chunk;
    /// A chunk is held back by a cut.
    bool held;
    bool ended;
    std::size_t bytes = 0;
  };

  [[nodiscard]] bool IsHeld(const Direction& direction) const noexcept {
    return silent_ || (&direction == &to_server_ ? link_->cut_to_server_ : link_->cut_from_server_);
  }

  void ReadChunk(Direction& direction) {
    direction.from.async_read_some(
        asio::buffer(direction.chunk),
        [self = shared_from_this(), &direction](const ErrorCode& error, std::size_t bytes) {
          self->OnChunk(direction, error, bytes);
        });
  }

  void OnChunk(Direction& direction, const ErrorCode& error, std::size_t bytes) {
    if (closed_ || !*alive_) return;
    direction.ended = static_cast<bool>(error);
    direction.bytes = error ? 0 : bytes;
    if (error && error != asio::error::eof && !silent_) {
      Reset();
      return;
    }
    Forward(direction);
  }

  /// Forwards the chunk after the delay, or once the cut has ended.
  void Forward(Direction& direction) {
    if (IsHeld(direction)) {
      direction.held = true;
      return;
    }
    if (link_->delay_ == std::chrono::milliseconds(0)) {
      Write(direction);
      return;
    }
    direction.timer.expires_after(link_->delay_);
    direction.timer.async_wait([self = shared_from_this(), &direction](const ErrorCode& error) {
      if (!error && !self->closed_ && *self->alive_) self->Write(direction);
    });
  }

  void Write(Direction& direction) {
    if (direction.ended) {
      ErrorCode ignored;
      direction.to.shutdown(tcp::socket::shutdown_send, ignored);
      if (to_server_.ended && to_client_.ended) Close();
      return;
    }
    asio::async_write(
        direction.to, asio::buffer(direction.chunk.data(), direction.bytes),
        [self = shared_from_this(), &direction](const ErrorCode& error, std::size_t /*bytes*/) {
          if (self->closed_ || !*self->alive_) return;
          error ? self->Reset() : self->ReadChunk(direction);
        });
  }

  void Close() {
    if (std::exchange(closed_, true)) return;
    ErrorCode ignored;
    client_.close(ignored);
    server_.close(ignored);
  }

  Link* link_;
  std::shared_ptr<bool> alive_;
  http::Socket client_;
  http::Socket server_;
  Direction to_server_;
  Direction to_client_;
  bool silent_ = false;
  bool closed_ = false;
};

Link::Link(http::EventLoop& loop, std::string listen, http::Endpoint server)
    : loop_(loop), listen_(std::move(listen)), server_(std::move(server)), acceptor_(loop) {}

Link::~Link() {
  *alive_ = false;
  ErrorCode ignored;
  acceptor_.close(ignored);
  for (const auto& session : sessions_) session->Reset();
}

common::Result<std::unique_ptr<Link>> Link::Start(http::EventLoop& loop, const std::string& listen,
                                                  const std::string& server) {
  using LinkResult = common::Result<std::unique_ptr<Link>>;
  const auto target = http::ParseEndpoint(server);
  if (!target) return LinkResult::Failure("\"" + server + "\" is not ip:port");
  std::unique_ptr<Link> link(new Link(loop, listen, *target));
  if (std::string problem = link->Listen(); !problem.empty()) {
    return LinkResult::Failure(std::move(problem));
  }
  return LinkResult::Success(std::move(link));
}

std::string Link::Listen() {
  const auto endpoint = http::ParseEndpoint(listen_);
  if (!endpoint) return "\"" + listen_ + "\" is not ip:port";
  ErrorCode error;
  acceptor_.open(endpoint->protocol(), error);
  if (!error) acceptor_.set_option(tcp::acceptor::reuse_address(true), error);
  if (!error) acceptor_.bind(*endpoint, error);
  if (!error) acceptor_.listen(asio::socket_base::max_listen_connections, error);
  if (error) return "cannot listen on " + listen_ + ": " + error.message();
  Accept();
  return {};
}

void Link::Accept() {
  acceptor_.async_accept([this, alive = alive_](const ErrorCode& error, http::Socket client) {
    if (!*alive || error == asio::error::operation_aborted) return;
    if (!error && dark_) {
      dark_connections_.push_back(std::move(client));
    } else if (!error && !reject_connections_) {
      auto session = std::make_shared<Session>(*this, std::move(client));
      std::erase_if(sessions_, [](const auto& existing) { return existing->closed(); });
      sessions_.push_back(session);
      session->Start();
    }
    Accept();
  });
}

std::size_t Link::connections() const {
  return static_cast<std::size_t>(std::count_if(
      sessions_.begin(), sessions_.end(), [](const auto& session) { return !session->closed(); }));
}

void Link::CutToServer(bool cut) {
  cut_to_server_ = cut;
  Resume();
}

void Link::CutFromServer(bool cut) {
  cut_from_server_ = cut;
  Resume();
}

void Link::Reset() {
  for (const auto& session : sessions_) session->Reset();
}

void Link::Silence() {
  for (const auto& session : sessions_) session->Silence();
}

void Link::SetDark(bool dark) {
  dark_ = dark;
  if (dark) {
    Silence();
    return;
  }
  Reset();
  for (http::Socket& connection : std::exchange(dark_connections_, {})) {
    ErrorCode ignored;
    connection.set_option(asio::socket_base::linger(true, 0), ignored);
    connection.close(ignored);
  }
}

void Link::RejectConnections(bool reject) {
  reject_connections_ = reject;
  if (reject) Reset();
}

void Link::Resume() {
  for (const auto& session : sessions_) session->Resume();
}

}  // namespace briarwood::soak
