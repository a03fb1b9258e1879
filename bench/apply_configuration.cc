// Measures the duration of control state operations at full size: 1,300 customers with 4 keys each,
// 5,400 engines and 100,000 claims.
//
// Usage: apply_configuration [runs]

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <string>
#include <vector>

#include "briarwood/common/digest.h"
#include "briarwood/control/control_state.h"

namespace {

using briarwood::common::LogIndex;
using briarwood::control::ControlState;
namespace common = briarwood::common;
namespace schema = briarwood::schema;
using Clock = std::chrono::steady_clock;

constexpr int kCustomers = 1300;
constexpr int kKeysPerCustomer = 4;
constexpr int kEngines = 5400;
constexpr int kClaims = 100'000;
constexpr int kDefaultRuns = 11;

std::string Customers(int limit) {
  std::string text = "[[classes]]\nid = \"interactive\"\nfirst_token_target_ms = 450\n";
  for (int i = 0; i < kCustomers; ++i) {
    text.append("[[customers]]\nid = \"customer-").append(std::to_string(i));
    text.append("\"\ndefault_class = \"interactive\"\nrequests_per_minute = ");
    text.append(std::to_string(i == 0 ? limit : 600)).append("\n");
  }
  return text;
}

std::string Engines() {
  std::string text =
      "[[failure_domains]]\nid = \"a\"\nregion = \"r\"\n"
      "[[models]]\nid = \"m\"\nmax_context_tokens = 8192\n";
  for (int i = 0; i < kEngines; ++i) {
    const std::string octet = std::to_string(i / 250);
    const std::string host = std::to_string(i % 250);
    const auto add_address = [&](const char* key, const char* port) {
      text.append(key).append(" = \"10.").append(octet).append(".0.").append(host);
      text.append(port).append("\"\n");
    };
    text.append("[[backend_servers]]\nid = \"engine-").append(std::to_string(i));
    text.append("\"\nfailure_domain = \"a\"\nkind = \"engine\"\n");
    add_address("agent_address", ":7410");
    add_address("agent_rpc_address", ":7400");
    text.append("url = \"http://127.0.0.1:8000\"\nmodel = \"m\"\nmax_concurrency = 32\n");
  }
  return text;
}

/// Applies commands to a control state with consecutive log indexes; exits the program if one is
/// rejected.
class StateMachineDriver {
 public:
  void Apply(const schema::Command& command) {
    const schema::CommandResult result = state_.Apply(LogIndex(++index_), command);
    if (result.code() == schema::RESULT_CODE_OK) return;
    std::fprintf(stderr, "command rejected: %s\n", result.message().c_str());
    std::exit(1);
  }

  void ApplyDocument(const std::string& name, const std::string& content) {
    schema::Command command;
    command.mutable_apply_configuration()->set_document(name);
    command.mutable_apply_configuration()->set_version(state_.documents().CurrentVersion(name) + 1);
    command.mutable_apply_configuration()->set_content(content);
    Apply(command);
  }

  void GrantKey(const std::string& customer, const std::string& key) {
    schema::Command command;
    command.mutable_grant_key()->set_operation_id(key);
    command.mutable_grant_key()->set_customer(customer);
    command.mutable_grant_key()->set_key_sha256(common::Sha256(key));
    Apply(command);
  }

  void Claim(int number) {
    schema::Command command;
    schema::ClaimRequest& claim = *command.mutable_claim();
    claim.set_customer("customer-" + std::to_string(number % kCustomers));
    claim.set_idempotency_key("booking-" + std::to_string(number));
    claim.set_request_sha256(std::string(32, 'r'));
    claim.set_attempt_sequence(static_cast<std::uint64_t>(number));
    claim.set_now_unix_ms(1);
    Apply(command);
  }

  [[nodiscard]] const ControlState& state() const { return state_; }

 private:
  ControlState state_;
  std::uint64_t index_ = 0;
};

void Measure(const char* name, int runs, const std::function<void(int run)>& work) {
  std::vector<double> durations_ms;
  for (int run = 0; run < runs; ++run) {
    const auto start = Clock::now();
    work(run);
    durations_ms.push_back(std::chrono::duration<double, std::milli>(Clock::now() - start).count());
  }
  std::sort(durations_ms.begin(), durations_ms.end());
  std::printf("| %s | %.3f | %.3f |\n", name, durations_ms[durations_ms.size() / 2],
              durations_ms.back());
}

}  // namespace

int main(int argc, char** argv) {
  const int runs = argc > 1 ? std::atoi(argv[1]) : kDefaultRuns;
  if (runs < 1) {
    std::fprintf(stderr, "usage: apply_configuration [runs]\n");
    return 2;
  }
  StateMachineDriver driver;
  const std::string engines = Engines();
  driver.ApplyDocument("engines", engines);
  driver.ApplyDocument("customers", Customers(0));
  for (int i = 0; i < kCustomers * kKeysPerCustomer; ++i) {
    driver.GrantKey("customer-" + std::to_string(i % kCustomers), "key-" + std::to_string(i));
  }
  for (int i = 0; i < kClaims; ++i) driver.Claim(i);
  std::string snapshot = driver.state().Serialize();
  std::printf("rows %zu, snapshot %zu bytes, engines document %zu bytes\n\n",
              driver.state().table().size(), snapshot.size(), engines.size());
  std::printf("| work | median ms | maximum ms |\n|---|---|---|\n");
  Measure("apply customers, one changed", runs,
          [&](int run) { driver.ApplyDocument("customers", Customers(run + 1)); });
  Measure("apply engines, none changed", runs,
          [&](int) { driver.ApplyDocument("engines", engines); });
  Measure("grant a key", runs,
          [&](int run) { driver.GrantKey("customer-1", "new-" + std::to_string(run)); });
  Measure("claim", runs, [&](int run) { driver.Claim(kClaims + run); });
  Measure("serialise snapshot", runs, [&](int) { snapshot = driver.state().Serialize(); });
  Measure("restore snapshot", runs, [&](int) {
    if (!ControlState::Restore(snapshot).ok()) std::exit(1);
  });
  return 0;
}
