#pragma once

#include <memory>
#include <optional>
#include <string>
#include <type_traits>
#include <utility>

#include "briarwood/control/control_state.h"
#include "briarwood/control/replicated_node.h"
#include "briarwood/control/state_machine.h"

namespace briarwood::control {

/// ReplicatedNode whose state machine is a `State`.
template <typename State>
class BasicControlNode : public ReplicatedNode {
 public:
  using CreateResult = common::Result<std::unique_ptr<BasicControlNode>>;
  using RestoreFunction = typename StateMachineOf<State>::RestoreFunction;

  /// \param initial  state before the first command
  /// \param restore  creates a state from a snapshot
  /// \returns the node, or an error that describes why the data folder is not usable
  static CreateResult Create(NodeOptions options, rpc::Server& server, common::TimerService& timers,
                             State initial, RestoreFunction restore) {
    std::unique_ptr<BasicControlNode> node(new BasicControlNode());
    std::optional<std::string> problem =
        node->Open(std::move(options), server, timers,
                   std::make_unique<StateMachineOf<State>>(std::move(initial), std::move(restore)));
    if (problem) return CreateResult::Failure(std::move(*problem));
    return CreateResult::Success(std::move(node));
  }

  /// Calls `function` with the state; no command is applied during the call.
  /// \returns the result of the function.
  template <typename Function>
  // NOLINTNEXTLINE(modernize-use-nodiscard): the result may be void
  auto WithState(Function function) const {
    using Value = std::invoke_result_t<Function, const State&>;
    if constexpr (std::is_void_v<Value>) {
      ReadState([&](const StateMachine& machine) { function(StateOf(machine)); });
    } else {
      std::optional<Value> value;
      ReadState([&](const StateMachine& machine) { value.emplace(function(StateOf(machine))); });
      return std::move(*value);
    }
  }

 private:
  BasicControlNode() = default;

  [[nodiscard]] static const State& StateOf(const StateMachine& machine) {
    return static_cast<const StateMachineOf<State>&>(machine).state();
  }
};

using ControlNode = BasicControlNode<ControlState>;

}  // namespace briarwood::control
