#pragma once

#include <sys/types.h>

#include <cstddef>
#include <string>

#include "core/core.h"

namespace dotterellug::soak {

// How one daemon is started.
struct DaemonPlan {
  std::string program;
  // Entry of its environment that names its settings file.
  std::string environment;
  std::string log_file;
  // The system's limit on the size of files that it writes; 0 for none.
  std::size_t max_file_bytes = 0;
};

// A dotterellugd that this program started. Only its own process is ever
// signalled.
class DaemonProcess {
 public:
  explicit DaemonProcess(DaemonPlan plan) : plan_(std::move(plan)) {}
  DaemonProcess(const DaemonProcess&) = delete;
  auto operator=(const DaemonProcess&) -> DaemonProcess& = delete;
  ~DaemonProcess();

  auto Start() -> Result<void>;
  auto Signal(int number) -> void;
  // Notes when the process has ended; returns whether it runs.
  auto Running() -> bool;
  // The process that runs, or -1.
  auto Id() const -> pid_t { return process_; }
  // How the last process ended, as waitpid reports it.
  auto EndStatus() const -> int { return end_status_; }

 private:
  DaemonPlan plan_;
  pid_t process_ = -1;
  int end_status_ = 0;
};

}  // namespace dotterellug::soak
