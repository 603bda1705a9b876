#include "tests/integration/process.h"

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <fstream>
#include <sstream>
#include <stdexcept>

#include "tests/integration/wait_until.h"

extern char** environ;

namespace fireflyrun::integration {
namespace {

constexpr int kOutputFlags = O_WRONLY | O_CREAT | O_TRUNC;
constexpr mode_t kOutputMode = 0644;

std::string ReadFile(const std::string& path) {
  const std::ifstream file(path);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

}  // namespace

Process::Process(std::vector<std::string> command, const std::string& output_prefix)
    : output_path(output_prefix + ".out"), error_path(output_prefix + ".err") {
  std::vector<char*> arguments;
  arguments.reserve(command.size() + 1);
  for (auto& argument : command) arguments.push_back(argument.data());
  arguments.push_back(nullptr);
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions, 1, this->output_path.c_str(), kOutputFlags,
                                   kOutputMode);
  posix_spawn_file_actions_addopen(&actions, 2, this->error_path.c_str(), kOutputFlags,
                                   kOutputMode);
  // The sockets of a FaultNetwork stay this process's own.
  posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
  const int error =
      posix_spawn(&this->id, arguments[0], &actions, nullptr, arguments.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  if (error != 0) throw std::runtime_error("cannot start " + command[0]);
}

Process::~Process() { this->Kill(); }

void Process::Signal(int signal) const {
  if (!this->reaped) kill(this->id, signal);
}

void Process::Pause() const { this->Signal(SIGSTOP); }

void Process::Resume() const { this->Signal(SIGCONT); }

void Process::Kill() {
  if (this->reaped) return;
  kill(this->id, SIGKILL);
  int status = 0;
  waitpid(this->id, &status, 0);
  this->reaped = true;
}

bool Process::Reap() {
  if (this->reaped) return true;
  int status = 0;
  if (waitpid(this->id, &status, WNOHANG) != this->id) return false;
  this->reaped = true;
  if (WIFEXITED(status)) this->exit_status = WEXITSTATUS(status);
  return true;
}

int Process::WaitForExit(std::chrono::milliseconds limit) {
  WaitUntil(limit, [this] { return this->Reap(); });
  return this->exit_status;
}

bool Process::Running() { return !this->Reap(); }

std::string Process::Output() const { return ReadFile(this->output_path); }

std::string Process::ErrorOutput() const { return ReadFile(this->error_path); }

}  // namespace fireflyrun::integration
