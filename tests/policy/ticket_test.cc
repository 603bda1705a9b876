#include "policy/ticket.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <string_view>

namespace fireflyrun::policy {
namespace {

constexpr std::string_view kTokenBytes =
    "!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ";

RC_GTEST_PROP(TicketTest, TextIsAnHttpTokenAndRoundTrips,
              (std::uint64_t incarnation, std::uint32_t window)) {
  const auto node = *rc::gen::nonEmpty(rc::gen::string<std::string>());
  const Ticket ticket = Ticket::Issue(node, incarnation, window);
  const std::string text = ticket.ToText();
  RC_ASSERT(text.find_first_not_of(kTokenBytes) == std::string::npos);
  RC_ASSERT(Ticket::FromText(text) == ticket);
}

TEST(TicketTest, RejectsAllButTheCanonicalText) {
  const std::string nonce(32, 'a');
  const std::string good = "ff1.00000000000000ab.7." + nonce + ".n%3a1";
  ASSERT_TRUE(Ticket::FromText(good));
  for (const std::string& bad :
       {std::string(), std::string("ff1."), "ff2" + good.substr(3), good + " ", good + "%",
        good + "%4", "ff1.00000000000000AB.7." + nonce + ".n", "ff1.ab.7." + nonce + ".n",
        "ff1.00000000000000ab.07." + nonce + ".n",
        "ff1.00000000000000ab.4294967296." + nonce + ".n", "ff1.00000000000000ab.7." + nonce + ".",
        "ff1.00000000000000ab.7." + nonce + ".%6e", "ff1.00000000000000ab.7." + nonce + ".n%3A1",
        "ff1.00000000000000ab.-7." + nonce + ".n",
        "ff1.00000000000000ab.7." + nonce.substr(1) + ".n"}) {
    EXPECT_FALSE(Ticket::FromText(bad)) << bad;
  }
}

}  // namespace
}  // namespace fireflyrun::policy
