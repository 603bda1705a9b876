#include "cli/request_timeline.h"

#include <gtest/gtest.h>

#include "cli/log_record.h"

namespace fireflyrun::cli {
namespace {

std::string Line(const std::string& second, const std::string& node, const std::string& rest) {
  return "ts=2026-01-01T00:00:" + second + ".000000Z level=info node=" + node + " " + rest;
}

std::vector<std::string> Events(const RequestTimeline& timeline) {
  std::vector<std::string> events;
  for (const LogRecord* record : timeline.CausalOrder()) {
    events.push_back(std::string(record->Get("node")) + ":" + std::string(record->Get("event")));
  }
  return events;
}

TEST(LogRecordTest, ParsesQuotedValuesAndIgnoresPrefix) {
  const auto record = ParseLogRecord(R"(  1.5 host ts=T level=info k="a \"b\" =\u000a" e="" n=2)");
  ASSERT_TRUE(record);
  EXPECT_EQ(record->Get("k"), "a \"b\" =\n");
  EXPECT_EQ(record->Get("e"), "");
  EXPECT_EQ(record->Get("n"), "2");
  EXPECT_FALSE(ParseLogRecord("nothts=1 of a node"));
}

TEST(RequestTimelineTest, CausalOrderOverridesClockSkew) {
  RequestTimeline timeline("r1");
  // The target's clock is about a minute behind, and its log is added first.
  timeline.Add(Line("01", "target", "part=target event=offered request=r1"));
  timeline.Add(Line("02", "target", "part=target event=refused request=r1 cause=overload"));
  timeline.Add(Line("03", "target", "part=target event=offered request=r1"));
  timeline.Add(Line("04", "target", "part=target event=answered request=r1"));
  timeline.Add(Line("50", "entry", "part=caller event=sent request=r1 target=target attempt=1"));
  timeline.Add(Line("51", "entry", "part=caller event=attempt-ended request=r1 target=target"));
  timeline.Add(Line("52", "entry", "part=caller event=sent request=r1 target=target attempt=2"));
  timeline.Add(Line("53", "entry", "part=caller event=attempt-ended request=r1 target=target"));
  timeline.Add(Line("54", "entry", "part=caller event=answered request=r1 status=200"));
  const std::vector<std::string> expected = {
      "entry:sent",          "target:offered",      "target:refused",
      "entry:attempt-ended", "entry:sent",          "target:offered",
      "target:answered",     "entry:attempt-ended", "entry:answered"};
  EXPECT_EQ(Events(timeline), expected);
  EXPECT_TRUE(timeline.FindCauses().empty());
}

TEST(RequestTimelineTest, CauseChainEndsAtFailedChildCall) {
  RequestTimeline timeline("r1");
  timeline.Add(
      Line("09", "a", "part=caller event=failed request=r1 cause=target-status status=500"));
  timeline.Add(
      Line("05", "b", "part=caller event=refused request=r1.c1 cause=overload status=503"));
  timeline.Add(Line("03", "b", "part=caller event=answered request=r1.c2 status=200"));
  timeline.Add(Line("06", "b", "part=caller event=cancelled request=r1.c3 cause=caller-gone"));
  timeline.Add(Line("05", "b", "part=caller event=refused request=r10 cause=leaving"));
  const auto causes = timeline.FindCauses();
  ASSERT_EQ(causes.size(), 2U);
  EXPECT_EQ(causes[0]->Get("cause"), "target-status");
  EXPECT_EQ(causes[1]->Get("cause"), "overload");
  EXPECT_EQ(Events(timeline).size(), 4U);
}

TEST(RequestTimelineTest, CallerCancellationPrecedesTargetCancellation) {
  RequestTimeline timeline("r1");
  timeline.Add(Line("01", "target", "part=target event=cancelled request=r1 cause=caller-gone"));
  timeline.Add(Line("09", "entry", "part=caller event=cancelled request=r1 cause=caller-gone"));
  const std::vector<std::string> expected = {"entry:cancelled", "target:cancelled"};
  EXPECT_EQ(Events(timeline), expected);
}

TEST(RequestTimelineTest, ContradictoryLogsKeepAllLines) {
  RequestTimeline timeline("r1");
  timeline.Add(Line("01", "a", "part=target event=answered request=r1"));
  timeline.Add(Line("02", "a", "part=caller event=sent request=r1 target=a"));
  EXPECT_EQ(Events(timeline).size(), 2U);
}

}  // namespace
}  // namespace fireflyrun::cli
