#include "briarwood/rpc/node_options.h"

#include <fstream>
#include <sstream>

#include "briarwood/rpc/error.h"

namespace briarwood::rpc {
namespace {

std::string ReadPem(const std::string& file_name) {
  std::ifstream file(file_name);
  if (!file) throw RpcError("cannot read " + file_name, false);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

}  // namespace

ServerOptions MakeServerOptions(const schema::NodeSettings& node, const std::string& credential) {
  ServerOptions options{.listen = node.rpc_listen(), .credential = credential};
  if (node.internal_tls().certificate_file().empty()) return options;
  options.certificate = ReadPem(node.internal_tls().certificate_file());
  options.private_key = ReadPem(node.internal_tls().private_key_file());
  return options;
}

}  // namespace briarwood::rpc
