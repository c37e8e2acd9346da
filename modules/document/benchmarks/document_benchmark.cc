#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <string>

#include "document/document.h"

// Cost of parsing the serving document at the target size (5,200 engines, 920
// models, 2,000 accounts with one key) and at a tenth of it, and of checking a
// caller's key. Times of one run are only meaningful as ratios.

namespace dotterellug {
namespace {

auto MakeTexts(int engines, int models, int accounts,
               const DigestKey& digest_key) -> DocumentTexts {
  ServingDocument document;
  for (int i = 0; i < 12; ++i) {
    const AvailabilityZoneId id("zone-" + std::to_string(i));
    document.zones[id].id = id;
  }
  for (int i = 0; i < engines; ++i) {
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

auto SecondsToParse(const DocumentTexts& texts) -> double {
  const auto begin = MonotonicNow();
  constexpr int kRounds = 3;
  for (int i = 0; i < kRounds; ++i) {
    if (!ParseDocument(texts)) std::abort();
  }
  return ToSeconds(MonotonicNow() - begin) / kRounds;
}

auto SecondsToParseChange(const ParsedDocument& previous,
                          const DocumentTexts& texts) -> double {
  const auto begin = MonotonicNow();
  constexpr int kRounds = 3;
  for (int i = 0; i < kRounds; ++i) {
    if (!ParseChanges(previous, texts)) std::abort();
  }
  return ToSeconds(MonotonicNow() - begin) / kRounds;
}

auto Run() -> void {
  const auto digest_key = DigestKey::FromHex(std::string(64, '5')).value();
  const auto tenth = MakeTexts(520, 92, 200, digest_key);
  const auto whole = MakeTexts(5200, 920, 2000, digest_key);
  const auto tenth_seconds = SecondsToParse(tenth);
  const auto whole_seconds = SecondsToParse(whole);
  std::printf("upstreams section: %zu bytes\n",
              whole.Get(Section::kUpstreams).size());
  std::printf("parse, tenth of the target size: %.1f ms\n",
              tenth_seconds * 1e3);
  std::printf("parse, target size: %.1f ms, %.1f times the tenth\n",
              whole_seconds * 1e3, whole_seconds / tenth_seconds);
  auto document = ParseDocument(whole).value();
  const ParsedDocument previous{whole, document};
  for (const auto section : kAllSections) {
    auto changed = whole;
    changed.Set(section, whole.Get(section) + "# changed\n");
    const auto seconds = SecondsToParseChange(previous, changed);
    std::printf("parse a change of %s: %.1f ms, 1/%.1f of all\n",
                std::string(NameOf(section)).c_str(), seconds * 1e3,
                whole_seconds / seconds);
  }
  const auto issued =
      IssueKey(ClientAccountId("account-1"), RandomKeyMaterial(), digest_key);
  document.keys.emplace(issued.entry.id, issued.entry);
  const KeyTable table(document, digest_key);
  constexpr int kLookups = 100'000;
  int accepted = 0;
  const auto begin = MonotonicNow();
  for (int i = 0; i < kLookups; ++i) {
    accepted += table.Lookup(issued.text) ? 1 : 0;
  }
  const auto seconds = ToSeconds(MonotonicNow() - begin);
  if (accepted != kLookups) std::abort();
  std::printf("key check among %zu keys: %.2f microseconds\n",
              document.keys.size(), seconds / kLookups * 1e6);
}

}  // namespace
}  // namespace dotterellug

auto main() -> int { dotterellug::Run(); }
