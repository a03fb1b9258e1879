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

/// A client, a link and a server that echoes.
class LinkTest : public ::testing::Test {
 protected:
  LinkTest() : acceptor_(loop_, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0)) {
    Accept();
    const std::string server = "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
    // The kernel has just had this port free; the link needs a number, not 0.
    tcp::acceptor probe(loop_, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
    const std::uint16_t port = probe.local_endpoint().port();
    probe.close();
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
    auto piece = std::make_shared<std::array<char, 64>>();
    socket->async_read_some(
        asio::buffer(*piece),
        [this, socket, piece](const boost::system::error_code& error, std::size_t bytes) {
          if (error) return;
          asio::write(*socket, asio::buffer(piece->data(), bytes));
          Echo(socket);
        });
  }

  std::shared_ptr<tcp::socket> Connect() {
    auto socket = std::make_shared<tcp::socket>(loop_);
    socket->connect(*http::ParseEndpoint(link_->address()));
    return socket;
  }

  /// \returns what came back within the time; nothing when the connection failed.
  std::optional<std::string> Exchange(const std::shared_ptr<tcp::socket>& socket,
                                      const std::string& text, milliseconds limit) {
    boost::system::error_code failed;
    asio::write(*socket, asio::buffer(text), failed);
    if (failed) return std::nullopt;
    return Receive(socket, text.size(), limit);
  }

  std::optional<std::string> Receive(const std::shared_ptr<tcp::socket>& socket, std::size_t bytes,
                                     milliseconds limit) {
    auto received = std::make_shared<std::string>(bytes, '\0');
    bool done = false;
    bool broken = false;
    asio::async_read(*socket, asio::buffer(*received),
                     [&, received](const boost::system::error_code& error, std::size_t) {
                       done = !error;
                       broken = error && error != asio::error::operation_aborted;
                     });
    const auto end = std::chrono::steady_clock::now() + limit;
    while (!done && !broken && std::chrono::steady_clock::now() < end) {
      loop_.run_for(milliseconds(5));
    }
    if (broken) return std::nullopt;
    if (!done) {
      socket->cancel();
      loop_.run_for(milliseconds(5));
      return std::string();
    }
    return *received;
  }

  static constexpr milliseconds kLong{5000};
  static constexpr milliseconds kShort{100};

  http::EventLoop loop_;
  tcp::acceptor acceptor_;
  std::unique_ptr<Link> link_;
};

TEST_F(LinkTest, PassesBytesBothWays) { EXPECT_EQ(Exchange(Connect(), "hello", kLong), "hello"); }

TEST_F(LinkTest, HoldsBytesDuringACutAndPassesThemAfterIt) {
  const auto socket = Connect();
  EXPECT_EQ(Exchange(socket, "a", kLong), "a");
  link_->CutToServer(true);
  EXPECT_EQ(Exchange(socket, "b", kShort), "");
  link_->CutToServer(false);
  EXPECT_EQ(Receive(socket, 1, kLong), "b");
  link_->CutFromServer(true);
  EXPECT_EQ(Exchange(socket, "c", kShort), "");
  link_->CutFromServer(false);
  EXPECT_EQ(Receive(socket, 1, kLong), "c");
}

TEST_F(LinkTest, SilencesOpenConnectionsOnly) {
  const auto socket = Connect();
  EXPECT_EQ(Exchange(socket, "a", kLong), "a");
  link_->Silence();
  EXPECT_EQ(Exchange(socket, "b", kShort), "");
  EXPECT_EQ(Exchange(Connect(), "c", kLong), "c");
}

TEST_F(LinkTest, ResetsOpenConnections) {
  const auto socket = Connect();
  EXPECT_EQ(Exchange(socket, "a", kLong), "a");
  link_->Reset();
  EXPECT_EQ(Receive(socket, 1, kLong), std::nullopt);
  EXPECT_EQ(Exchange(Connect(), "c", kLong), "c");
}

TEST_F(LinkTest, DelaysEachPiece) {
  link_->SetDelay(milliseconds(60));
  const auto socket = Connect();
  const auto start = std::chrono::steady_clock::now();
  EXPECT_EQ(Exchange(socket, "a", kLong), "a");
  EXPECT_GE(std::chrono::steady_clock::now() - start, milliseconds(120));
}

}  // namespace
}  // namespace briarwood::soak
