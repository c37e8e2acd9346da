// Measures the size of a claim log and the time to encode and parse it. The
// owner rewrites the whole log for each group of claims, so this is the cost of
// one group. Prints CSV; the content is fixed and needs no seed.

#include <cstdio>
#include <cstdlib>
#include <string>

#include "idempotency/idempotency.h"

namespace dotterellug {
namespace {

constexpr int kRounds = 20;

auto MakeLog(int records, std::size_t body_bytes) -> ClaimLog {
  ClaimLog log;
  log.term = Term(3);
  for (int i = 0; i < records; ++i) {
    // 32-byte digests in hexadecimal digits.
    auto digest = std::to_string(i);
    digest.insert(0, 64 - digest.size(), '0');
    ClaimRecord record;
    record.key = ClaimKey(digest);
    record.request = RequestDigest(digest);
    record.claimant = {{InstanceId("instance-" + std::to_string(i % 530)),
                        Incarnation(1'700'000'000'000)},
                       i};
    record.state = ClaimState::kDone;
    record.response = {200, std::string(body_bytes, 'x'), true};
    log.records.push_back(std::move(record));
  }
  return log;
}

auto Measure(int records, std::size_t body_bytes) -> void {
  const auto log = MakeLog(records, body_bytes);
  const auto value = EncodeClaimLog(log);
  auto begin = MonotonicNow();
  std::size_t encoded = 0;
  for (int i = 0; i < kRounds; ++i) encoded += EncodeClaimLog(log).size();
  const auto encode = ToSeconds(MonotonicNow() - begin) / kRounds;
  if (encoded != value.size() * kRounds) std::abort();
  begin = MonotonicNow();
  bool readable = true;
  for (int i = 0; i < kRounds; ++i) {
    readable = ParseClaimLog(value).has_value() && readable;
  }
  const auto parse = ToSeconds(MonotonicNow() - begin) / kRounds;
  std::printf("%d,%zu,%zu,%.1f,%.1f,%s\n", records, body_bytes, value.size(),
              encode * 1e6, parse * 1e6, readable ? "yes" : "no");
}

}  // namespace
}  // namespace dotterellug

auto main() -> int {
  std::printf("records,body_bytes,log_bytes,encode_us,parse_us,readable\n");
  for (const std::size_t body_bytes : {0, 200}) {
    for (const int records : {125, 250, 500, 1000, 2000}) {
      dotterellug::Measure(records, body_bytes);
    }
  }
  return 0;
}
