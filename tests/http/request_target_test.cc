#include "http/request_target.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <string>

#include "http/headers.h"
#include "http/problem.h"

namespace fireflyrun::http {
namespace {

TEST(RequestTargetTest, SplitsServicePathAndQuery) {
  const auto whole = SplitTarget("/proclaim/filings/7?x=1&y=%20");
  ASSERT_TRUE(whole);
  EXPECT_EQ(whole->service, "proclaim");
  EXPECT_EQ(whole->path, "/filings/7");
  EXPECT_EQ(whole->query, "x=1&y=%20");
  EXPECT_EQ(SplitTarget("/calendar")->path, "/");
  EXPECT_EQ(SplitTarget("/calendar?a=b")->path, "/");
  EXPECT_EQ(SplitTarget("/calendar/")->path, "/");
  EXPECT_EQ(SplitTarget("/a/b?/../c")->query, "/../c");
}

TEST(RequestTargetTest, RejectsOtherFormsAndHiddenPaths) {
  for (const char* target :
       {"", "*", "proclaim/x", "http://h/x", "/", "//x", "/?x", "/a b", "/a/b#c", "/a/\"", "/a/%4",
        "/a/%zz", "/a%20b/x", "/a/../b", "/a/.", "/a/%2e%2E/b", "/a/.%2e", "/..", "/a:b/x"}) {
    EXPECT_FALSE(SplitTarget(target)) << target;
  }
}

RC_GTEST_PROP(RequestTargetTest, PartsJoinToTheWhole, ()) {
  const auto characters =
      rc::gen::container<std::string>(rc::gen::elementOf(std::string("/?.%2eEab")));
  const std::string text = "/a" + *characters;
  const auto parts = SplitTarget(text);
  RC_PRE(parts.has_value());
  std::string joined = "/" + std::string(parts->service);
  if (text.size() > joined.size() && text[joined.size()] == '/') joined += parts->path;
  if (text.find('?') != std::string::npos) joined += "?" + std::string(parts->query);
  RC_ASSERT(joined == text);
}

TEST(HeadersTest, FindsByNameInAnyCaseAndKnowsConnectionHeaders) {
  const Headers headers = {{"idempotency-KEY", "k"}, {"Idempotency-Key", "second"}};
  EXPECT_EQ(FindHeader(headers, "Idempotency-Key"), "k");
  EXPECT_FALSE(FindHeader(headers, "Idempotency"));
  EXPECT_TRUE(IsConnectionHeader("transfer-encoding"));
  EXPECT_FALSE(IsConnectionHeader("Retry-After"));
  EXPECT_FALSE(IsValidHeader({"A", "b\nc"}));
  EXPECT_FALSE(IsValidHeader({"A b", "c"}));
}

TEST(ProblemTest, BuildsJsonFromAnyBytes) {
  const Response problem = MakeProblem(503, "load", "Refused", "a\"\xff", {{"Retry-After", "1"}});
  EXPECT_EQ(FindHeader(problem.headers, "content-type"), "application/problem+json");
  EXPECT_EQ(FindHeader(problem.headers, "retry-after"), "1");
  EXPECT_EQ(problem.body,
            "{\"type\":\"urn:fireflyrun:problem:load\",\"title\":\"Refused\","
            "\"status\":503,\"detail\":\"a\\\"\xEF\xBF\xBD\"}");
}

}  // namespace
}  // namespace fireflyrun::http
