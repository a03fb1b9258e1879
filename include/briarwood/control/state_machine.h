#pragma once

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "briarwood/common/ids.h"
#include "briarwood/common/result.h"
#include "control.pb.h"

namespace briarwood::control {

/// Deterministic replicated state: the same commands at the same indexes give the same state and
/// results.
class StateMachine {
 public:
  StateMachine() = default;
  StateMachine(const StateMachine&) = delete;
  StateMachine& operator=(const StateMachine&) = delete;
  virtual ~StateMachine() = default;

  virtual schema::CommandResult Apply(common::LogIndex index, const schema::Command& command) = 0;
  /// Advances past a log entry without a command.
  virtual void Advance(common::LogIndex index) = 0;
  [[nodiscard]] virtual std::string Serialize() const = 0;
  /// Replaces the state.
  /// \returns an error message when the bytes are not a serialised state; nothing on success.
  [[nodiscard]] virtual std::optional<std::string> Restore(std::string_view bytes) = 0;
  /// \returns an error message if Restore would fail.
  [[nodiscard]] virtual std::optional<std::string> CheckSnapshot(std::string_view bytes) const = 0;
};

/// Adapts a movable state with Apply, Advance and Serialize.
template <typename State>
class StateMachineOf : public StateMachine {
 public:
  /// Deserialises a state.
  using RestoreFunction = std::function<common::Result<State>(std::string_view bytes)>;

  StateMachineOf(State state, RestoreFunction restore)
      : state_(std::move(state)), restore_(std::move(restore)) {}

  schema::CommandResult Apply(common::LogIndex index, const schema::Command& command) override {
    return state_.Apply(index, command);
  }
  void Advance(common::LogIndex index) override { state_.Advance(index); }
  [[nodiscard]] std::string Serialize() const override { return state_.Serialize(); }
  [[nodiscard]] std::optional<std::string> Restore(std::string_view bytes) override {
    common::Result<State> restored = restore_(bytes);
    if (!restored.ok()) return restored.error();
    state_ = std::move(restored).value();
    return std::nullopt;
  }

  [[nodiscard]] std::optional<std::string> CheckSnapshot(std::string_view bytes) const override {
    const common::Result<State> restored = restore_(bytes);
    return restored.ok() ? std::nullopt : std::optional(restored.error());
  }

  [[nodiscard]] const State& state() const noexcept { return state_; }

 private:
  State state_;
  RestoreFunction restore_;
};

}  // namespace briarwood::control
