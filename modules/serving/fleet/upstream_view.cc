#include "serving/fleet/upstream_view.h"

#include <algorithm>
#include <cmath>

namespace dotterellug::serving {
namespace {

// Weight of the latest attempt in the moving average of failures.
constexpr double kLatestAttemptWeight = 0.15;
// Consecutive failures to reach an upstream after which it is suspected.
constexpr int kUnreachableThreshold = 2;
// Duration of the first suspicion. It doubles with each further failure, up to
// a maximum.
constexpr auto kInitialSuspicionDuration = std::chrono::milliseconds(500);
constexpr int kMaxSuspicionDoublings = 2;
// Time for which this daemon's own observation of an upstream is current.
constexpr auto kOwnObservationTtl = std::chrono::milliseconds(1500);
// Duration of a suspicion after other daemons could not reach the upstream.
// Covers four report intervals; reports of other daemons renew it while they
// cannot reach the upstream.
constexpr auto kReportedSuspicionDuration = std::chrono::milliseconds(600);
// Time constant with which a stated load loses its weight: the age at which the
// hub's sum of all daemons' loads arrives, which takes its place.
constexpr auto kStatedLoadTimeConstant = std::chrono::milliseconds(200);
// Multiple of the time constant after which a stated load is disregarded.
constexpr int kDisregardStatedAfter = 5;
// Responses that name another instance after which the address counts as taken.
// A single one may be a delayed duplicate.
constexpr int kConfirmedTaken = 2;

}  // namespace

auto UpstreamView::HasModel(const ModelId& model,
                            const AdapterId& adapter) const -> bool {
  if (model.Empty()) return true;
  for (const auto& loaded : record.models) {
    if (loaded.id != model) continue;
    return adapter.Empty() || loaded.adapters.count(adapter) > 0;
  }
  return false;
}

auto UpstreamView::RecordStatedLoad(const StatedLoad& load, Timestamp now)
    -> void {
  stated_requests_ = static_cast<double>(load.running + load.waiting);
  stated_at_ = now;
  requests_at_statement_ = requests;
}

auto UpstreamView::ExpectedRequests(Timestamp now) const -> double {
  const auto reported = TotalRequests();
  const Duration age = std::max<Duration>(now - stated_at_, Duration::zero());
  if (age >= kDisregardStatedAfter * kStatedLoadTimeConstant) return reported;
  const auto own_since = static_cast<double>(requests - requests_at_statement_);
  const auto stated =
      std::max(stated_requests_ + own_since, static_cast<double>(requests));
  const auto weight =
      std::exp(-ToSeconds(age) / ToSeconds(kStatedLoadTimeConstant));
  return reported + weight * (stated - reported);
}

auto UpstreamView::RecordSuccess(Timestamp now) -> void {
  succeeded_at_ = now;
  failure_rate_ *= 1 - kLatestAttemptWeight;
  consecutive_unreachable_ = 0;
  suspected_until_ = Timestamp{};
}

auto UpstreamView::RecordFailure(Timestamp) -> void {
  failure_rate_ += (1 - failure_rate_) * kLatestAttemptWeight;
}

auto UpstreamView::RecordUnreachable(Timestamp now) -> void {
  RecordFailure(now);
  unreachable_at_ = now;
  ++consecutive_unreachable_;
  const auto doublings = consecutive_unreachable_ - kUnreachableThreshold;
  if (doublings < 0) return;
  suspected_until_ =
      now + kInitialSuspicionDuration *
                (1 << std::min(doublings, kMaxSuspicionDoublings));
}

auto UpstreamView::RecordReportedUnreachable(Timestamp now) -> void {
  if (now - succeeded_at_ < kOwnObservationTtl) return;
  suspected_until_ =
      std::max(suspected_until_, now + kReportedSuspicionDuration);
}

auto UpstreamView::RecentlyUnreachable(Timestamp now) const -> bool {
  return unreachable_at_ > succeeded_at_ &&
         now - unreachable_at_ < kOwnObservationTtl;
}

auto UpstreamView::RecordMisdirected(bool names_another, Timestamp sent_at,
                                     Timestamp now)
    -> std::optional<Timestamp> {
  if (!misdirected_.Record(sent_at, now)) return std::nullopt;
  named_another_ = names_another ? named_another_ + 1 : 0;
  return misdirected_.Until();
}

auto UpstreamView::AddressTaken(Timestamp now) const -> bool {
  return named_another_ >= kConfirmedTaken && misdirected_.Active(now);
}

auto UpstreamView::RecordModelMissing(const ModelId& model,
                                      const AdapterId& adapter,
                                      Timestamp sent_at, Timestamp now)
    -> std::optional<Timestamp> {
  auto& suspicion = missing_models_[{model, adapter}];
  if (!suspicion.Record(sent_at, now)) return std::nullopt;
  return suspicion.Until();
}

auto UpstreamView::ModelMissing(const ModelId& model, const AdapterId& adapter,
                                Timestamp now) const -> bool {
  const auto found = missing_models_.find({model, adapter});
  return found != missing_models_.end() && found->second.Active(now);
}

auto UpstreamView::RecordSent(const ModelId& model, const AdapterId& adapter,
                              Timestamp now) -> void {
  misdirected_.RecordSent(now);
  const auto found = missing_models_.find({model, adapter});
  if (found != missing_models_.end()) found->second.RecordSent(now);
}

auto UpstreamView::RecordServed(const ModelId& model, const AdapterId& adapter)
    -> void {
  misdirected_.Clear();
  named_another_ = 0;
  missing_models_.erase({model, adapter});
}

}  // namespace dotterellug::serving
