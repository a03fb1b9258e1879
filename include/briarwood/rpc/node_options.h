#pragma once

#include <string>

#include "briarwood/rpc/server.h"
#include "settings.pb.h"

namespace briarwood::rpc {

/// \returns the options of the RPC listener of a node, with the contents of the PEM files of
/// `internal_tls`. Throws RpcError if a file cannot be read.
[[nodiscard]] ServerOptions MakeServerOptions(const schema::NodeSettings& node,
                                              const std::string& credential);

}  // namespace briarwood::rpc
