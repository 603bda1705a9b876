#include "records/route_table.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <string>
#include <vector>

namespace fireflyrun::records {
namespace {

struct Place {
  std::string host;
  std::string prefix;
};

std::string NameOf(const RouteEntry* entry) { return entry == nullptr ? "" : entry->name; }

/// The rule, read off every route.
std::string NaiveFind(const std::vector<Place>& places, const std::string& host,
                      const std::string& path) {
  for (const std::string& wanted : {host, std::string()}) {
    const Place* best = nullptr;
    for (const Place& place : places) {
      if (place.host != wanted || !path.starts_with(place.prefix)) continue;
      if (best == nullptr || place.prefix.size() > best->prefix.size()) best = &place;
    }
    if (best != nullptr) return best->host + best->prefix;
  }
  return "";
}

/// Few letters, so that prefixes often begin each other.
rc::Gen<std::string> GenPath() {
  return rc::gen::map(rc::gen::container<std::string>(rc::gen::element('/', '/', 'a', 'b')),
                      [](std::string path) { return "/" + std::move(path); });
}

RC_GTEST_PROP(RouteTableTest, FindsWhatASearchOfAllRoutesFinds, ()) {
  const auto gen_host = rc::gen::element<std::string>("", "a.example", "b.example");
  const auto places = *rc::gen::container<std::vector<Place>>(
      rc::gen::construct<Place>(gen_host, rc::gen::map(GenPath(), [](std::string prefix) {
                                  return prefix.back() == '/' ? prefix : prefix + "/";
                                })));
  RouteTable table;
  for (const Place& place : places) {
    const std::string name = place.host + place.prefix;
    const bool is_new = NameOf(table.Find(place.host, place.prefix)) != name;
    RC_ASSERT(table.Add(place.host, place.prefix, {name, {}, {}}) == is_new);
  }
  const auto host = *rc::gen::element<std::string>("", "a.example", "b.example", "c.example");
  const auto path = *GenPath();
  RC_ASSERT(NameOf(table.Find(host, path)) == NaiveFind(places, host, path));
}

TEST(RouteTableTest, IgnoresCaseAndPortOfTheHostAndTheQuery) {
  RouteTable table;
  table.Add("Jepu9.example", "/p/", {"named", {}, {}});
  table.Add("[2001:db8::1]", "/p/", {"address", {}, {}});
  table.Add("", "/q/", {"any", {}, {}});
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
