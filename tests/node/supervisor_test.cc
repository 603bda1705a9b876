#include "node/supervisor.h"

#include <gtest/gtest.h>

#include <asio/io_context.hpp>

#include "common/timer_service.h"

namespace fireflyrun::node {
namespace {

class SupervisorTest : public ::testing::Test {
 protected:
  Component RecordingComponent(const std::string& name, bool starts = true) {
    Component component;
    component.name = name;
    component.start = [this, name, starts]() -> tl::expected<void, std::string> {
      this->events.push_back("start " + name);
      if (!starts) return tl::unexpected(std::string("no"));
      return {};
    };
    component.stop = [this, name](const std::function<void()>& done) {
      this->events.push_back("stop " + name);
      done();
    };
    return component;
  }

  using Events = std::vector<std::string>;

  asio::io_context loop;
  TimerService timers{loop};
  Events events;
};

TEST_F(SupervisorTest, StopsInReverseOrder) {
  Supervisor supervisor(this->timers, "test");
  supervisor.Add(this->RecordingComponent("a"));
  supervisor.Add(this->RecordingComponent("b"));
  ASSERT_TRUE(supervisor.Start());
  bool done = false;
  supervisor.Stop([&] { done = true; });
  EXPECT_TRUE(done);
  EXPECT_EQ(this->events, (Events{"start a", "start b", "stop b", "stop a"}));
}

TEST_F(SupervisorTest, FailedStartStopsStartedComponentsAndNamesFailedOne) {
  Supervisor supervisor(this->timers, "test");
  supervisor.Add(this->RecordingComponent("a"));
  supervisor.Add(this->RecordingComponent("b", false));
  supervisor.Add(this->RecordingComponent("c"));
  const auto started = supervisor.Start();
  ASSERT_FALSE(started);
  EXPECT_EQ(started.error(), "b: no");
  EXPECT_EQ(this->events, (Events{"start a", "start b", "stop a"}));
}

TEST_F(SupervisorTest, RestartsFailedComponent) {
  Supervisor supervisor(this->timers, "test");
  bool healthy = false;
  Component component = this->RecordingComponent("a");
  component.healthy = [&] { return healthy; };
  supervisor.Add(component);
  ASSERT_TRUE(supervisor.Start());
  this->loop.run_for(std::chrono::milliseconds(1200));
  EXPECT_EQ(supervisor.Restarts(), 1U);
  healthy = true;
  this->loop.run_for(std::chrono::milliseconds(2500));
  EXPECT_EQ(this->events, (Events{"start a", "stop a", "start a"}));
}

TEST_F(SupervisorTest, NestedSupervisorStopsInReverseOrder) {
  Supervisor inner(this->timers, "inner");
  inner.Add(this->RecordingComponent("a"));
  Supervisor outer(this->timers, "outer");
  outer.Add(inner.AsComponent());
  outer.Add(this->RecordingComponent("b"));
  ASSERT_TRUE(outer.Start());
  outer.Stop([] {});
  EXPECT_EQ(this->events, (Events{"start a", "start b", "stop b", "stop a"}));
}

}  // namespace
}  // namespace fireflyrun::node
