#include "soak/link.h"

#include <gtest/gtest.h>

#include <array>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <optional>

namespace briarwood::soak {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using std::chrono::milliseconds;

/// Client, link and echo server.
class LinkTest : public ::testing::Test {
 protected:
  LinkTest() : acceptor_(loop_, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0)) {
    Accept();
    const std::string server = "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
    // Link::Start requires a port number, so take one that the kernel has just reported as free.
    tcp::acceptor port_probe(loop_, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
    const std::uint16_t port = port_probe.local_endpoint().port();
    port_probe.close();
    auto link = Link::Start(loop_, "127.0.0.1:" + std::to_string(port), server);
    EXPECT_TRUE(link.ok());
    link_ = std::move(link).value();
  }

  void Accept() {
    acceptor_.async_accept([this](const boost::system::error_code& error, tcp::socket socket) {
      if (error) return;
      auto shared = std::make_shared<tcp::socket>(std::move(socket));
      Echo(shared);
      Accept();
    });
  }

  void Echo(const std::shared_ptr<tcp::socket>& socket) {
    auto chunk = std::make_shared<std::array<char, 64>>();
    socket->async_read_some(
        asio::buffer(*chunk),
        [this, socket, chunk](const boost::system::error_code& error, std::size_t bytes) {
          if (error) return;
          asio::write(*socket, asio::buffer(chunk->data(), bytes));
          Echo(socket);
        });
  }

  std::shared_ptr<tcp::socket> Connect() {
    auto socket = std::make_shared<tcp::socket>(loop_);
    socket->connect(*http::ParseEndpoint(link_->address()));
    return socket;
  }

  /// \returns the echoed text, an empty string after a timeout, or nothing if the connection
  /// failed.
  std::optional<std::string> Exchange(const std::shared_ptr<tcp::socket>& socket,
                                      const std::string& text, milliseconds timeout) {
    boost::system::error_code failed;
    asio::write(*socket, asio::buffer(text), failed);
    if (failed) return std::nullopt;
    return Receive(socket, text.size(), timeout);
  }

  std::optional<std::string> Receive(const std::shared_ptr<tcp::socket>& socket, std::size_t bytes,
                                     milliseconds timeout) {
    auto received = std::make_shared<std::string>(bytes, '\0');
    bool done = false;
    bool connection_failed = false;
    asio::async_read(*socket, asio::buffer(*received),
                     [&, received](const boost::system::error_code& error, std::size_t) {
                       done = !error;
                       connection_failed = error && error != asio::error::operation_aborted;
                     });
    const auto end = std::chrono::steady_clock::now() + timeout;
    while (!done && !connection_failed && std::chrono::steady_clock::now() < end) {
      loop_.run_for(milliseconds(5));
    }
    if (connection_failed) return std::nullopt;
    if (!done) {
      socket->cancel();
      loop_.run_for(milliseconds(5));
      return std::string();
    }
    return *received;
  }

  static constexpr milliseconds kResponseTimeout{5000};
  static constexpr milliseconds kSilencePeriod{100};

  http::EventLoop loop_;
  tcp::acceptor acceptor_;
  std::unique_ptr<Link> link_;
};

TEST_F(LinkTest, ForwardsBytesInBothDirections) {
  EXPECT_EQ(Exchange(Connect(), "hello", kResponseTimeout), "hello");
}

TEST_F(LinkTest, HoldsBytesDuringACutAndForwardsThemAfterIt) {
  const auto socket = Connect();
  EXPECT_EQ(Exchange(socket, "a", kResponseTimeout), "a");
  link_->CutToServer(true);
  EXPECT_EQ(Exchange(socket, "b", kSilencePeriod), "");
  link_->CutToServer(false);
  EXPECT_EQ(Receive(socket, 1, kResponseTimeout), "b");
  link_->CutFromServer(true);
  EXPECT_EQ(Exchange(socket, "c", kSilencePeriod), "");
  link_->CutFromServer(false);
  EXPECT_EQ(Receive(socket, 1, kResponseTimeout), "c");
}

TEST_F(LinkTest, SilencesOpenConnectionsOnly) {
  const auto socket = Connect();
  EXPECT_EQ(Exchange(socket, "a", kResponseTimeout), "a");
  link_->Silence();
  EXPECT_EQ(Exchange(socket, "b", kSilencePeriod), "");
  EXPECT_EQ(Exchange(Connect(), "c", kResponseTimeout), "c");
}

// Guards against a dark link that answers or closes connections, which a machine without power
// cannot.
TEST_F(LinkTest, DarkLinkKeepsConnectionsOpenAndSilent) {
  const auto socket = Connect();
  EXPECT_EQ(Exchange(socket, "a", kResponseTimeout), "a");
  link_->SetDark(true);
  EXPECT_EQ(Exchange(socket, "b", kSilencePeriod), "");
  const auto later = Connect();
  EXPECT_EQ(Exchange(later, "c", kSilencePeriod), "");
  link_->SetDark(false);
  EXPECT_EQ(Receive(later, 1, kResponseTimeout), std::nullopt);
  EXPECT_EQ(Exchange(Connect(), "d", kResponseTimeout), "d");
}

TEST_F(LinkTest, ResetsOpenConnections) {
  const auto socket = Connect();
  EXPECT_EQ(Exchange(socket, "a", kResponseTimeout), "a");
  link_->Reset();
  EXPECT_EQ(Receive(socket, 1, kResponseTimeout), std::nullopt);
  EXPECT_EQ(Exchange(Connect(), "c", kResponseTimeout), "c");
}

TEST_F(LinkTest, DelaysEachChunk) {
  link_->SetDelay(milliseconds(60));
  const auto socket = Connect();
  const auto start = std::chrono::steady_clock::now();
  EXPECT_EQ(Exchange(socket, "a", kResponseTimeout), "a");
  EXPECT_GE(std::chrono::steady_clock::now() - start, milliseconds(120));
}

}  // namespace
}  // namespace briarwood::soak
