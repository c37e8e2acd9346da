// Stand-in for the platform's instance list.

#include <gflags/gflags.h>

#include "standins/common/run_until_signal.h"
#include "standins/instance_list/instance_list_server.h"

DEFINE_string(host, "127.0.0.1", "address to listen on, in 127.0.0.0/8");
DEFINE_uint32(port, 0, "port to listen on; 0 chooses one");
DEFINE_uint32(lag_ms, 2000, "age of the list that is reported");

auto main(int argc, char** argv) -> int {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  dotterellug::standins::InstanceListServer server(
      std::chrono::milliseconds(FLAGS_lag_ms), &dotterellug::MonotonicNow);
  return dotterellug::standins::RunUntilSignal(
      FLAGS_host, static_cast<std::uint16_t>(FLAGS_port),
      [&](const auto& request) { return server.Handle(request); });
}
