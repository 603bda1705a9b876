#include "records/route_table.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <string>
#include <vector>

namespace fireflyrun::records {
namespace {

struct Selector {
  std::string host;
  std::string prefix;
};

std::string NameOf(const RouteEntry* entry) { return entry == nullptr ? "" : entry->name; }

/// Reference implementation: a linear search of all routes.
std::string NaiveFind(const std::vector<Selector>& selectors, const std::string& host,
                      const std::string& path) {
  for (const std::string& route_host : {host, std::string()}) {
    const Selector* best = nullptr;
    for (const Selector& selector : selectors) {
      if (selector.host != route_host || !path.starts_with(selector.prefix)) continue;
      if (best == nullptr || selector.prefix.size() > best->prefix.size()) best = &selector;
    }
    if (best != nullptr) return best->host + best->prefix;
  }
  return "";
}

/// Uses few letters, so that prefixes are often prefixes of each other.
rc::Gen<std::string> GenPath() {
  return rc::gen::map(rc::gen::container<std::string>(rc::gen::element('/', '/', 'a', 'b')),
                      [](std::string path) { return "/" + std::move(path); });
}

RC_GTEST_PROP(RouteTableTest, MatchesLinearSearchOfAllRoutes, ()) {
  const auto gen_host = rc::gen::element<std::string>("", "a.example", "b.example");
  const auto selectors = *rc::gen::container<std::vector<Selector>>(
      rc::gen::construct<Selector>(gen_host, rc::gen::map(GenPath(), [](std::string prefix) {
                                     return prefix.back() == '/' ? prefix : prefix + "/";
                                   })));
  RouteTable table;
  for (const Selector& selector : selectors) {
    const std::string name = selector.host + selector.prefix;
    const bool is_new = NameOf(table.Find(selector.host, selector.prefix)) != name;
    RC_ASSERT(table.Add(selector.host, selector.prefix, {name, {}, {}, {}}) == is_new);
  }
  const auto host = *rc::gen::element<std::string>("", "a.example", "b.example", "c.example");
  const auto path = *GenPath();
  RC_ASSERT(NameOf(table.Find(host, path)) == NaiveFind(selectors, host, path));
}

/// Guards against a host that isn't found for the dot that ends its name, its length, or its port.
TEST(RouteTableTest, FindsHostsWithDotPortOrAnyLength) {
  const std::string long_host = std::string(300, 'h') + ".example";
  RouteTable table;
  table.Add("dotted.example.", "/", {"dotted", {}, {}, {}});
  table.Add("plain.example", "/", {"plain", {}, {}, {}});
  table.Add("plain.example:8080", "/p/", {"port", {}, {}, {}});
  table.Add(long_host, "/", {"long", {}, {}, {}});
  EXPECT_EQ(NameOf(table.Find("dotted.example", "/x")), "dotted");
  EXPECT_EQ(NameOf(table.Find("Dotted.example.:80", "/x")), "dotted");
  EXPECT_EQ(NameOf(table.Find("plain.example.", "/p/")), "plain");
  EXPECT_EQ(NameOf(table.Find("plain.example.:8080", "/p/")), "port");
  EXPECT_EQ(NameOf(table.Find("plain.example:8080", "/q/")), "plain");
  EXPECT_EQ(NameOf(table.Find("plain.example:8081", "/p/")), "plain");
  EXPECT_EQ(NameOf(table.Find(long_host, "/x")), "long");
  EXPECT_EQ(table.Find(".", "/x"), nullptr);
}

TEST(RouteTableTest, IgnoresHostCaseHostPortAndQuery) {
  RouteTable table;
  table.Add("Jepu9.example", "/p/", {"named", {}, {}, {}});
  table.Add("[2001:db8::1]", "/p/", {"address", {}, {}, {}});
  table.Add("", "/q/", {"any", {}, {}, {}});
  EXPECT_EQ(NameOf(table.Find("jePU9.EXAMPLE:8080", "/p/x")), "named");
  EXPECT_EQ(NameOf(table.Find("[2001:DB8::1]:80", "/p/")), "address");
  EXPECT_EQ(NameOf(table.Find("[2001:db8::1", "/q/")), "any");
  EXPECT_EQ(NameOf(table.Find("jepu9.example", "/q/x")), "any");
  EXPECT_EQ(NameOf(table.Find("", "/q/")), "any");
  EXPECT_EQ(NameOf(table.Find(std::string(1000, 'a'), "/q/")), "any");
  EXPECT_EQ(table.Find("jepu9.example", "/p?/p/"), nullptr);
  EXPECT_EQ(table.Find("jepu9.example", "/P/"), nullptr);
  EXPECT_EQ(table.Find("jepu9.example", ""), nullptr);
}

}  // namespace
}  // namespace fireflyrun::records
