// Measures the size of an owner record, which every member of a shard reads
// every 500 ms, and the time to parse it, by the number of members. Prints CSV;
// the content is fixed and needs no seed.

#include <cstdio>
#include <cstdlib>
#include <string>

#include "core/time/time.h"
#include "ownership/ownership.h"

namespace dotterellug {
namespace {

constexpr int kRounds = 200;

auto Measure(int members) -> void {
  OwnerRecord record;
  record.term = Term(12);
  for (int i = 0; i < members; ++i) {
    record.AddMember({InstanceId("instance-" + std::to_string(i)),
                      Incarnation(1'700'000'000'000)});
  }
  record.owner = record.members.front();
  const auto value = EncodeOwnerRecord(record);
  const auto begin = MonotonicNow();
  for (int i = 0; i < kRounds; ++i) {
    if (!ParseOwnerRecord(value)) std::abort();
  }
  std::printf("%d,%zu,%.1f\n", members, value.size(),
              ToSeconds(MonotonicNow() - begin) / kRounds * 1e6);
}

}  // namespace
}  // namespace dotterellug

auto main() -> int {
  std::printf("members,record_bytes,parse_us\n");
  for (const int members : {8, 66, 132, 265, 530}) {
    dotterellug::Measure(members);
  }
  return 0;
}
