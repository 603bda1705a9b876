#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "node/answer_codec.h"
#include "node/record_codec.h"
#include "node/target_announcement.h"
#include "node/target_request.h"
#include "node/ticket_codec.h"

namespace fireflyrun::node {
namespace {

RC_GTEST_PROP(AnswerCodecTest, RoundTrips, (std::string body, std::uint32_t status)) {
  peer::Answer answer;
  answer.head.set_status(status);
  answer.body = body;
  const auto decoded = DecodeAnswer(EncodeAnswer(answer));
  RC_ASSERT(decoded.has_value());
  RC_ASSERT(decoded->body == body);
  RC_ASSERT(decoded->head.status() == status);
}

RC_GTEST_PROP(AnswerCodecTest, NeverReadsPastTheEnd, (std::string bytes)) { DecodeAnswer(bytes); }

RC_GTEST_PROP(RecordCodecTest, MalformedBytesNeverCrash, (std::string bytes)) {
  DecodeChangeSet(bytes);
  DecodeTransfer(bytes);
}

TEST(RecordCodecTest, ChangeSetRoundTrips) {
  records::ChangeSet change_set{3, 5, {}};
  change_set.entries.push_back(
      {{records::RecordKind::kService, "calendar", 2}, "{}", 5, true, "write-1"});
  const auto decoded = DecodeChangeSet(EncodeChangeSet(change_set));
  ASSERT_TRUE(decoded);
  EXPECT_EQ(decoded->previous_revision, 3);
  EXPECT_EQ(decoded->revision, 5);
  EXPECT_EQ(decoded->entries, change_set.entries);
}

/// Guards against a revision that loses its rest between nodes.
TEST(RecordCodecTest, TransferRoundTripsWithTheRestOfItsRevisions) {
  const records::Transfer sent{{7, ".1"}, {8, ".25"}, {}};
  const auto received = DecodeTransfer(EncodeTransfer(sent));
  ASSERT_TRUE(received);
  EXPECT_EQ(received->from_revision, sent.from_revision);
  EXPECT_EQ(received->to_revision, sent.to_revision);
}

TEST(TicketCodecTest, RoundTripsAndRejectsIncompleteTicket) {
  const auto ticket = policy::Ticket::Issue("n1", 7, 3);
  EXPECT_EQ(FromMessage(ToMessage(ticket)), ticket);
  EXPECT_FALSE(FromMessage(peer::pb::Ticket()));
}

TEST(TargetAnnouncementTest, ReportsEveryInvalidField) {
  const auto parsed =
      ParseAnnouncement("", R"({"service":"Bad Name","address":"host:1","slots":0,"state":"odd"})");
  ASSERT_FALSE(parsed);
  EXPECT_EQ(parsed.error().size(), 4U);
  EXPECT_FALSE(ParseAnnouncement("", "not json"));
}

TEST(TargetAnnouncementTest, ServiceIsTranslatedToItsRecordsName) {
  const auto parsed =
      ParseAnnouncement("", R"({"service":"Desk_1","address":"127.0.0.1:8080","slots":90})",
                        [](const std::string& service) { return "of-" + service.substr(5); });
  ASSERT_TRUE(parsed);
  EXPECT_EQ(parsed->target.service, "of-1");
}

TEST(TargetAnnouncementTest, ParsesCompleteAnnouncement) {
  const auto parsed = ParseAnnouncement(
      "", R"({"service":"calendar","address":"127.0.0.1:8080","slots":90,"state":"leaving"})");
  ASSERT_TRUE(parsed);
  EXPECT_EQ(parsed->target.slots, 90U);
  EXPECT_EQ(parsed->state, membership::TargetState::kLeaving);
}

TEST(TargetRequestTest, ConnectionAndNodeHeadersAreNotForwarded) {
  EXPECT_TRUE(IsConnectionOrNodeHeader("Connection"));
  EXPECT_TRUE(IsConnectionOrNodeHeader("firefly-OUTCOME"));
  EXPECT_FALSE(IsConnectionOrNodeHeader("Idempotency-Key"));
  EXPECT_FALSE(IsConnectionOrNodeHeader("Content-Type"));
}

}  // namespace
}  // namespace fireflyrun::node
