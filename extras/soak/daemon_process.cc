#include "soak/daemon_process.h"

#include <fcntl.h>
#include <linux/close_range.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <csignal>
#include <cstring>

namespace dotterellug::soak {

DaemonProcess::~DaemonProcess() {
  if (process_ <= 0) return;
  ::kill(process_, SIGKILL);
  ::waitpid(process_, nullptr, 0);
}

auto DaemonProcess::Start() -> Result<void> {
  const auto child = ::fork();
  if (child < 0) {
    return Fail(ErrorKind::kUnavailable,
                std::string("cannot start a process: ") + std::strerror(errno),
                "start fewer daemons");
  }
  if (child == 0) {
    const int log = ::open(plan_.log_file.c_str(),
                           O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    ::dup2(log, STDOUT_FILENO);
    ::dup2(log, STDERR_FILENO);
    // A connection that this program closes would stay open as long as the
    // daemon runs.
    ::close_range(STDERR_FILENO + 1, ~0U, CLOSE_RANGE_CLOEXEC);
    if (plan_.max_file_bytes > 0) {
      const rlimit limit{plan_.max_file_bytes, plan_.max_file_bytes};
      ::setrlimit(RLIMIT_FSIZE, &limit);
    }
    std::string platform = "--platform";
    std::array<char*, 3> arguments{plan_.program.data(), platform.data(),
                                   nullptr};
    std::array<char*, 2> environment{plan_.environment.data(), nullptr};
    ::execve(plan_.program.c_str(), arguments.data(), environment.data());
    ::_exit(127);
  }
  process_ = child;
  return {};
}

auto DaemonProcess::Signal(int number) -> void {
  if (process_ > 0) ::kill(process_, number);
}

auto DaemonProcess::Running() -> bool {
  if (process_ <= 0) return false;
  if (::waitpid(process_, &end_status_, WNOHANG) != process_) return true;
  process_ = -1;
  return false;
}

}  // namespace dotterellug::soak
