#include "peer/codec/budget_codec.h"

#include "peer/codec/ownership_codec.h"
#include "peer/codec/variant_codec.h"

namespace dotterellug {

namespace {

// In the order of BudgetMessage.
constexpr std::array<std::string_view, 7> kMethods{
    "budget.announce_term",  "budget.report_holdings",
    "budget.change_share",   "budget.share_changed",
    "budget.report_demand",  "budget.request_transfer",
    "budget.grant_transfer",
};

}  // namespace

template <typename Archive>
auto Describe(Archive& archive,
              typename Archive::template Access<Holding>& holding) -> void {
  auto& [budget, share] = holding;
  archive("budget", budget);
  archive("share", share);
}

template <typename Archive>
auto Describe(Archive& archive,
              typename Archive::template Access<HoldingsReport>& message)
    -> void {
  auto& [shard, term, member, holdings] = message;
  archive("shard", shard);
  archive("term", term);
  archive("member", member);
  archive("holdings", holdings);
}

template <typename Archive>
auto Describe(Archive& archive,
              typename Archive::template Access<ChangeShare>& message) -> void {
  auto& [shard, term, budget, sequence, share, tokens] = message;
  archive("shard", shard);
  archive("term", term);
  archive("budget", budget);
  archive("sequence", sequence);
  archive("share", share);
  archive("tokens", tokens);
}

template <typename Archive>
auto Describe(Archive& archive,
              typename Archive::template Access<ShareChanged>& message)
    -> void {
  auto& [shard, term, member, budget, sequence, released] = message;
  archive("shard", shard);
  archive("term", term);
  archive("member", member);
  archive("budget", budget);
  archive("sequence", sequence);
  archive("released", released);
}

template <typename Archive>
auto Describe(Archive& archive,
              typename Archive::template Access<DemandTotal>& total) -> void {
  auto& [budget, admitted, refused, largest] = total;
  archive("budget", budget);
  archive("admitted", admitted);
  archive("refused", refused);
  archive("largest", largest);
}

template <typename Archive>
auto Describe(Archive& archive,
              typename Archive::template Access<DemandReport>& message)
    -> void {
  auto& [shard, member, sequence, totals] = message;
  archive("shard", shard);
  archive("member", member);
  archive("sequence", sequence);
  archive("totals", totals);
}

template <typename Archive>
auto Describe(Archive& archive,
              typename Archive::template Access<TransferId>& id) -> void {
  auto& [requester, sequence] = id;
  archive("requester", requester);
  archive("sequence", sequence);
}

template <typename Archive>
auto Describe(Archive& archive,
              typename Archive::template Access<TransferRequest>& message)
    -> void {
  auto& [shard, id, budget, amount] = message;
  archive("shard", shard);
  archive("id", id);
  archive("budget", budget);
  archive("amount", amount);
}

template <typename Archive>
auto Describe(Archive& archive,
              typename Archive::template Access<TransferGrant>& message)
    -> void {
  auto& [shard, id, budget, amount] = message;
  archive("shard", shard);
  archive("id", id);
  archive("budget", budget);
  archive("amount", amount);
}

auto BudgetMethods() -> std::vector<std::string> {
  return {kMethods.begin(), kMethods.end()};
}

auto EncodeBudgetMessage(const BudgetMessage& message) -> EncodedMessage {
  return EncodeVariant(kMethods, message);
}

auto DecodeBudgetMessage(const std::string& method,
                         const nlohmann::json& parameters)
    -> Result<BudgetMessage> {
  return DecodeAlternative<BudgetMessage>(NamePosition(kMethods, method),
                                          parameters);
}

}  // namespace dotterellug
