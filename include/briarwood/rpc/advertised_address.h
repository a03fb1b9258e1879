#pragma once

#include <cstdint>
#include <string>

#include "settings.pb.h"

namespace briarwood::rpc {

/// \param port  port of the RPC listener, used instead of the port in `rpc_listen`, which may be 0
/// \returns the address at which other processes reach the RPC listener of the node.
[[nodiscard]] inline std::string AdvertisedAddress(const schema::NodeSettings& node,
                                                   std::uint16_t port) {
  if (!node.rpc_advertise().empty()) return node.rpc_advertise();
  return node.rpc_listen().substr(0, node.rpc_listen().rfind(':') + 1) + std::to_string(port);
}

}  // namespace briarwood::rpc
