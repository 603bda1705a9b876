#pragma once

#include <sys/types.h>

#include <chrono>
#include <string>
#include <vector>

namespace fireflyrun::integration {

/// One process started by a test; killed and reaped when destroyed. Its output goes to files.
class Process {
 public:
  /// `output_prefix` is where `.out` and `.err` are written.
  Process(std::vector<std::string> command, const std::string& output_prefix);
  ~Process();
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  void Signal(int signal) const;
  void Pause() const;
  void Resume() const;
  /// Ends the process at once and reaps it.
  void Kill();

  /// Waits for the end; the exit status, or -1 when the time runs out or a signal ended it.
  int WaitForExit(std::chrono::milliseconds limit);
  bool Running();

  pid_t Id() const { return this->id; }
  std::string Output() const;
  const std::string& OutputPath() const { return this->output_path; }
  std::string ErrorOutput() const;

 private:
  bool Reap();

  std::string output_path;
  std::string error_path;
  pid_t id = -1;
  bool reaped = false;
  int exit_status = -1;
};

}  // namespace fireflyrun::integration
