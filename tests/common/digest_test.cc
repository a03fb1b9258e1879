#include "briarwood/common/digest.h"

#include <gtest/gtest.h>

namespace briarwood::common {
namespace {

// Guards against a change of the digest, which would invalidate all stored key hashes.
TEST(DigestTest, Sha256MatchesPublishedVector) {
  EXPECT_EQ(ToHex(Sha256("abc")),
            "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
}

// Guards against credentials of different lengths comparing equal.
TEST(DigestTest, ConstantTimeComparisonChecksLength) {
  EXPECT_TRUE(EqualConstantTime("secret", "secret"));
  EXPECT_FALSE(EqualConstantTime("secret", "secre"));
  EXPECT_FALSE(EqualConstantTime("secret", "secreT"));
}

}  // namespace
}  // namespace briarwood::common
