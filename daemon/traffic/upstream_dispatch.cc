#include "daemon/traffic/upstream_dispatch.h"

namespace dotterellug {
namespace {

// Another thread can take the last place between the choice and the count.
constexpr int kChoices = 3;

auto NextSeed() -> std::uint64_t {
  static std::atomic<std::uint64_t> last{0};
  return Hash64("routing", ++last);
}

}  // namespace

UpstreamDispatch::UpstreamDispatch(SharedState& state)
    : state_(state), thread_state_(NextSeed()) {}

auto UpstreamDispatch::Begin(const RoutingTable& table,
                             const RoutingDecision& decision, Tokens uncached)
    -> std::optional<Dispatch> {
  const auto& entry = table.Entries()[decision.chosen.position];
  const auto snapshot = state_.snapshot.Load();
  const auto upstream = snapshot->document.upstreams.find(entry.id);
  if (upstream == snapshot->document.upstreams.end()) return std::nullopt;
  auto ticket = InFlightGuard::Begin(entry.load, uncached, MonotonicNow());
  if (!ticket) return std::nullopt;
  return Dispatch{entry.id,
                  entry.slot,
                  {upstream->second.host, upstream->second.port},
                  std::move(*ticket),
                  decision};
}

auto UpstreamDispatch::Engine(const RoutingRequest& request)
    -> tl::expected<Dispatch, NoUpstreamReason> {
  for (int i = 0; i < kChoices; ++i) {
    const auto table = state_.routing.Load();
    if (!table) return tl::unexpected(NoUpstreamReason::kNoCandidate);
    const auto now = MonotonicNow();
    const auto decision = ChooseEngine(state_.policy, *table, state_.prefixes,
                                       request, thread_state_, now);
    if (!decision) return tl::unexpected(decision.error());
    const auto uncached =
        request.prompt_tokens - decision->chosen.cached_tokens;
    auto dispatch = Begin(*table, *decision, uncached);
    if (!dispatch) continue;
    state_.prefixes.RecordPrompt(request.blocks, dispatch->slot, now);
    return std::move(*dispatch);
  }
  return tl::unexpected(NoUpstreamReason::kConcurrencyLimitReached);
}

auto UpstreamDispatch::Service(const PoolId& pool,
                               const std::vector<UpstreamId>& excluded)
    -> tl::expected<Dispatch, NoUpstreamReason> {
  for (int i = 0; i < kChoices; ++i) {
    const auto table = state_.routing.Load();
    if (!table) return tl::unexpected(NoUpstreamReason::kNoCandidate);
    const auto decision =
        ChooseServiceInstance(*table, pool, excluded, thread_state_);
    if (!decision) return tl::unexpected(decision.error());
    auto dispatch = Begin(*table, *decision, Tokens(0));
    if (dispatch) return std::move(*dispatch);
  }
  return tl::unexpected(NoUpstreamReason::kConcurrencyLimitReached);
}

auto UpstreamDispatch::HasCapacity(const ModelId& model) const -> bool {
  const auto table = state_.routing.Load();
  if (!table) return false;
  const auto* candidates =
      table->ForModel(model, RequestPhase::kPrefillAndDecode);
  if (candidates == nullptr) return false;
  for (const auto position : *candidates) {
    if (table->Entries()[position].load->HasCapacity()) return true;
  }
  return false;
}

auto UpstreamDispatch::MayServe(UpstreamSlot slot) const -> bool {
  const auto table = state_.routing.Load();
  return table && table->PositionOfSlot(slot).has_value();
}

}  // namespace dotterellug
