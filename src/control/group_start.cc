#include "briarwood/control/group_start.h"

#include <algorithm>
#include <chrono>
#include <deque>
#include <optional>
#include <set>
#include <thread>
#include <utility>

#include "briarwood/control/member_identity.h"
#include "briarwood/rpc/client.h"
#include "briarwood/rpc/error.h"
#include "briarwood/storage/error.h"
#include "fleet.pb.h"

namespace briarwood::control {
namespace {

using std::chrono::milliseconds;

/// Longest wait for the answer of one member; the change of members commits within it.
constexpr milliseconds kJoinTimeout{800};
constexpr milliseconds kJoinPause{100};

std::string OwnAddress(const schema::ControlSettings& settings) {
  const schema::NodeSettings& node = settings.node();
  return node.rpc_advertise().empty() ? node.rpc_listen() : node.rpc_advertise();
}

std::vector<schema::ControlPeer> PeersOf(std::vector<std::string> seeds) {
  std::sort(seeds.begin(), seeds.end());
  seeds.erase(std::unique(seeds.begin(), seeds.end()), seeds.end());
  std::vector<schema::ControlPeer> peers;
  for (const std::string& seed : seeds) {
    schema::ControlPeer& peer = peers.emplace_back();
    peer.set_member_id(peers.size());
    peer.set_rpc_address(seed);
  }
  return peers;
}

/// Asks one member; \returns the identity, or nothing, and adds addresses to ask next.
std::optional<schema::MemberIdentity> AskToJoin(const GroupStartOptions& options,
                                                const std::string& address,
                                                std::deque<std::string>& next) {
  schema::JoinRequest request;
  request.set_rpc_address(OwnAddress(options.settings));
  request.set_failure_domain(options.settings.node().failure_domain());
  request.set_incarnation(options.incarnation.value());
  request.set_without_disk(options.settings.data_folder().empty());
  try {
    rpc::Client client({.address = address,
                        .credential = options.credential,
                        .ca_file = options.settings.node().internal_tls().ca_file(),
                        .timeout = kJoinTimeout});
    const auto response = client.Call<schema::JoinResponse>("Join", request);
    if (response.member_id() != 0) {
      schema::MemberIdentity identity;
      identity.set_member_id(response.member_id());
      identity.set_joined(true);
      for (const schema::MemberAddress& member : response.members()) {
        schema::ControlPeer& peer = *identity.add_peers();
        peer.set_member_id(member.member_id());
        peer.set_rpc_address(member.rpc_address());
      }
      return identity;
    }
    if (!response.leader_rpc().empty()) next.push_front(response.leader_rpc());
    next.insert(next.end(), response.control_rpc().begin(), response.control_rpc().end());
  } catch (const rpc::RpcError& error) {
    if (options.log) {
      options.log("event=join_unanswered member=" + address + " problem=\"" + error.what() + "\"");
    }
  }
  return std::nullopt;
}

std::optional<schema::MemberIdentity> Join(const GroupStartOptions& options) {
  while (!options.interrupted || !options.interrupted()) {
    const std::vector<std::string> seeds = options.seeds();
    std::deque<std::string> next(seeds.begin(), seeds.end());
    std::set<std::string> asked{OwnAddress(options.settings)};
    while (!next.empty()) {
      const std::string address = std::move(next.front());
      next.pop_front();
      if (!asked.insert(address).second) continue;
      if (auto identity = AskToJoin(options, address, next)) return identity;
      if (options.interrupted && options.interrupted()) return std::nullopt;
    }
    std::this_thread::sleep_for(kJoinPause);
  }
  return std::nullopt;
}

}  // namespace

common::Result<GroupStart> PrepareGroupStart(storage::Files& files,
                                             const GroupStartOptions& options) {
  using StartResult = common::Result<GroupStart>;
  const std::string& folder = options.settings.data_folder();
  auto loaded = LoadMemberIdentity(files, folder);
  if (!loaded.ok()) return StartResult::Failure(loaded.error());
  schema::MemberIdentity identity;
  if (loaded.value()) {
    identity = *loaded.value();
  } else {
    const auto peers = PeersOf({options.settings.seeds().begin(), options.settings.seeds().end()});
    const auto own = std::find_if(peers.begin(), peers.end(), [&](const auto& peer) {
      return peer.rpc_address() == OwnAddress(options.settings);
    });
    const bool has_disk = !options.settings.data_folder().empty();
    if (options.settings.bootstrap() && has_disk && own != peers.end()) {
      identity.set_member_id(own->member_id());
      for (const schema::ControlPeer& peer : peers) *identity.add_peers() = peer;
    } else {
      auto joined = Join(options);
      if (!joined) return StartResult::Failure("stopped before the group took this member in");
      identity = std::move(*joined);
    }
    try {
      SaveMemberIdentity(files, folder, identity);
    } catch (const storage::StorageError& error) {
      return StartResult::Failure(error.what());
    }
  }
  return StartResult::Success({.id = common::MemberId(identity.member_id()),
                               .peers = {identity.peers().begin(), identity.peers().end()},
                               .joined = identity.joined()});
}

}  // namespace briarwood::control
