// Stand-in for the weight store.

#include <gflags/gflags.h>

#include "standins/common/run_until_signal.h"
#include "standins/weight_store/weight_store_server.h"

DEFINE_string(host, "127.0.0.1", "address to listen on, in 127.0.0.0/8");
DEFINE_uint32(port, 0, "port to listen on; 0 chooses one");
DEFINE_double(loads_per_second, 1.5, "total rate of loads");
DEFINE_uint32(parallel_loads, 5, "loads at full speed together");

auto main(int argc, char** argv) -> int {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  dotterellug::standins::WeightStoreServer server(
      {FLAGS_loads_per_second,
       static_cast<std::int64_t>(FLAGS_parallel_loads)});
  return dotterellug::standins::RunUntilSignal(
      FLAGS_host, static_cast<std::uint16_t>(FLAGS_port),
      [&](const auto& request) { return server.Handle(request); });
}
