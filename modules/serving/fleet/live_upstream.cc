#include "serving/fleet/live_upstream.h"

#include <algorithm>

namespace dotterellug::serving {
namespace {

// Weight of the newest attempt in the failure rate and the pace.
constexpr double kNewestWeight = 0.15;
// An upstream that could not be reached so often in a row is left out.
constexpr int kUnreachableLimit = 2;
// First time for which it is left out; doubles up to the longest.
constexpr auto kFirstSuspicion = std::chrono::milliseconds(500);
constexpr int kMostDoublings = 2;
// What this daemon has seen of an upstream counts for this long.
constexpr auto kOwnWord = std::chrono::milliseconds(1500);
// Time for which an upstream is left out after others could not reach it: four
// reports, in which they say so again if that goes on.
constexpr auto kSharedSuspicion = std::chrono::milliseconds(600);

}  // namespace

auto LiveUpstream::Holds(const ModelId& model, const AdapterId& adapter) const
    -> bool {
  if (model.Empty()) return true;
  for (const auto& held : record.models) {
    if (held.id != model) continue;
    return adapter.Empty() || held.adapters.count(adapter) > 0;
  }
  return false;
}

auto LiveUpstream::NoteSuccess(Timestamp now) -> void {
  succeeded_at_ = now;
  failure_rate_ *= 1 - kNewestWeight;
  unreachable_in_a_row_ = 0;
  suspected_until_ = Timestamp{};
}

auto LiveUpstream::NoteFailure(Timestamp) -> void {
  failure_rate_ += (1 - failure_rate_) * kNewestWeight;
}

auto LiveUpstream::NoteUnreachable(Timestamp now) -> void {
  NoteFailure(now);
  unreachable_at_ = now;
  ++unreachable_in_a_row_;
  const auto beyond = unreachable_in_a_row_ - kUnreachableLimit;
  if (beyond < 0) return;
  suspected_until_ =
      now + kFirstSuspicion * (1 << std::min(beyond, kMostDoublings));
}

auto LiveUpstream::NoteUnreachableElsewhere(Timestamp now) -> void {
  if (now - succeeded_at_ < kOwnWord) return;
  suspected_until_ = std::max(suspected_until_, now + kSharedSuspicion);
}

auto LiveUpstream::UnreachableLately(Timestamp now) const -> bool {
  return unreachable_at_ > succeeded_at_ && now - unreachable_at_ < kOwnWord;
}

auto LiveUpstream::NoteMissing(const ModelId& model, const AdapterId& adapter)
    -> void {
  auto& models = record.models;
  for (auto held = models.begin(); held != models.end(); ++held) {
    if (held->id != model) continue;
    if (adapter.Empty()) {
      models.erase(held);
    } else {
      held->adapters.erase(adapter);
    }
    return;
  }
}

}  // namespace dotterellug::serving
