#include "store/etcd_codec.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "store/base64.h"

namespace fireflyrun::store {
namespace {

TEST(Base64Test, MatchesRfc4648TestVectors) {
  EXPECT_EQ(EncodeBase64(""), "");
  EXPECT_EQ(EncodeBase64("f"), "Zg==");
  EXPECT_EQ(EncodeBase64("fo"), "Zm8=");
  EXPECT_EQ(EncodeBase64("foobar"), "Zm9vYmFy");
  EXPECT_FALSE(DecodeBase64("Zg="));
  EXPECT_FALSE(DecodeBase64("Z$=="));
}

RC_GTEST_PROP(Base64Test, RoundTripsArbitraryBytes, (const std::string& bytes)) {
  RC_ASSERT(DecodeBase64(EncodeBase64(bytes)) == bytes);
}

TEST(EtcdCodecTest, ComputesEndOfPrefixRange) {
  EXPECT_EQ(etcd::PrefixEnd("/a/"), "/a0");
  EXPECT_EQ(etcd::PrefixEnd("a\xFF"), "b");
  EXPECT_EQ(etcd::PrefixEnd("\xFF"), std::string(1, '\0'));
}

TEST(EtcdCodecTest, RejectsMalformedAnswers) {
  for (const char* text :
       {"", "null", "[]", "{}", "{\"header\":{}}", "<html>", R"({"header":{"revision":"x"}})",
        R"({"header":{"revision":"5"},"kvs":[{"key":"$"}]})",
        R"({"header":{"revision":"5"},"kvs":{}})"}) {
    EXPECT_FALSE(etcd::DecodeRange(text).has_value()) << text;
  }
  EXPECT_FALSE(etcd::DecodeTransaction("{\"succeeded\":true}").has_value());
  EXPECT_FALSE(etcd::DecodeLeaseGrant("{}").has_value());
  EXPECT_FALSE(etcd::DecodeWatch("{\"error\":{}}").has_value());
}

TEST(EtcdCodecTest, GroupsWatchEventsByRevision) {
  const auto message = etcd::DecodeWatch(R"({"result":{"header":{"revision":"9"},"events":[
    {"kv":{"key":"YQ==","value":"MQ==","mod_revision":"7"}},
    {"type":"DELETE","kv":{"key":"Yg==","mod_revision":"7"}},
    {"kv":{"key":"YQ==","value":"Mg==","mod_revision":"9"}}]}})");
  ASSERT_TRUE(message.has_value());
  ASSERT_EQ(message->batches.size(), 2U);
  EXPECT_EQ(message->batches[0].revision, 7);
  ASSERT_EQ(message->batches[0].changes.size(), 2U);
  EXPECT_FALSE(message->batches[0].changes[0].deleted);
  EXPECT_TRUE(message->batches[0].changes[1].deleted);
  EXPECT_EQ(message->batches[1].changes[0].value, "2");
}

}  // namespace
}  // namespace fireflyrun::store
