// Measures parsing, section sizes and heap memory of the serving document at
// growing sizes. Prints CSV; one size per process. Key material is random and
// does not change sizes. Usage: document_capacity UPSTREAMS MODELS ACCOUNTS

#include <malloc.h>
#include <sys/resource.h>

#include <cstdio>
#include <cstdlib>
#include <string>

#include "document/document.h"

namespace dotterellug {
namespace {

auto HeapBytes() -> double {
  const auto info = mallinfo2();
  return static_cast<double>(info.uordblks + info.hblkhd);
}

auto PeakMegabytes() -> double {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  return static_cast<double>(usage.ru_maxrss) / 1024;
}

auto MakeTexts(int upstreams, int models, int accounts) -> DocumentTexts {
  const auto digest_key = DigestKey::FromHex(std::string(64, '5')).value();
  ServingDocument document;
  for (int i = 0; i < 12; ++i) {
    const AvailabilityZoneId id("zone-" + std::to_string(i));
    document.zones[id].id = id;
  }
  for (int i = 0; i < upstreams; ++i) {
    Upstream upstream;
    upstream.id = UpstreamId("engine-" + std::to_string(i));
    upstream.pool = PoolId("pool");
    upstream.zone = AvailabilityZoneId("zone-" + std::to_string(i % 12));
    upstream.host =
        "127.0." + std::to_string(i / 250) + "." + std::to_string(i % 250 + 1);
    upstream.port = 8000;
    upstream.memory = Bytes(640LL << 30U);
    document.upstreams.emplace(upstream.id, upstream);
  }
  for (int i = 0; i < models; ++i) {
    Model model;
    model.id = ModelId("model-" + std::to_string(i));
    model.version = "v1";
    model.weight_bytes = Bytes(40LL << 30U);
    model.kv_bytes_per_token = Bytes(65'536);
    document.models.emplace(model.id, model);
  }
  for (int i = 0; i < accounts; ++i) {
    ClientAccount account;
    account.id = ClientAccountId("account-" + std::to_string(i));
    account.limit = {Tokens(1000), Tokens(4000)};
    document.accounts.emplace(account.id, account);
    const auto issued = IssueKey(account.id, RandomKeyMaterial(), digest_key);
    document.keys.emplace(issued.entry.id, issued.entry);
  }
  return FormatDocument(document);
}

auto Measure(int upstreams, int models, int accounts) -> void {
  const auto texts = MakeTexts(upstreams, models, accounts);
  std::size_t bytes = 0;
  for (const auto section : kAllSections) bytes += texts.Get(section).size();
  const auto heap_before = HeapBytes();
  const auto begin = MonotonicNow();
  auto document = ParseDocument(texts);
  const auto parse = ToSeconds(MonotonicNow() - begin);
  if (!document) std::abort();
  const auto document_bytes = HeapBytes() - heap_before;
  const ParsedDocument previous{texts, *document};
  std::printf("%d,%d,%d,%zu,%.1f,%.0f,%.1f", upstreams, models, accounts, bytes,
              parse * 1e3, document_bytes, PeakMegabytes());
  for (const auto section :
       {Section::kUpstreams, Section::kModels, Section::kAccounts}) {
    auto changed = texts;
    changed.Set(section, texts.Get(section) + "# changed\n");
    const auto change_begin = MonotonicNow();
    if (!ParseChanges(previous, changed)) std::abort();
    std::printf(",%zu,%.1f", texts.Get(section).size(),
                ToSeconds(MonotonicNow() - change_begin) * 1e3);
  }
  std::printf("\n");
}

}  // namespace
}  // namespace dotterellug

auto main(int argc, char** argv) -> int {
  if (argc != 4) {
    std::fprintf(stderr,
                 "usage: document_capacity UPSTREAMS MODELS ACCOUNTS\n");
    return 2;
  }
  std::printf(
      "upstreams,models,accounts,text_bytes,parse_ms,document_bytes,"
      "peak_process_mb,upstreams_bytes,upstreams_change_ms,models_bytes,"
      "models_change_ms,accounts_bytes,accounts_change_ms\n");
  dotterellug::Measure(std::atoi(argv[1]), std::atoi(argv[2]),
                       std::atoi(argv[3]));
  return 0;
}
