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

/// Timeout for the call to one member, which includes the commit of the membership change.
constexpr milliseconds kJoinCallTimeout{800};
constexpr milliseconds kJoinRetryDelay{100};

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

/// Requests admission from one member and adds further addresses to `pending_addresses`.
/// \returns the identity, or std::nullopt if the member did not admit this process.
std::optional<schema::MemberIdentity> RequestJoin(const GroupStartOptions& options,
                                                  const std::string& address,
                                                  std::deque<std::string>& pending_addresses) {
  schema::JoinRequest request;
  request.set_rpc_address(OwnAddress(options.settings));
  request.set_failure_domain(options.settings.node().failure_domain());
  request.set_incarnation(options.incarnation.value());
  request.set_without_disk(options.settings.data_folder().empty());
  try {
    rpc::Client client({.address = address,
                        .credential = options.credential,
                        .ca_file = options.settings.node().internal_tls().ca_file(),
                        .timeout = kJoinCallTimeout});
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
    if (!response.leader_rpc().empty()) pending_addresses.push_front(response.leader_rpc());
    pending_addresses.insert(pending_addresses.end(), response.control_rpc().begin(),
                             response.control_rpc().end());
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
    std::deque<std::string> pending_addresses(seeds.begin(), seeds.end());
    std::set<std::string> contacted{OwnAddress(options.settings)};
    while (!pending_addresses.empty()) {
      const std::string address = std::move(pending_addresses.front());
      pending_addresses.pop_front();
      if (!contacted.insert(address).second) continue;
      if (auto identity = RequestJoin(options, address, pending_addresses)) return identity;
      if (options.interrupted && options.interrupted()) return std::nullopt;
    }
    std::this_thread::sleep_for(kJoinRetryDelay);
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
    try {
      // A log without an identity belongs to a previous member that was being erased.
      EraseMember(files, folder);
    } catch (const storage::StorageError& error) {
      return StartResult::Failure(error.what());
    }
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
      if (!joined) return StartResult::Failure("stopped before the group admitted this member");
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
