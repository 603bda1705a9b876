#include "common/log.h"

#include <fcntl.h>
#include <gtest/gtest.h>
#include <unistd.h>

#include <asio/io_context.hpp>
#include <memory>
#include <string>

#include "common/line_limit.h"
#include "common/log_event.h"
#include "common/log_fields.h"
#include "common/log_flusher.h"
#include "common/log_options.h"
#include "common/log_queue.h"
#include "common/non_blocking_output.h"
#include "common/timer_service.h"

namespace fireflyrun {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kBufferBytes = std::size_t{1} << 20;

/// A pipe whose reader reads only when told.
class Pipe {
 public:
  Pipe() { EXPECT_EQ(pipe2(this->ends, O_CLOEXEC), 0); }
  ~Pipe() {
    close(this->ends[0]);
    close(this->ends[1]);
  }
  Pipe(const Pipe&) = delete;
  Pipe& operator=(const Pipe&) = delete;

  int WriteEnd() const { return this->ends[1]; }
  std::string ReadAll() const {
    fcntl(this->ends[0], F_SETFL, O_NONBLOCK);
    std::string text(kBufferBytes, '\0');
    const ssize_t count = read(this->ends[0], text.data(), text.size());
    text.resize(static_cast<std::size_t>(std::max<ssize_t>(count, 0)));
    return text;
  }

