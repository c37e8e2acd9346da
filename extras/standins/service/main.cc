#include <gflags/gflags.h>

#include <csignal>
#include <iostream>

#include "standins/service/service_server.h"

DEFINE_string(id, "service", "Name of this instance in its ledger.");
DEFINE_string(address, "127.0.0.1", "IPv4 address to listen on.");
DEFINE_int32(port, 0, "TCP port; 0 takes a free one, printed at start.");
DEFINE_int64(work_us, 5000, "Microseconds that each call takes.");

auto main(int argc, char** argv) -> int {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  sigset_t stop_signals;
  sigemptyset(&stop_signals);
  sigaddset(&stop_signals, SIGTERM);
  sigaddset(&stop_signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &stop_signals, nullptr);
  dotterellug::standins::ServiceOptions options;
  options.id = FLAGS_id;
  options.address = FLAGS_address;
  options.port = static_cast<std::uint16_t>(FLAGS_port);
  options.work_time = dotterellug::Duration(FLAGS_work_us);
  auto service = dotterellug::standins::ServiceServer::Start(options);
  if (!service) {
    std::cerr << service.error().Text() << "\n";
    return 1;
  }
  std::cout << "listening " << (*service)->Port() << std::endl;
  int received = 0;
  sigwait(&stop_signals, &received);
  return 0;
}
