#include "briarwood/settings/process_settings.h"

#include <set>
#include <utility>

#include "briarwood/settings/toml_reader.h"
#include "settings/impl/locate.h"
#include "settings/impl/text.h"

namespace briarwood::settings {
namespace {

using impl::Findings;
using impl::RowRef;

constexpr std::uint64_t kMaxKeyFreshnessMs = 3'600'000;

void RequireAddress(const std::string& address, const RowRef& row, std::string_view field,
                    Findings& findings) {
  findings.Require(impl::IsIpPort(address), row, field, impl::Quote(address),
                   "an address of the form ip:port");
}

void CheckOptionalAddress(const std::string& address, const RowRef& row, std::string_view field,
                          Findings& findings) {
  if (!address.empty()) RequireAddress(address, row, field, findings);
}

template <typename Addresses>
void RequireAddresses(const Addresses& addresses, std::string_view field, Findings& findings) {
  findings.Require(!addresses.empty(), {}, field, "no value", "at least one address");
  for (const std::string& address : addresses) RequireAddress(address, {}, field, findings);
}

void RequireNonEmpty(const std::string& text, const RowRef& row, std::string_view field,
                     std::string expected, Findings& findings) {
  findings.Require(!text.empty(), row, field, "no value", std::move(expected));
}

void CheckTls(const schema::Tls& tls, std::string_view table, Findings& findings) {
  const RowRef row{table};
  findings.Require(tls.certificate_file().empty() == tls.private_key_file().empty(), row,
                   tls.private_key_file().empty() ? "private_key_file" : "certificate_file",
                   "no value", "certificate_file and private_key_file together");
}

void CheckLog(const schema::LogSettings& log, Findings& findings) {
  static const std::set<std::string_view> kFormats{"", "json", "text"};
  static const std::set<std::string_view> kLevels{"", "debug", "info", "warn", "error"};
  const RowRef row{"node.log"};
  findings.Require(kFormats.contains(log.format()), row, "format", impl::Quote(log.format()),
                   "one of \"json\", \"text\"");
  findings.Require(kLevels.contains(log.level()), row, "level", impl::Quote(log.level()),
                   "one of \"debug\", \"info\", \"warn\", \"error\"");
}

void CheckNode(const schema::NodeSettings& node, Findings& findings) {
  const RowRef row{"node"};
  findings.Require(impl::IsId(node.id()), row, "id", impl::Quote(node.id()),
                   "1 to 128 letters, digits and characters of \"._:/@-\"");
  RequireNonEmpty(node.failure_domain(), row, "failure_domain", "the id of a failure domain",
                  findings);
  RequireAddress(node.rpc_listen(), row, "rpc_listen", findings);
  CheckOptionalAddress(node.rpc_advertise(), row, "rpc_advertise", findings);
  CheckOptionalAddress(node.metrics_listen(), row, "metrics_listen", findings);
  if (node.has_internal_tls()) CheckTls(node.internal_tls(), "node.internal_tls", findings);
  if (node.has_log()) CheckLog(node.log(), findings);
}

void CheckPeers(const schema::ControlSettings& settings, Findings& findings) {
  std::set<std::uint64_t> members;
  for (int i = 0; i < settings.peers_size(); ++i) {
    const schema::ControlPeer& peer = settings.peers(i);
    const RowRef row{"peers", i};
    findings.Require(peer.member_id() > 0, row, "member_id", "0 or no value",
                     "an integer of at least 1");
    findings.Require(members.insert(peer.member_id()).second, row, "member_id",
                     "duplicate member id " + std::to_string(peer.member_id()),
                     "a member id that no other peer has");
    RequireAddress(peer.rpc_address(), row, "rpc_address", findings);
  }
  if (settings.join()) return;
  findings.Require(members.contains(settings.member_id()), {}, "peers",
                   "no peer with member_id " + std::to_string(settings.member_id()),
                   "all initial members, this one included, unless join is true");
}

void CheckPlatform(const schema::PlatformSettings& platform, std::string_view table,
                   Findings& findings) {
  const RowRef row{table};
  RequireAddress(platform.address(), row, "address", findings);
  findings.Require(platform.list_calls_per_second() >= 0, row, "list_calls_per_second",
                   std::to_string(platform.list_calls_per_second()), "a rate of at least 0");
  findings.Require(!platform.report_usage() || platform.usage_window_ms() > 0, row,
                   "usage_window_ms", "0 or no value",
                   "an integer of at least 1, as report_usage is true");
}

/// Checks the settings of a member of a group that forms itself and discovers its members through
/// the seeds.
void CheckSeeds(const schema::ControlSettings& settings, Findings& findings) {
  RequireAddresses(settings.seeds(), "seeds", findings);
  constexpr std::uint32_t kMaxToleratedLosses = 4;
  findings.Require(settings.tolerated_losses() <= kMaxToleratedLosses, {}, "tolerated_losses",
                   std::to_string(settings.tolerated_losses()),
                   "at most " + std::to_string(kMaxToleratedLosses));
  CheckOptionalAddress(settings.operator_listen(), {}, "operator_listen", findings);
  findings.Require(settings.peers().empty(), {}, "peers", "a value",
                   "no value, as seeds are given");
  CheckOptionalAddress(settings.admin_listen(), {}, "admin_listen", findings);
}

void CheckControlSettings(const schema::ControlSettings& settings, Findings& findings) {
  CheckNode(settings.node(), findings);
  if (settings.seeds().empty()) {
    RequireNonEmpty(settings.data_folder(), {}, "data_folder", "the path of a folder", findings);
  }
  if (settings.has_platform()) CheckPlatform(settings.platform(), "platform", findings);
  if (!settings.seeds().empty()) {
    CheckSeeds(settings, findings);
    return;
  }
  findings.Require(settings.member_id() > 0, {}, "member_id", "0 or no value",
                   "an integer of at least 1");
  RequireAddress(settings.admin_listen(), {}, "admin_listen", findings);
  if (settings.has_admin_tls()) CheckTls(settings.admin_tls(), "admin_tls", findings);
  findings.Require(settings.platform_url().empty() || impl::IsIpUrl(settings.platform_url()), {},
                   "platform_url", impl::Quote(settings.platform_url()),
                   "a URL of the form http://ip:port or https://ip:port");
  CheckPeers(settings, findings);
  if (settings.heartbeat_ms() == 0 || settings.election_timeout_ms() == 0) return;
  // Raft requires several heartbeats within one election timeout.
  findings.Require(settings.election_timeout_ms() >= 3 * settings.heartbeat_ms(), {},
                   "election_timeout_ms", std::to_string(settings.election_timeout_ms()),
                   "at least three times heartbeat_ms");
}

void CheckForwardingSettings(const schema::ForwardingSettings& forwarding, Findings& findings) {
  const RowRef row{"forwarding"};
  CheckOptionalAddress(forwarding.ready_listen(), row, "ready_listen", findings);
  findings.Require(forwarding.repeat_ratio() >= 0 && forwarding.repeat_ratio() <= 1, row,
                   "repeat_ratio", std::to_string(forwarding.repeat_ratio()),
                   "a share from 0 to 1");
  findings.Require(forwarding.second_attempt_ratio() >= 0 && forwarding.second_attempt_ratio() <= 1,
                   row, "second_attempt_ratio", std::to_string(forwarding.second_attempt_ratio()),
                   "a share from 0 to 1");
  if (forwarding.has_platform()) {
    CheckPlatform(forwarding.platform(), "forwarding.platform", findings);
  }
}

void CheckEntrySettings(const schema::EntrySettings& settings, Findings& findings) {
  CheckNode(settings.node(), findings);
  RequireAddress(settings.listen(), {}, "listen", findings);
  if (settings.has_caller_tls()) CheckTls(settings.caller_tls(), "caller_tls", findings);
  RequireAddresses(settings.control_rpc(), "control_rpc", findings);
  if (settings.has_forwarding()) CheckForwardingSettings(settings.forwarding(), findings);
  findings.Require(settings.key_freshness_ms() <= kMaxKeyFreshnessMs, {}, "key_freshness_ms",
                   std::to_string(settings.key_freshness_ms()),
                   "at most " + std::to_string(kMaxKeyFreshnessMs));
}

void CheckAgentSettings(const schema::AgentSettings& settings, Findings& findings) {
  CheckNode(settings.node(), findings);
  RequireAddress(settings.listen(), {}, "listen", findings);
  RequireNonEmpty(settings.backend_server(), {}, "backend_server", "the id of a backend server",
                  findings);
  RequireAddresses(settings.entry_rpc(), "entry_rpc", findings);
  RequireAddresses(settings.control_rpc(), "control_rpc", findings);
}

void CheckClientSettings(const schema::ClientSettings& settings, Findings& findings) {
  findings.Require(!settings.admin().empty(), {}, "admin", "no value", "at least one URL");
  for (const std::string& url : settings.admin()) {
    findings.Require(impl::IsIpUrl(url), {}, "admin", impl::Quote(url),
                     "URLs of the form http://ip:port or https://ip:port");
  }
  if (settings.has_tls()) CheckTls(settings.tls(), "tls", findings);
}

template <typename Message>
common::Result<Message, std::vector<Problem>> ReadAndCheck(
    const std::string& file_name, std::string_view text, void (*check)(const Message&, Findings&)) {
  using Outcome = common::Result<Message, std::vector<Problem>>;
  Message message;
  std::vector<Problem> problems = ReadTomlInto(file_name, text, message);
  Findings findings;
  check(message, findings);
  impl::AppendLocated(findings, file_name, text, message, problems);
  if (!problems.empty()) return Outcome::Failure(std::move(problems));
  return Outcome::Success(std::move(message));
}

}  // namespace

common::Result<schema::ControlSettings, std::vector<Problem>> ReadControlSettings(
    const std::string& file_name, std::string_view text) {
  return ReadAndCheck<schema::ControlSettings>(file_name, text, &CheckControlSettings);
}

common::Result<schema::EntrySettings, std::vector<Problem>> ReadEntrySettings(
    const std::string& file_name, std::string_view text) {
  return ReadAndCheck<schema::EntrySettings>(file_name, text, &CheckEntrySettings);
}

common::Result<schema::AgentSettings, std::vector<Problem>> ReadAgentSettings(
    const std::string& file_name, std::string_view text) {
  return ReadAndCheck<schema::AgentSettings>(file_name, text, &CheckAgentSettings);
}

common::Result<schema::ClientSettings, std::vector<Problem>> ReadClientSettings(
    const std::string& file_name, std::string_view text) {
  return ReadAndCheck<schema::ClientSettings>(file_name, text, &CheckClientSettings);
}

}  // namespace briarwood::settings
