#include "briarwood/common/message_text.h"

#include <gmock/gmock.h>

#include "control.pb.h"

namespace briarwood::common {
namespace {

using ::testing::ElementsAre;
using ::testing::IsEmpty;

constexpr const char* kNoText = "\xed\xb0\x80-night";

schema::Configuration MakeUnreadable() {
  schema::Configuration configuration;
  configuration.add_customers()->set_id("day");
  configuration.add_customers()->set_id(kNoText);
  configuration.add_forward_routes()->set_timeout_ms(5);
  return configuration;
}

// Guards against a message that is stored and cannot be parsed again; the field has to be named.
TEST(MessageTextTest, NamesTheFieldsThatCannotBeReadBack) {
  EXPECT_FALSE(IsReadable(MakeUnreadable()));
  EXPECT_THAT(InvalidTextFields(MakeUnreadable()), ElementsAre("customers[1].id"));
  schema::Configuration sound = MakeUnreadable();
  sound.mutable_customers(1)->set_id("night");
  EXPECT_TRUE(IsReadable(sound));
  EXPECT_THAT(InvalidTextFields(sound), IsEmpty());
}

// Guards against one text that makes a whole stored message unreadable.
TEST(MessageTextTest, KeepsTheRestOfAMessageWithTextThatIsNoUtf8) {
  schema::Configuration read;
  std::vector<std::string> repaired;
  ASSERT_TRUE(ParseRepairing(MakeUnreadable().SerializeAsString(), read, repaired));
  EXPECT_THAT(repaired, ElementsAre("customers[1].id"));
  EXPECT_EQ(read.customers(0).id(), "day");
  EXPECT_EQ(read.customers(1).id(), "\\xed\\xb0\\x80-night");
  EXPECT_EQ(read.forward_routes(0).timeout_ms(), 5U);
  EXPECT_TRUE(IsReadable(read));
}

// Guards against a repair that accepts damaged bytes.
TEST(MessageTextTest, RefusesBytesThatAreNoMessage) {
  schema::Configuration read;
  std::vector<std::string> repaired;
  std::string bytes = MakeUnreadable().SerializeAsString();
  bytes.resize(bytes.size() - 1);
  EXPECT_FALSE(ParseRepairing(bytes, read, repaired));
}

}  // namespace
}  // namespace briarwood::common
