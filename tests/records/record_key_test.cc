#include "records/record_key.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "records/record_envelope.h"

namespace fireflyrun::records {
namespace {

TEST(RecordKeyTest, FormatsAndParses) {
  const RecordKey key{RecordKind::kRetryAllowance, "standard", 12};
  EXPECT_EQ(FormatRecordKey(key), "retry_allowance/standard/v12");
  EXPECT_EQ(ParseRecordKey("retry_allowance/standard/v12"), key);
}

TEST(RecordKeyTest, RejectsInvalidKeys) {
  for (const char* text : {"", "/", "service/a", "service//v1", "service/a/1", "service/a/v0",
                           "service/a/v01", "service/a/v-1", "service/a/v1x", "service/a/b/v1",
                           "service/A/v1", "other/a/v1", "service/a/v99999999999"}) {
    EXPECT_FALSE(ParseRecordKey(text)) << text;
  }
}

TEST(RecordKeyTest, LimitsLengthAndCharactersOfNames) {
  EXPECT_TRUE(IsRecordName("a"));
  EXPECT_TRUE(IsRecordName("a" + std::string(62, '-')));
  EXPECT_FALSE(IsRecordName("a" + std::string(63, '-')));
  EXPECT_FALSE(IsRecordName("1a"));
}

RC_GTEST_PROP(RecordEnvelopeTest, DecodesWhatItEncodes, (bool retired)) {
  const auto body = *rc::gen::container<std::string>(rc::gen::inRange(' ', '~'));
  const RecordEnvelope envelope{"w1", retired, body};
  const auto decoded = DecodeEnvelope(EncodeEnvelope(envelope));
  RC_ASSERT(decoded.has_value());
  RC_ASSERT(*decoded == envelope);
}

TEST(RecordEnvelopeTest, RejectsInvalidValues) {
  for (const char* value : {"", "[]", "{}", "{\"write_id\":\"w\",\"retired\":0,\"body\":\"\"}"}) {
    EXPECT_FALSE(DecodeEnvelope(value).has_value()) << value;
  }
}

}  // namespace
}  // namespace fireflyrun::records
