#include "briarwood/common/utf8.h"

#include <gtest/gtest.h>

#include <string>

namespace briarwood::common {
namespace {

// Guards against text that protobuf serializes but does not parse.
TEST(Utf8Test, RejectsBytesThatAreNoUtf8) {
  EXPECT_TRUE(IsUtf8(""));
  EXPECT_TRUE(IsUtf8("plain \xc3\xa9 \xe2\x82\xac \xf0\x9f\x98\x80"));
  for (const std::string text : {"\xed\xb0\x80", "\xff", "a\xc3", "\xc0\x80", "\xf4\x90\x80\x80"}) {
    EXPECT_FALSE(IsUtf8(text)) << text;
  }
}

// Guards against half a character in an escape, which a JSON parser turns into bytes that are no
// UTF-8, and against rejecting pairs or an escaped backslash.
TEST(Utf8Test, FindsSurrogatesWithoutTheirOtherHalf) {
  for (const std::string text :
       {R"("\udc00")", R"("\ud800")", R"("\ud800x")", R"("\ud800\u0041")", R"("\ud83d\ud83d")",
        R"({"\uDFFF":1})", R"("\\\udc00")", R"("\ud83d\ude00\ude00")"}) {
    EXPECT_FALSE(HasOnlyPairedSurrogates(text)) << text;
  }
  for (const std::string text : {R"("\ud83d\ude00")", R"("\\ud800")", R"("\\\\udc00")",
                                 R"("\u0041")", R"("\uD83D\uDE00x")", R"("\)", R"("\ud)", "{}"}) {
    EXPECT_TRUE(HasOnlyPairedSurrogates(text)) << text;
  }
}

}  // namespace
}  // namespace briarwood::common
