#include "platform/configuration_source.h"

#include "records/record_book.h"
#include "tests/platform/platform_fixture.h"

namespace fireflyrun::platform {
namespace {

constexpr const char* kConfigurationKey = "op/config";

/// The text of a version with `services` and no routes.
std::string Version(int version, const std::vector<std::string>& services) {
  std::string text = R"({"version":)" + std::to_string(version) + R"(,"routes":{},"services":{)";
  for (const std::string& service : services) {
    if (text.back() != '{') text += ',';
    text += '"' + service + R"(":{})";
  }
  return text + "}}";
}

class ConfigurationSourceTest : public PlatformFixture {
 protected:
  void Follow(records::RecordBook& book) {
    this->source->WatchFrom(
        book.Revision().number,
        [](const records::ChangeSet&) { FAIL() << "the source must not deliver change sets"; },
        [this, &book](const records::Transfer& transfer) {
          EXPECT_TRUE(book.MergeTransfer(transfer));
          this->revisions.push_back(transfer.to_revision.number);
        });
  }

  /// Gives the revision of the version's book.
  store::Revision Put(int version, const std::vector<std::string>& services) {
    this->standin.Put(kConfigurationKey, Version(version, services));
    return version + 1;
  }

  void RunUntilRevision(const records::RecordBook& book, store::Revision revision) {
    this->RunUntil([&] { return book.Revision() == revision; });
  }

  tl::expected<store::RecordListing, store::StoreError> Read() {
    return this->Await<store::RecordListing>(
        [&](auto handler) { this->source->Read(std::move(handler)); });
  }

  static std::vector<std::string> Services(const records::RecordBook& book) {
    std::vector<std::string> names;
    for (const records::RecordEntry& entry : book.Entries()) {
      if (entry.key.kind == records::RecordKind::kService) names.push_back(entry.key.name);
    }
    return names;
  }

