#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

#include "briarwood/agent/agent_node.h"
#include "briarwood/entry/entry_node.h"
#include "support/raw_call.h"
#include "support/scripted_backend.h"
#include "support/test_control.h"

namespace briarwood::testing_support {

inline constexpr const char* kKey = "sk-hauliers-0123456789";
inline constexpr const char* kOtherKey = "sk-planners-9876543210";

/// Polls `done` until it returns true. \returns false after a timeout of 20 s.
[[nodiscard]] inline bool Eventually(const std::function<bool()>& done) {
  const auto end = common::BootClock::now() + std::chrono::seconds(20);
  while (!done()) {
    if (common::BootClock::now() > end) return false;
    std::this_thread::sleep_for(std::chrono::milliseconds(2));
  }
  return true;
}

/// Control member, entries, agents and backend servers in one process, connected over loopback.
class TestFleet {
 public:
  TestControl& control() { return control_; }

  /// Starts an entry. At least one must be started before agents are added.
  entry::EntryNode& AddEntry() {
    entry::EntryOptions options{.credential = kFleetCredential,
                                .incarnation = common::Incarnation(11 + entries_.size()),
                                .seed = 5 + entries_.size()};
    options.settings.set_listen("127.0.0.1:0");
    options.settings.mutable_node()->set_id("entry-" + std::to_string(entries_.size() + 1));
    options.settings.mutable_node()->set_rpc_listen("127.0.0.1:0");
    options.settings.add_control_rpc(control_.address());
    auto started = entry::EntryNode::Start(std::move(options));
    if (!started.ok()) throw std::runtime_error(started.error());
    entries_.push_back(std::move(started).value());
    return *entries_.back();
  }

  /// Starts an agent for a backend server that listens at `url`.
  agent::AgentNode& AddAgent(const std::string& id, const std::string& url,
                             const std::string& backend_fields) {
    agent::AgentOptions options{.credential = kFleetCredential,
                                .incarnation = common::Incarnation(100 + agents_.size())};
    options.settings.set_listen("127.0.0.1:0");
    options.settings.set_backend_server(id);
    options.settings.mutable_node()->set_id("agent-" + id);
    options.settings.mutable_node()->set_rpc_listen("127.0.0.1:0");
    options.settings.add_entry_rpc("127.0.0.1:" + std::to_string(entries_[0]->rpc_port()));
    options.settings.add_control_rpc(control_.address());
    auto started = agent::AgentNode::Start(std::move(options));
    if (!started.ok()) throw std::runtime_error(started.error());
    agents_.push_back(std::move(started).value());
    backends_ += "backend_servers { id: \"" + id + "\" failure_domain: \"toton\" url: \"" + url +
                 "\" agent_address: \"127.0.0.1:" + std::to_string(agents_.back()->port()) +
                 "\" agent_rpc_address: \"127.0.0.1:" + std::to_string(agents_.back()->rpc_port()) +
                 "\" " + backend_fields + " }\n";
    return *agents_.back();
  }

  agent::AgentNode& AddEngine(const std::string& id, const ScriptedBackend& engine,
                              const std::string& capacity = "max_concurrency: 8") {
    return AddAgent(id, engine.url(), "kind: BACKEND_KIND_ENGINE model: \"planner\" " + capacity);
  }

  /// Adds an engine at any address.
  agent::AgentNode& AddEngineAt(const std::string& id, const std::string& url) {
    return AddAgent(id, url, "kind: BACKEND_KIND_ENGINE model: \"planner\" max_concurrency: 8");
  }

  agent::AgentNode& AddService(const std::string& id, const std::string& url) {
    return AddAgent(id, url, "kind: BACKEND_KIND_SERVICE service: \"bookings\" max_concurrency: 8");
  }

  /// Configures an engine whose agent address does not belong to an agent.
  void AddEngineWithForeignAgentAddress(const std::string& id, const std::string& address) {
    AddForeignAgent(id, address, "kind: BACKEND_KIND_ENGINE model: \"planner\"");
  }

  /// Configures a service whose agent address does not belong to an agent.
  void AddServiceWithForeignAgentAddress(const std::string& id, const std::string& address) {
    AddForeignAgent(id, address, "kind: BACKEND_KIND_SERVICE service: \"bookings\"");
  }

  /// Applies the configuration with all agents and waits until it is in force.
  void Configure() {
    const schema::CommandResult result = control_.Apply(
        control::testing_support::Apply("main", ++version_,
                                        R"(customers { id: "hauliers" default_class: "question" }
           customers { id: "planners" default_class: "question" }
           classes { id: "question" tier: 0 first_token_target_ms: 15000 deadline_ms: 20000 }
           classes { id: "draft" tier: 1 first_token_target_ms: 15000 deadline_ms: 20000 }
           classes { id: "quick" tier: 1 first_token_target_ms: 1000 deadline_ms: 1500 }
           models { id: "planner" }
           routes { path: "/bookings" service: "bookings" class: "question" methods: "POST" }
           routes { path: "/occupancy" service: "bookings" class: "question" repeatable: true })" +
                                            backends_));
    if (result.code() != schema::RESULT_CODE_OK) throw std::runtime_error(result.message());
    // Keys can only be granted to existing customers.
    const std::uint64_t index = std::max(Grant(kKey, "hauliers"), Grant(kOtherKey, "planners"));
    const bool in_force = Eventually([&] {
      bool ready = true;
      for (const auto& entry : entries_) {
        ready = ready && entry->Ready() && entry->replica().index().value() >= index;
      }
      for (const auto& agent : agents_) ready = ready && agent->Ready();
      return ready;
    });
    if (!in_force) throw std::runtime_error("the configuration is not in force");
  }

  /// \returns the index of the table after the grant.
  std::uint64_t Grant(const std::string& key, const std::string& customer) {
    const auto result =
        control_.Apply(control::testing_support::Grant("grant-" + customer, customer, key));
    if (result.code() != schema::RESULT_CODE_OK) throw std::runtime_error(result.message());
    return result.index();
  }

  void Withdraw(const std::string& key) {
    control_.Apply(control::testing_support::Withdraw("withdraw-" + key, key));
  }

 private:
  void AddForeignAgent(const std::string& id, const std::string& address,
                       const std::string& fields) {
    backends_ += "backend_servers { id: \"" + id + "\" failure_domain: \"toton\" url: \"http://" +
                 address + "\" agent_address: \"" + address + "\" " + fields +
                 " max_concurrency: 8 }\n";
  }

  TestControl control_;
  std::vector<std::unique_ptr<entry::EntryNode>> entries_;
  std::vector<std::unique_ptr<agent::AgentNode>> agents_;
  std::string backends_;
  std::uint64_t version_ = 0;
};

/// \returns a POST request as a caller sends it.
[[nodiscard]] inline std::string MakePost(const std::string& path, const std::string& body,
                                          const std::string& key = kKey,
                                          const std::string& more_headers = "") {
  return "POST " + path + " HTTP/1.1\r\nHost: briarwood\r\nAuthorization: Bearer " + key +
         "\r\nContent-Type: application/json\r\n" + more_headers +
         "Connection: close\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

}  // namespace briarwood::testing_support
