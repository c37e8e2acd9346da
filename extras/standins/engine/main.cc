#include <gflags/gflags.h>

#include <csignal>
#include <iostream>
#include <sstream>

#include "standins/engine/engine_server.h"

DEFINE_string(id, "engine", "Name of this engine in its ledger.");
DEFINE_string(address, "127.0.0.1", "IPv4 address to listen on.");
DEFINE_int32(port, 0, "TCP port; 0 takes a free one, printed at start.");
DEFINE_int64(memory_bytes, 80'000'000'000, "Accelerator memory.");
DEFINE_bool(checks_fencing, false, "Reject commands with an old number.");
DEFINE_int64(max_batch, 32, "Requests that run at once.");
DEFINE_int64(cold_concurrency, 2, "Requests that a cold engine bears.");
DEFINE_int64(cold_responses, 0, "Responses until warm; 0 starts warm.");
DEFINE_int64(prefill_us, 50, "Microseconds of prefill for each token.");
DEFINE_int64(token_us, 10'000, "Microseconds between tokens when idle.");
DEFINE_int64(report_lag_ms, 200, "Age of load reports.");
DEFINE_string(preload, "",
              "Models loaded at start: NAME:VERSION:BYTES, comma-separated.");

namespace {

auto Preload(dotterellug::standins::EngineMemory& memory) -> bool {
  std::istringstream entries(FLAGS_preload);
  for (std::string entry; std::getline(entries, entry, ',');) {
    std::istringstream parts(entry);
    std::string name;
    std::string version;
    std::int64_t bytes = 0;
    if (!std::getline(parts, name, ':') || !std::getline(parts, version, ':') ||
        !(parts >> bytes)) {
      return false;
    }
    memory.Apply({"preload", 0, "load_model", name, version,
                  dotterellug::Bytes(bytes), ""});
  }
  return true;
}

}  // namespace

auto main(int argc, char** argv) -> int {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  sigset_t stop_signals;
  sigemptyset(&stop_signals);
  sigaddset(&stop_signals, SIGTERM);
  sigaddset(&stop_signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &stop_signals, nullptr);
  dotterellug::standins::EngineOptions options;
  options.id = FLAGS_id;
  options.address = FLAGS_address;
  options.port = static_cast<std::uint16_t>(FLAGS_port);
  options.memory = dotterellug::Bytes(FLAGS_memory_bytes);
  options.checks_fencing = FLAGS_checks_fencing;
  options.max_batch = FLAGS_max_batch;
  options.cold_concurrency = FLAGS_cold_concurrency;
  options.cold_responses = FLAGS_cold_responses;
  options.prefill_per_token = dotterellug::Duration(FLAGS_prefill_us);
  options.token_interval = dotterellug::Duration(FLAGS_token_us);
  options.report_lag = std::chrono::milliseconds(FLAGS_report_lag_ms);
  auto engine = dotterellug::standins::EngineServer::Start(options);
  if (!engine) {
    std::cerr << engine.error().Text() << "\n";
    return 1;
  }
  if (!Preload((*engine)->Memory())) {
    std::cerr << "--preload '" << FLAGS_preload
              << "' is not a list of NAME:VERSION:BYTES\n";
    return 2;
  }
  std::cout << "listening " << (*engine)->Port() << std::endl;
  int received = 0;
  sigwait(&stop_signals, &received);
  return 0;
}