 private:
  int ends[2] = {-1, -1};
};

std::string Field(std::string_view value) {
  std::string line;
  AppendLogField("k", value, &line);
  return line;
}

TEST(LogFieldsTest, ValuesAreQuotedOnlyWhereNeeded) {
  EXPECT_EQ(Field("plain-1:2/3"), " k=plain-1:2/3");
  EXPECT_EQ(Field(""), " k=\"\"");
  EXPECT_EQ(Field("a b"), " k=\"a b\"");
  EXPECT_EQ(Field("a=\"b\\"), " k=\"a=\\\"b\\\\\"");
  EXPECT_EQ(Field("a\nb"), " k=\"a\\u000ab\"");
}

TEST(LogFieldsTest, LongValuesAreCut) { EXPECT_LT(Field(std::string(100'000, 'x')).size(), 300U); }

TEST(LineLimitTest, FailuresGoBeforeSuccessesAndStateBeforeFailures) {
  LineLimit limit(100);
  const SteadyTime now = SteadyTime(seconds(10));
  int successes = 0;
  int failures = 0;
  int states = 0;
  for (int i = 0; i < 1000; ++i) successes += limit.Admit(LogUrgency::kSuccess, now) ? 1 : 0;
  for (int i = 0; i < 1000; ++i) failures += limit.Admit(LogUrgency::kFailure, now) ? 1 : 0;
  for (int i = 0; i < 1000; ++i) states += limit.Admit(LogUrgency::kState, now) ? 1 : 0;
  EXPECT_GT(failures, successes);
  EXPECT_GT(states, 0);
  EXPECT_EQ(successes + failures + states, 100);
  EXPECT_TRUE(limit.Admit(LogUrgency::kSuccess, now + seconds(1)));
}

TEST(LineLimitTest, WhatIsLeftOutIsReportedOnceASecondAndWhole) {
  LineLimit limit(10);
  const SteadyTime now = SteadyTime(seconds(10));
  for (int i = 0; i < 20; ++i) limit.Admit(LogUrgency::kState, now);
  EXPECT_EQ(limit.TakeReport(now)[0], 10U);
  limit.CountLeftOut(LogUrgency::kState);
  EXPECT_EQ(limit.TakeReport(now + milliseconds(999))[0], 0U);
  EXPECT_TRUE(limit.HasReport());
  EXPECT_EQ(limit.TakeReport(now + seconds(1))[0], 1U);
  EXPECT_FALSE(limit.HasReport());
  EXPECT_EQ(limit.LeftOut()[0], 11U);
}

TEST(LogQueueTest, PipeThatNobodyReadsFillsTheQueueAndBlocksNothing) {
  const Pipe pipe;
  LogQueue queue(std::make_unique<NonBlockingOutput>(pipe.WriteEnd()));
  const std::string line(200, 'x');
  std::size_t kept = 0;
  const SteadyTime start = SteadyClock::now();
  while (queue.Append(line, LogUrgency::kFailure) && kept < 100'000) {
    ++kept;
    if (kept % 100 == 0) queue.Flush();
  }
  EXPECT_LT(SteadyClock::now() - start, seconds(5));
  EXPECT_LT(kept, 100'000U);
  EXPECT_FALSE(queue.Append(line, LogUrgency::kSuccess));
  // Whatever the pipe holds is whole lines, also when it was full.
  std::string text;
  do {
    text += pipe.ReadAll();
    EXPECT_EQ(text.back(), '\n');
  } while (!queue.Flush());
  text += pipe.ReadAll();
  EXPECT_EQ(text.size(), kept * (line.size() + 1));
}

TEST(LogQueueTest, SuccessesLeaveRoomForFailures) {
  const Pipe pipe;
  LogQueue queue(std::make_unique<NonBlockingOutput>(pipe.WriteEnd()));
  const std::string line(200, 'x');
  while (queue.Append(line, LogUrgency::kSuccess)) {
  }
  EXPECT_TRUE(queue.Append(line, LogUrgency::kFailure));
}

TEST(NonBlockingOutputTest, FlagsOfTheDescriptorStayAsTheyWere) {
  const Pipe pipe;
  NonBlockingOutput output(pipe.WriteEnd());
  EXPECT_EQ(output.Write("line\n"), 5U);
  EXPECT_EQ(fcntl(pipe.WriteEnd(), F_GETFL) & O_NONBLOCK, 0);
  EXPECT_EQ(pipe.ReadAll(), "line\n");
}

TEST(LogTest, LinesAreWrittenInBatchesOnTheLoopAndOnlyWhereTheirLevelIsOn) {
  const Pipe pipe;
  InitializeLog({"node-1", LogLevel::kInfo, 5, pipe.WriteEnd()});
  asio::io_context loop;
  TimerService timers(loop);
  {
    const LogFlusher flusher(timers);
    LogEvent(LogLevel::kDebug, "part", "off").Add("k", 1);
    for (int i = 0; i < 8; ++i) LogEvent(LogLevel::kInfo, "part", "on").Add("k", i);
    EXPECT_EQ(pipe.ReadAll(), "");
    loop.run();
  }
  const std::string text = pipe.ReadAll();
  EXPECT_EQ(text.find("event=off"), std::string::npos);
  EXPECT_NE(text.find(" level=info node=node-1 part=part event=on k=4\n"), std::string::npos);
  EXPECT_EQ(text.find("k=5\n"), std::string::npos);
  EXPECT_EQ(text.rfind("ts=", 0), 0U);
}

TEST(LogTest, WhatWasLeftOutIsSaid) {
  const Pipe pipe;
  InitializeLog({"node-1", LogLevel::kInfo, 10, pipe.WriteEnd()});
  asio::io_context loop;
  TimerService timers(loop);
  const LogFlusher flusher(timers);
  for (int i = 0; i < 40; ++i) {
    LogEvent(LogLevel::kInfo, "part", "on", LogUrgency::kFailure).Add("k", i);
  }
  std::string text;
  const SteadyTime limit = SteadyClock::now() + seconds(5);
  while (text.find("event=left-out") == std::string::npos && SteadyClock::now() < limit) {
    loop.run_one_for(milliseconds(100));
    text += pipe.ReadAll();
  }
  EXPECT_NE(text.find("event=left-out state=0 failure=30 attempt=0 success=0"), std::string::npos)
      << text;
}

}  // namespace
}  // namespace fireflyrun
