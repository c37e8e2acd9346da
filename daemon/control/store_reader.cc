#include "daemon/control/store_reader.h"

#include <algorithm>

namespace dotterellug {
namespace {

// One second of watching keeps the proof of currency fresh.
constexpr Duration kWatchWait = std::chrono::seconds(1);
constexpr Duration kFirstBackoff = std::chrono::milliseconds(100);
constexpr Duration kLongestBackoff = std::chrono::seconds(2);

}  // namespace

StoreReader::StoreReader(const std::function<auto()->ObjectStore>& open,
                         Send send)
    : watch_(open()), repository_(open()), send_(std::move(send)) {
  thread_ = std::thread([this] { Run(); });
}

StoreReader::~StoreReader() {
  stopping_ = true;
  thread_.join();
}

auto StoreReader::Fetch(const RevisionRef& ref) -> bool {
  const auto loaded = repository_.Load(ref);
  if (!loaded) return false;
  const auto texts = ToDocumentTexts(loaded->texts);
  if (!texts) {
    send_(RevisionRejected{ref, texts.error().Text()});
    return true;
  }
  auto document =
      parsed_ ? ParseChanges(*parsed_, *texts) : ParseDocument(*texts);
  if (!document) {
    send_(RevisionRejected{ref, document.error().Text()});
    return true;
  }
  parsed_ = ParsedDocument{*texts, *document};
  send_(RevisionFetched{ref, std::move(*document)});
  return true;
}

auto StoreReader::Run() -> void {
  auto backoff = kFirstBackoff;
  while (!stopping_) {
    const auto asked_at = MonotonicNow();
    const auto next = watch_.Next(wanted_ ? Duration::zero() : kWatchWait);
    if (!next) {
      send_(StoreFailed{});
      std::this_thread::sleep_for(backoff);
      backoff = std::min(backoff * 2, kLongestBackoff);
      continue;
    }
    backoff = kFirstBackoff;
    send_(StoreAnswered{asked_at, *next});
    const bool newer = *next && (*next)->number.Value() > 0;
    if (newer) wanted_ = **next;
    if (!wanted_) continue;
    if (Fetch(*wanted_)) {
      wanted_.reset();
    } else {
      send_(StoreFailed{});
      std::this_thread::sleep_for(backoff);
    }
  }
}

}  // namespace dotterellug
