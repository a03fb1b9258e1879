#include "briarwood/forwarding/event_splitter.h"

#include <gtest/gtest.h>

namespace briarwood::forwarding {
namespace {

// Guards against event boundaries that depend on how the bytes are divided into reads.
TEST(EventSplitterTest, FindsTheSameEventsForAnyReadSize) {
  const std::string stream =
      "id: 1\ndata: a\n\nid:2\r\ndata: b\r\n\r\n: comment\n\nname: 7\nid: 3\ndata: x\ndata: y\n\n";
  for (std::size_t size = 1; size <= stream.size(); ++size) {
    EventSplitter splitter;
    std::vector<StreamEvent> events;
    for (std::size_t at = 0; at < stream.size(); at += size) {
      for (StreamEvent& event : splitter.Feed(stream.substr(at, size))) {
        events.push_back(std::move(event));
      }
    }
    ASSERT_EQ(events.size(), 4U) << size;
    std::string joined;
    for (const StreamEvent& event : events) joined += event.text;
    EXPECT_EQ(joined, stream);
    EXPECT_EQ(events[0].id, 1U);
    EXPECT_EQ(events[1].id, 2U);
    EXPECT_FALSE(events[2].id.has_value());
    EXPECT_EQ(events[3].id, 3U);
    EXPECT_TRUE(splitter.incomplete_event().empty());
  }
}

// Guards against an incomplete event that is returned as a complete one.
TEST(EventSplitterTest, KeepsAnIncompleteEvent) {
  EventSplitter splitter;
  EXPECT_EQ(splitter.Feed("id: 1\ndata: a\n\nid: 2\nda").size(), 1U);
  EXPECT_EQ(splitter.incomplete_event(), "id: 2\nda");
}

}  // namespace
}  // namespace briarwood::forwarding