  std::unique_ptr<ConfigurationSource> source =
      std::make_unique<ConfigurationSource>(*this->store, this->timers, TranslationDefaults());
  std::vector<store::Revision> revisions;
};

TEST_F(ConfigurationSourceTest, AppliesNewVersionsAndRemovesAbsentRecords) {
  records::RecordBook book;
  EXPECT_EQ(this->Read()->transfer.to_revision, 0);
  this->Follow(book);
  const store::Revision first = this->Put(3, {"a", "b"});
  this->RunUntilRevision(book, first);
  EXPECT_EQ(Services(book), (std::vector<std::string>{"a", "b"}));
  this->standin.Put("op/config-of-another", "x");
  this->standin.Put("/elsewhere", "x");
  const store::Revision second = this->Put(9, {"b", "c"});
  const store::Revision third = this->Put(11, {"c"});
  this->RunUntilRevision(book, third);
  EXPECT_EQ(Services(book), (std::vector<std::string>{"c"}));
  EXPECT_EQ(this->revisions, (std::vector<store::Revision>{first, second, third}));
}

/// Guards against a first version that never comes into force: its number is that of no book.
TEST_F(ConfigurationSourceTest, VersionsBeginAtZero) {
  records::RecordBook book;
  this->Follow(book);
  this->RunUntilRevision(book, this->Put(0, {"a"}));
  EXPECT_EQ(Services(book), (std::vector<std::string>{"a"}));
  this->RunUntilRevision(book, this->Put(1, {"b"}));
  EXPECT_EQ(Services(book), (std::vector<std::string>{"b"}));
}

/// Guards against versions that are taken for known ones, since their numbers aren't whole or don't
/// fit into 53 bits: none but the first came into force.
TEST_F(ConfigurationSourceTest, EveryGreaterVersionComesIntoForce) {
  const std::vector<std::string> rising = {"7.1",
                                           "7.2",
                                           "9007199254740992",
                                           "9007199254740993",
                                           "1796657791334000000",
                                           "1796657798334000000",
                                           "99999999999999999999",
                                           "99999999999999999999.5",
                                           "1e21"};
  records::RecordBook book;
  records::RecordBook peer;
  this->source->WatchFrom(
      0, [](const records::ChangeSet&) {},
      [&book](const records::Transfer& transfer) { book.MergeTransfer(transfer); });
  for (std::size_t i = 0; i < rising.size(); ++i) {
    const std::string service = "s" + std::to_string(i);
    this->standin.Put(
        kConfigurationKey,
        R"({"version":)" + rising[i] + R"(,"routes":{},"services":{")" + service + R"(":{}}})");
    this->RunUntil([&] { return Services(book) == std::vector<std::string>{service}; });
    EXPECT_TRUE(peer.MergeTransfer(book.ChangesSince(peer.Revision()))) << rising[i];
    EXPECT_EQ(peer.Entries(), book.Entries()) << rising[i];
  }
  this->standin.Put(kConfigurationKey, R"({"version":7.3,"routes":{},"services":{"old":{}}})");
  ASSERT_TRUE(this->Read());
  EXPECT_EQ(Services(book), std::vector<std::string>{"s8"});
}

/// Guards against two contents under one version that no node tells of.
TEST_F(ConfigurationSourceTest, AnotherContentUnderAKnownVersionIsTold) {
  records::RecordBook book;
  this->source->WatchFrom(
      0, [](const records::ChangeSet&) {},
      [&book](const records::Transfer& transfer) { book.MergeTransfer(transfer); });
  this->RunUntilRevision(book, this->Put(3, {"a"}));
  EXPECT_EQ(FormatFindings(this->source->Problems()).find("another content"), std::string::npos);
  this->standin.Put(kConfigurationKey, Version(3, {"a"}));
  ASSERT_TRUE(this->Read());
  EXPECT_EQ(FormatFindings(this->source->Problems()).find("another content"), std::string::npos);
  this->standin.Put(kConfigurationKey, Version(3, {"b"}));
  ASSERT_TRUE(this->Read());
  EXPECT_NE(FormatFindings(this->source->Problems()).find("another content"), std::string::npos);
  EXPECT_EQ(Services(book), std::vector<std::string>{"a"});
  this->RunUntilRevision(book, this->Put(4, {"c"}));
  EXPECT_EQ(FormatFindings(this->source->Problems()).find("another content"), std::string::npos);
}

TEST_F(ConfigurationSourceTest, NodesThatReadDifferentVersionsConverge) {
  records::RecordBook old_book;
  this->Put(1, {"a"});
  ASSERT_TRUE(old_book.MergeTransfer(this->Read()->transfer));
  const records::RecordBook missed = old_book;
  this->Put(2, {"b"});
  ASSERT_TRUE(old_book.MergeTransfer(this->Read()->transfer));
  this->Put(5, {"b", "c"});
  records::RecordBook new_book;
  ASSERT_TRUE(new_book.MergeTransfer(this->Read()->transfer));
  for (records::RecordBook book : {old_book, missed, records::RecordBook()}) {
    // Peers forward records in a transfer or in a published change set.
    records::RecordBook other = book;
    const records::Transfer changes = new_book.ChangesSince(book.Revision());
    EXPECT_TRUE(book.MergeTransfer(changes));
    EXPECT_EQ(book.Entries(), new_book.Entries());
    EXPECT_EQ(other.ApplyChangeSet(
                  {changes.from_revision.number, changes.to_revision.number, changes.entries}),
              records::ChangeResult::kApplied);
    EXPECT_EQ(other.Entries(), new_book.Entries());
  }
}

TEST_F(ConfigurationSourceTest, SkipsUnusableVersions) {
  records::RecordBook book;
  this->Follow(book);
  const store::Revision good = this->Put(3, {"a"});
  this->RunUntilRevision(book, good);
  this->standin.Put(kConfigurationKey, "{");
  this->standin.Put(kConfigurationKey, R"({"version":5})");
  this->standin.Model().Delete(kConfigurationKey);
  const auto read = this->Read();
  EXPECT_TRUE(read && read->transfer.entries.empty());
  const store::Revision next = this->Put(8, {"b"});
  this->RunUntilRevision(book, next);
  EXPECT_EQ(this->revisions, (std::vector<store::Revision>{good, next}));
}

TEST_F(ConfigurationSourceTest, ReadsAgainAfterCompaction) {
  const store::Revision first = this->Put(1, {"a"});
  records::RecordBook book;
  ASSERT_TRUE(book.MergeTransfer(this->Read()->transfer));
  this->Put(2, {"b"});
  const store::Revision last = this->Put(4, {"c"});
  this->standin.Model().DropHistory();
  EXPECT_EQ(book.Revision(), first);
  this->Follow(book);
  this->RunUntilRevision(book, last);
  EXPECT_EQ(this->revisions, std::vector{last});
}

TEST_F(ConfigurationSourceTest, NeverRevertsAndRecoversFromStoreFaults) {
  records::RecordBook book;
  this->Follow(book);
  this->RunUntilRevision(book, this->Put(1, {"a"}));
  this->standin.Model().FreezeReads(true);
  int version = 2;
  for (const Mode mode : {Mode::kDown, Mode::kBusy, Mode::kReset, Mode::kLoseAnswers}) {
    this->standin.SetFault({mode});
    this->standin.CutWatches();
    const int calls = this->standin.Calls("/kv-");
    if (mode == Mode::kDown) {
      EXPECT_FALSE(this->Read().has_value());
    } else {
      this->RunUntil([&] { return this->standin.Calls("/kv-") > calls + 1; });
    }
    const store::Revision revision = this->Put(version++, {"a"});
    // Compaction ends the watch, so that the source reads and gets stale data.
    if (mode == Mode::kBusy) this->standin.Model().DropHistory();
    this->standin.SetFault({});
    if (mode == Mode::kBusy) {
      this->RunUntil([&] { return this->standin.OpenWatches() == 0; });
      this->standin.Model().FreezeReads(false);
    }
    this->RunUntilRevision(book, revision);
  }
  EXPECT_TRUE(std::is_sorted(this->revisions.begin(), this->revisions.end()));
  EXPECT_EQ(this->revisions.size(), 5U);
}

TEST_F(ConfigurationSourceTest, RunsNoHooksAfterStop) {
  records::RecordBook book;
  this->Follow(book);
  this->RunUntil([&] { return this->standin.OpenWatches() == 1; });
  this->source->StopWatch();
  this->source->Read(
      [](const auto&) { FAIL() << "the handler ran after the source was destroyed"; });
  this->source.reset();
  this->Put(1, {"a"});
  this->RunUntil([&] { return this->standin.OpenWatches() == 0; });
  EXPECT_EQ(book.Revision(), 0);
}

}  // namespace
}  // namespace fireflyrun::platform
