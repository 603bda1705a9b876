#include "metrics/registry.h"

#include <gtest/gtest.h>

#include <limits>

namespace fireflyrun::metrics {
namespace {

TEST(RegistryTest, RendersByNameWithEscapes) {
  Registry registry;
  double level = 1.5;
  EXPECT_TRUE(registry.AddGauge("a_level", "Two\nlines \\ \"x\"", [&] { return level; }));
  EXPECT_TRUE(
      registry.AddCounter("b_total", "B.", [] { return std::numeric_limits<double>::infinity(); }));
  EXPECT_TRUE(registry.AddGauge("a_level", "Unused", [] { return 0.1; }, {{"s", "q\"\\\n"}}));
  registry.AddText([](std::string* out) { out->append("text\n"); });
  level = 2;
  EXPECT_EQ(registry.Render(),
            "# HELP a_level Two\\nlines \\\\ \"x\"\n# TYPE a_level gauge\n"
            "a_level 2\na_level{s=\"q\\\"\\\\\\n\"} 0.1\n"
            "# HELP b_total B.\n# TYPE b_total counter\nb_total +Inf\ntext\n");
}

TEST(RegistryTest, RejectsInvalidNamesAndDuplicates) {
  Registry registry;
  const auto zero = [] { return 0.0; };
  EXPECT_TRUE(registry.AddGauge("a", "", zero));
  const std::string before = registry.Render();
  EXPECT_FALSE(registry.AddGauge("a", "", zero));
  EXPECT_FALSE(registry.AddCounter("a", "", zero, {{"x", "1"}}));
  EXPECT_FALSE(registry.AddGauge("1a", "", zero));
  EXPECT_FALSE(registry.AddGauge("a b", "", zero));
  EXPECT_FALSE(registry.AddGauge("b", "", zero, {{"x:y", "1"}}));
  EXPECT_EQ(registry.Render(), before);
}

}  // namespace
}  // namespace fireflyrun::metrics
