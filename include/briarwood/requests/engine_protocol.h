#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "briarwood/requests/line_splitter.h"
#include "fleet.pb.h"

namespace briarwood::requests {

/// Body of POST /v1/completions for an engine: the caller's fields and `request_id`, `priority`
/// (the tier, 0 first), `resume_from`, `stream`, and `resume_text` when tokens were delivered.
/// \param engine_request_id  identifies the attempt at the engine
[[nodiscard]] std::string MakeEngineBody(const schema::RunRequest& request,
                                         const std::string& engine_request_id);

/// Body of POST /cancel for an engine.
[[nodiscard]] std::string MakeEngineCancelBody(const std::string& engine_request_id);

/// Body of POST /orders for an engine.
[[nodiscard]] std::string MakeEngineOrderBody(const schema::Order& order);

/// Response to GET /load. A field that the engine omits is 0.
struct EngineLoad {
  std::uint32_t running = 0;
  std::uint32_t capacity = 0;
  /// Changes with each start of the engine; 0 if the engine does not report it.
  std::uint64_t incarnation = 0;
};

/// \returns the load, or nothing if `body` is not a JSON object.
[[nodiscard]] std::optional<EngineLoad> ParseEngineLoad(std::string_view body);

/// Text of one event of an engine's stream.
struct EngineToken {
  std::uint64_t index = 0;
  std::string text;
};
/// The engine has finished: the stream's `[DONE]` event.
struct EngineDone {
  std::uint64_t input_tokens = 0;
  /// Tokens of the whole answer, including those before `resume_from`.
  std::uint64_t output_tokens = 0;
  std::string finish_reason;
};
/// The engine reported an error inside the stream.
struct EngineError {
  std::string message;
};

using EngineEvent = std::variant<EngineToken, EngineDone, EngineError>;

/// Reads the server-sent events of an engine's completion stream.
///
/// Each event holds one token in `choices[0].text`. Its position is `token_index`, or is counted
/// from `resume_from` if the engine does not number its tokens. `finish_reason` and `usage` may
/// arrive with the last token or in a separate event before `[DONE]`.
class EngineStream {
 public:
  explicit EngineStream(std::uint64_t resume_from) : next_index_(resume_from) {}

  /// \returns the events that `data` completes.
  [[nodiscard]] std::vector<EngineEvent> Feed(std::string_view data);

  [[nodiscard]] bool done() const noexcept { return done_; }

 private:
  void ReadData(std::string_view data, std::vector<EngineEvent>& events);

  LineSplitter lines_;
  std::uint64_t next_index_;
  EngineDone end_;
  bool done_ = false;
};

}  // namespace briarwood::requests
