#include "Tests/Process/ChildProcess.h"

#include "Tests/Process/WaitUntil.h"

#include <csignal>
#include <fcntl.h>
#include <spawn.h>
#include <stdexcept>
#include <sys/wait.h>
#include <unistd.h>
#include <utility>

namespace fennelline {

namespace {

constexpr int kSignalBase = 128;
constexpr mode_t kLogMode = 0644;

std::vector<char*> Pointers(std::vector<std::string>& aWords) {
  std::vector<char*> pointers;
  for (std::string& word : aWords) {
    pointers.push_back(word.data());
  }
  pointers.push_back(nullptr);
  return pointers;
}

} // namespace

ChildProcess::ChildProcess(const std::string& aProgram, const std::vector<std::string>& aArguments,
                           const std::string& aLogPath) {
  std::vector<std::string> words = {std::string(FENNELLINE_BIN_DIR) + "/" + aProgram};
  words.insert(words.end(), aArguments.begin(), aArguments.end());
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions, STDERR_FILENO, aLogPath.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, kLogMode);
  posix_spawn_file_actions_adddup2(&actions, STDERR_FILENO, STDOUT_FILENO);
  const int error =
    posix_spawn(&m_pid, words[0].c_str(), &actions, nullptr, Pointers(words).data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  if (error != 0) {
    m_pid = -1;
    throw std::runtime_error("cannot start " + words[0]);
  }
}

ChildProcess::ChildProcess(ChildProcess&& aOther) noexcept
  : m_pid(std::exchange(aOther.m_pid, -1))
  , m_exitCode(std::exchange(aOther.m_exitCode, std::nullopt)) {}

ChildProcess& ChildProcess::operator=(ChildProcess&& aOther) noexcept {
  if (this != &aOther) {
    Kill();
    m_pid = std::exchange(aOther.m_pid, -1);
    m_exitCode = std::exchange(aOther.m_exitCode, std::nullopt);
  }
  return *this;
}

ChildProcess::~ChildProcess() {
  Kill();
}

void ChildProcess::Kill() {
  if (IsRunning()) {
    Signal(SIGKILL);
    int status = 0;
    waitpid(m_pid, &status, 0);
  }
  m_pid = -1;
}

void ChildProcess::Signal(int aSignal) const {
  // A process that has been waited for is gone, and its number may be another's.
  if (m_pid > 0 && !m_exitCode) {
    kill(m_pid, aSignal);
  }
}

void ChildProcess::Reap(int aStatus) {
  m_exitCode = WIFEXITED(aStatus) ? WEXITSTATUS(aStatus) : kSignalBase + WTERMSIG(aStatus);
}

bool ChildProcess::IsRunning() {
  if (m_pid <= 0 || m_exitCode) {
    return false;
  }
  int status = 0;
  if (waitpid(m_pid, &status, WNOHANG) == m_pid) {
    Reap(status);
  }
  return !m_exitCode.has_value();
}

std::optional<int> ChildProcess::WaitForExit(Duration aBound) {
  WaitUntil(aBound, [this] { return !IsRunning(); });
  return m_exitCode;
}

} // namespace fennelline
