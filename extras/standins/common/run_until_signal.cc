#include "standins/common/run_until_signal.h"

#include <csignal>
#include <iostream>
#include <utility>

namespace dotterellug::standins {

auto RunUntilSignal(const std::string& host, std::uint16_t port,
                    HttpServer::Handler handler) -> int {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  const auto server = HttpServer::Start(host, port, std::move(handler));
  if (!server) {
    std::cerr << server.error().Text() << std::endl;
    return 2;
  }
  std::cout << "listening on " << host << ":" << (*server)->Port() << std::endl;
  int signal = 0;
  sigwait(&signals, &signal);
  return 0;
}

}  // namespace dotterellug::standins
