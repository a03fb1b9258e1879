#include "briarwood/routing/stream_versions.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace briarwood::routing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using ::testing::ElementsAre;
using ::testing::IsEmpty;

constexpr common::Time kStart{std::chrono::hours(1)};
const common::Digest128 kKey{.high = 1, .low = 2};
const common::Digest128 kOther{.high = 3, .low = 4};
const StreamOrigin kOrigin{.service = "llm", .software_version = "v1"};

// Guards against a caller that reaches the streams of another customer by their ids.
TEST(StreamVersionsTest, KeysDependOnTheCustomer) {
  const common::CustomerId east("east");
  EXPECT_EQ(StreamVersions::KeyOf(east, "r1"), StreamVersions::KeyOf(east, "r1"));
  EXPECT_NE(StreamVersions::KeyOf(east, "r1"), StreamVersions::KeyOf(east, "r2"));
  EXPECT_NE(StreamVersions::KeyOf(east, "r1"),
            StreamVersions::KeyOf(common::CustomerId("west"), "r1"));
  EXPECT_NE(StreamVersions::KeyOf(common::CustomerId("ab"), "c"),
            StreamVersions::KeyOf(common::CustomerId("a"), "bc"));
}

// Guards against a repeated id that replaces the record of a stream, and against records that stay.
TEST(StreamVersionsTest, KeepsTheFirstRecordUntilItExpires) {
  StreamVersions versions;
  versions.OnBegan(kKey, kOrigin, seconds(5), kStart);
  versions.OnBegan(kKey, {.service = "llm", .software_version = "v2"}, seconds(50), kStart);
  ASSERT_NE(versions.Find(kKey, kStart + seconds(4)), nullptr);
  EXPECT_EQ(versions.Find(kKey, kStart + seconds(4))->software_version, "v1");
  EXPECT_EQ(versions.Find(kKey, kStart + seconds(5)), nullptr);
  versions.Expire(kStart + seconds(6));
  versions.OnBegan(kKey, {.service = "llm", .software_version = "v2"}, seconds(5),
                   kStart + seconds(6));
  EXPECT_EQ(versions.Find(kKey, kStart + seconds(7))->software_version, "v2");
}

// Guards against starts that are lost with a batch that did not reach the control members.
TEST(StreamVersionsTest, SendsTheStartsOfAFailedBatchAgain) {
  StreamVersions versions;
  EXPECT_FALSE(versions.TakeBatch());
  versions.OnBegan(kKey, kOrigin, seconds(5), kStart);
  const auto batch = versions.TakeBatch();
  ASSERT_TRUE(batch);
  EXPECT_FALSE(versions.TakeBatch());
  versions.OnBatchFailed(*batch);
  versions.OnBegan(kOther, kOrigin, seconds(5), kStart);
  const auto again = versions.TakeBatch();
  ASSERT_TRUE(again);
  ASSERT_EQ(again->starts_size(), 1);
  EXPECT_EQ(again->starts(0).service(), "llm");
  EXPECT_EQ(again->starts(0).software_version(), "v1");
  EXPECT_THAT(again->starts(0).keys(), ElementsAre(1, 2, 3, 4));
  EXPECT_THAT(again->starts(0).lifetimes_ms(), ElementsAre(5000, 5000));
}

// Guards against an answer that reaches another request than the one that asked, and against
// questions that are lost with a failed batch.
TEST(StreamVersionsTest, AnswersTheOpenQuestionsOfABatch) {
  StreamVersions versions;
  versions.Ask(7, kKey, "llm");
  versions.Ask(8, kOther, "llm");
  versions.OnBatchFailed(*versions.TakeBatch());
  ASSERT_EQ(versions.TakeBatch()->lookups_size(), 2);
  versions.Withdraw(7);
  schema::CommandResult result;
  result.add_streams()->set_known(true);
  schema::StreamLookupResult& second = *result.add_streams();
  second.add_recorded_versions("v1");
  second.add_recorded_versions("v2");
  const auto answers = versions.OnBatchApplied(result);
  ASSERT_EQ(answers.size(), 1U);
  EXPECT_EQ(answers[0].ticket, 8U);
  EXPECT_FALSE(answers[0].origin);
  EXPECT_THAT(answers[0].recorded_versions, ElementsAre("v1", "v2"));
  EXPECT_THAT(versions.OnBatchApplied(result), IsEmpty());
  EXPECT_FALSE(versions.TakeBatch());
}

}  // namespace
}  // namespace briarwood::routing
