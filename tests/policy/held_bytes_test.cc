#include "policy/held_bytes.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <random>
#include <utility>
#include <vector>

namespace fireflyrun::policy {
namespace {

constexpr std::size_t kMegabyte = std::size_t{1} << 20;

TEST(HeldBytesTest, SharesAreCountedUntilTheyEnd) {
  const auto counted = std::make_shared<HeldBytes>(4 * kMegabyte);
  {
    HeldBytesShare first(counted, MessageKind::kAnswer);
    first.Set(3 * kMegabyte);
    HeldBytesShare second(counted, MessageKind::kAnswer);
    second.Set(kMegabyte);
    EXPECT_EQ(counted->Held(MessageKind::kAnswer), 4 * kMegabyte);
    EXPECT_FALSE(counted->Exceeded(MessageKind::kAnswer));
    second.Set(2 * kMegabyte);
    EXPECT_TRUE(counted->Exceeded(MessageKind::kAnswer));
    HeldBytesShare moved(std::move(second));
    EXPECT_EQ(counted->Held(MessageKind::kAnswer), 5 * kMegabyte);
    first = HeldBytesShare();
    EXPECT_EQ(counted->Held(MessageKind::kAnswer), 2 * kMegabyte);
    EXPECT_EQ(counted->Held(MessageKind::kRequest), 0U);
  }
  EXPECT_EQ(counted->Held(MessageKind::kAnswer), 0U);
}

/// Guards against answers that leave no room for requests, or the other way round.
TEST(HeldBytesTest, RequestsAndAnswersHaveRoomOfTheirOwn) {
  const auto counted = std::make_shared<HeldBytes>(4 * kMegabyte);
  HeldBytesShare answer(counted, MessageKind::kAnswer);
  answer.Set(4 * kMegabyte);
  EXPECT_FALSE(counted->HasRoomFor(MessageKind::kAnswer, kMegabyte));
  HeldBytesShare request(counted, MessageKind::kRequest);
  EXPECT_TRUE(request.Grow(2 * kMegabyte));
  EXPECT_FALSE(request.Grow(2 * kMegabyte + 1));
  EXPECT_EQ(counted->Held(MessageKind::kRequest), 2 * kMegabyte) << "it may not grow, so it stays";
  answer.Set(kMegabyte);
  EXPECT_TRUE(counted->HasRoomFor(MessageKind::kAnswer, 3 * kMegabyte));
}

/// Guards against large messages that leave no room for small ones, and against small ones without
/// end, such as heads that are begun on thousands of connections.
TEST(HeldBytesTest, SmallMessagesHaveRoomBesideLargeOnesAndABoundOfTheirOwn) {
  const auto counted = std::make_shared<HeldBytes>(4 * kMegabyte);
  for (const MessageKind kind : {MessageKind::kRequest, MessageKind::kAnswer}) {
    const std::size_t limit = counted->Limit(kind);
    HeldBytesShare large(counted, kind);
    ASSERT_TRUE(large.Grow(limit));
    EXPECT_FALSE(counted->MustGiveWay(kind, limit));
    std::vector<HeldBytesShare> small(limit / HeldBytes::kSmallMessage);
    for (HeldBytesShare& share : small) {
      share = HeldBytesShare(counted, kind);
      EXPECT_TRUE(share.Grow(HeldBytes::kSmallMessage));
      EXPECT_FALSE(counted->HasRoomFor(kind, HeldBytes::kSmallMessage + 1));
    }
    EXPECT_TRUE(counted->MustGiveWay(kind, limit)) << "large ones give way first";
    EXPECT_FALSE(counted->MustGiveWay(kind, HeldBytes::kSmallMessage));
    EXPECT_FALSE(counted->HasRoomFor(kind, 1)) << "small ones have taken as much again";
    small[0].Set(HeldBytes::kSmallMessage + 1);
    EXPECT_TRUE(counted->MustGiveWay(kind, HeldBytes::kSmallMessage));
  }
}

/// A request of 1 KB to 8 MB, or an answer that grows, of which some never end.
struct Body {
  bool is_answer = false;
  std::size_t bytes = 0;       ///< At its end.
  std::size_t bytes_read = 0;  ///< So far.
  HeldBytesShare share;
};

/// What became of the bodies of one kind.
struct Outcomes {
  int ended = 0;
  int turned_away = 0;
};

/// A node under bodies that come faster than they go, with the steps of its holders: a request is
/// let in by its announced length, an answer grows and gives way when all is taken.
class BodyLoad {
 public:
  explicit BodyLoad(std::uint32_t seed) : random(seed) {}

