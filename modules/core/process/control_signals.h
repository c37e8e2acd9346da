#pragma once

#include <pthread.h>

#include <csignal>

namespace dotterellug {

// The signals by which a platform stops a process or has it read its settings
// again.
inline auto ControlSignals() -> sigset_t {
  sigset_t signals;
  sigemptyset(&signals);
  for (const int number : {SIGTERM, SIGINT, SIGHUP}) {
    sigaddset(&signals, number);
  }
  return signals;
}

// Holds the control signals back in this thread and in those that it starts, so
// that one which comes before the program can act on it does not end it.
inline auto BlockControlSignals() -> void {
  const auto signals = ControlSignals();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

// Whether a signal that stops the process is held back.
inline auto StopSignalPending() -> bool {
  sigset_t pending;
  sigemptyset(&pending);
  sigpending(&pending);
  return sigismember(&pending, SIGTERM) == 1 ||
         sigismember(&pending, SIGINT) == 1;
}

// Delivers control signals to this thread from now on, with those held back.
inline auto UnblockControlSignals() -> void {
  const auto signals = ControlSignals();
  pthread_sigmask(SIG_UNBLOCK, &signals, nullptr);
}

// Lets a write that cannot succeed return an error instead of ending the
// process: to a closed connection or pipe, or beyond the system's limit on file
// sizes, which a log file may reach.
inline auto IgnoreWriteSignals() -> void {
  std::signal(SIGPIPE, SIG_IGN);
  std::signal(SIGXFSZ, SIG_IGN);
}

}  // namespace dotterellug
