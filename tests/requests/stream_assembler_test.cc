#include "briarwood/requests/stream_assembler.h"

#include <gtest/gtest.h>

namespace briarwood::requests {
namespace {

schema::RunEvent Event(std::uint32_t attempt, const std::string& request = "r1") {
  schema::RunEvent event;
  event.set_request_id(request);
  event.set_entry_incarnation(7);
  event.set_attempt(attempt);
  return event;
}

schema::RunEvent Token(std::uint32_t attempt, std::uint64_t index, const std::string& text) {
  schema::RunEvent event = Event(attempt);
  event.mutable_token()->set_index(index);
  event.mutable_token()->set_text(text);
  return event;
}

schema::RunEvent End(std::uint32_t attempt, std::uint64_t tokens) {
  schema::RunEvent event = Event(attempt);
  event.mutable_end()->set_output_tokens(tokens);
  return event;
}

StreamAssembler Started() {
  StreamAssembler assembler(common::RequestId("r1"), common::Incarnation(7));
  assembler.BeginAttempt(1);
  return assembler;
}

// Guards against late or duplicate events, or events of other requests, that change the answer
// (I8).
TEST(StreamAssemblerTest, I8AssemblesTheAnswerFromMatchingEventsOnly) {
  StreamAssembler assembler = Started();
  static_cast<void>(assembler.Apply(Token(1, 0, "a")));
  schema::RunEvent foreign = Token(1, 1, "X");
  foreign.set_request_id("r2");
  EXPECT_TRUE(std::holds_alternative<StreamIgnored>(assembler.Apply(foreign)));
  schema::RunEvent previous = Token(1, 1, "X");
  previous.set_entry_incarnation(6);
  EXPECT_TRUE(std::holds_alternative<StreamIgnored>(assembler.Apply(previous)));
  assembler.BeginAttempt(2);
  EXPECT_TRUE(std::holds_alternative<StreamIgnored>(assembler.Apply(Token(1, 1, "late"))));
  EXPECT_TRUE(std::holds_alternative<StreamIgnored>(assembler.Apply(Token(2, 0, "again"))));
  static_cast<void>(assembler.Apply(Token(2, 1, "b")));
  EXPECT_TRUE(std::holds_alternative<StreamEnded>(assembler.Apply(End(2, 2))));
  EXPECT_EQ(assembler.text(), "ab");
  EXPECT_TRUE(assembler.complete());
}

// Guards against an answer with missing tokens, in the middle or at its end, that is treated as
// complete (I8).
TEST(StreamAssemblerTest, I8MissingTokensFailTheAttempt) {
  StreamAssembler gap = Started();
  EXPECT_TRUE(std::holds_alternative<StreamFailed>(gap.Apply(Token(1, 1, "b"))));
  EXPECT_TRUE(std::holds_alternative<StreamIgnored>(gap.Apply(Token(1, 0, "a"))));
  StreamAssembler short_end = Started();
  static_cast<void>(short_end.Apply(Token(1, 0, "a")));
  EXPECT_TRUE(std::holds_alternative<StreamFailed>(short_end.Apply(End(1, 2))));
  StreamAssembler closed = Started();
  EXPECT_TRUE(closed.CloseAttempt().has_value());
  EXPECT_FALSE(closed.complete());
}

}  // namespace
}  // namespace briarwood::requests
