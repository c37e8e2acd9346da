// Stand-in for the platform's object API.

#include <gflags/gflags.h>

#include "standins/common/run_until_signal.h"
#include "standins/object_api/object_api_server.h"

DEFINE_string(host, "127.0.0.1", "address to listen on, in 127.0.0.0/8");
DEFINE_uint32(port, 0, "port to listen on; 0 chooses one");
DEFINE_double(writes_per_second, 400, "rate of updates");
DEFINE_double(reads_per_second, 2000, "rate of reads, lists and watches");

auto main(int argc, char** argv) -> int {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  dotterellug::standins::ObjectApiServer server(
      {FLAGS_writes_per_second, FLAGS_reads_per_second});
  return dotterellug::standins::RunUntilSignal(
      FLAGS_host, static_cast<std::uint16_t>(FLAGS_port),
      [&](const auto& request) { return server.Handle(request); });
}