  void Step() {
    for (int i = 0; i < kOffersOfAStep; ++i) this->Offer();
    for (auto body = this->bodies.begin(); body != this->bodies.end();) {
      body = this->Grow(*body) ? std::next(body) : this->bodies.erase(body);
    }
    for (const MessageKind kind : {MessageKind::kRequest, MessageKind::kAnswer}) {
      auto& most = kind == MessageKind::kRequest ? this->most_of_requests : this->most_of_answers;
      most = std::max(most, this->counted->Held(kind));
    }
  }

  /// All that is still there ends.
  void End() { this->bodies.clear(); }

  static constexpr std::size_t kLimit = 40 * kMegabyte;
  static constexpr int kOffersOfAStep = 4;
  /// Small bodies end in the step in which they come.
  static constexpr std::size_t kMostOfSmallOnes = kOffersOfAStep * HeldBytes::kSmallMessage;
  std::shared_ptr<HeldBytes> counted = std::make_shared<HeldBytes>(kLimit);
  std::vector<Body> bodies;
  Outcomes small;
  Outcomes large_requests;
  Outcomes large_answers;
  std::size_t most_of_requests = 0;
  std::size_t most_of_answers = 0;

 private:
  static constexpr std::size_t kPieceBytes = std::size_t{256} << 10;

  std::size_t Draw(std::size_t lowest, std::size_t highest) {
    return std::uniform_int_distribution<std::size_t>(lowest, highest)(this->random);
  }

  Outcomes& OutcomesOf(const Body& body) {
    if (body.bytes <= HeldBytes::kSmallMessage) return this->small;
    return body.is_answer ? this->large_answers : this->large_requests;
  }

  void Offer() {
    Body body;
    body.is_answer = this->Draw(0, 1) == 1;
    const bool is_small = this->Draw(0, 1) == 1;
    body.bytes = is_small ? this->Draw(1, HeldBytes::kSmallMessage)
                          : this->Draw(HeldBytes::kSmallMessage + 1, 8 * kMegabyte);
    const MessageKind kind = body.is_answer ? MessageKind::kAnswer : MessageKind::kRequest;
    body.share = HeldBytesShare(this->counted, kind);
    if (!body.is_answer && !body.share.Grow(body.bytes)) {
      ++this->OutcomesOf(body).turned_away;
      return;
    }
    this->bodies.push_back(std::move(body));
  }

  /// False when the body has ended, or was given up.
  bool Grow(Body& body) {
    body.bytes_read = std::min(body.bytes, body.bytes_read + kPieceBytes);
    if (body.is_answer && !body.share.Grow(body.bytes_read)) {
      ++this->OutcomesOf(body).turned_away;
      return false;
    }
    if (body.bytes_read < body.bytes) return true;
    ++this->OutcomesOf(body).ended;
    return false;
  }

  std::mt19937 random;
};

/// Small bodies are never turned away, large ones go on ending, and the limit holds but for what
/// small ones add.
TEST(HeldBytesTest, ManyLargeBodiesAtOnceStayWithinTheLimitAndGoOnEnding) {
  for (std::uint32_t seed = 1; seed <= 20; ++seed) {
    SCOPED_TRACE(seed);
    BodyLoad load(seed);
    for (int step = 0; step < 2'000; ++step) load.Step();
    EXPECT_EQ(load.small.turned_away, 0);
    EXPECT_GT(load.small.ended, 3'000);
    EXPECT_GT(load.large_requests.ended, 100);
    EXPECT_GT(load.large_answers.ended, 100);
    EXPECT_GT(load.large_requests.turned_away, 0);
    EXPECT_GT(load.large_answers.turned_away, 0);
    EXPECT_LE(load.most_of_requests, BodyLoad::kLimit / 2 + BodyLoad::kMostOfSmallOnes);
    EXPECT_LE(load.most_of_answers, BodyLoad::kLimit + BodyLoad::kMostOfSmallOnes);
    load.End();
    EXPECT_EQ(load.counted->Held(MessageKind::kRequest), 0U) << "all room is back at once";
    EXPECT_EQ(load.counted->Held(MessageKind::kAnswer), 0U);
  }
}

TEST(HeldBytesTest, SharesWithoutACountTakeAnything) {
  HeldBytesShare share;
  share.Set(kMegabyte);
  EXPECT_TRUE(share.Grow(1'000 * kMegabyte));
}

}  // namespace
}  // namespace fireflyrun::policy
