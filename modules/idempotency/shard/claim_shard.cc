#include "idempotency/shard/claim_shard.h"

#include <algorithm>
#include <utility>

#include "core/variant/overloaded.h"

namespace dotterellug {
namespace {

auto Append(ClaimActions* to, ClaimActions from) -> void {
  for (auto& action : from) to->push_back(std::move(action));
}

}  // namespace

ClaimShard::ClaimShard(ShardId shard, MemberId self, ClaimPolicy policy)
    : shard_(shard),
      self_(self),
      policy_(policy),
      agent_(shard, self),
      member_(shard, self),
      claimant_(std::move(shard), std::move(self)) {}

auto ClaimShard::Tick(ClaimTime now) -> ClaimActions {
  auto actions = CarryOut(agent_.Tick(), now);
  member_.Expire(now.wall, policy_.retention);
  for (const auto& message : claimant_.Unanswered()) {
    Append(&actions, SendToOwner(message));
  }
  if (!owner_) return actions;
  ++helper_offset_;
  Append(&actions, owner_->Tick(Helpers(), now));
  if (owner_->AllWritten()) {
    Append(&actions, CarryOut(agent_.ForgetDeparted(), now));
  }
  return actions;
}

auto ClaimShard::TakeOver(ClaimTime now) -> ClaimActions {
  return CarryOut(agent_.TakeOver(), now);
}

auto ClaimShard::OnRead(const ObjectRecord& object, ClaimTime now)
    -> ClaimActions {
  if (object.name == OwnerObjectName(shard_)) {
    return CarryOut(agent_.OnRead(object), now);
  }
  if (!owner_) return {};
  return owner_->OnRead(object, now);
}

auto ClaimShard::OnWrite(const WriteObject& write, WriteOutcome outcome,
                         ObjectVersion version, ClaimTime now) -> ClaimActions {
  if (write.name == OwnerObjectName(shard_)) {
    return CarryOut(agent_.OnWrite(outcome), now);
  }
  if (!owner_) return {};
  // A write of an earlier ownership of this process is not the pending one.
  const auto log = ParseClaimLog(write.value);
  if (!log || log->term != agent_.OwnedTerm()) return {};
  return owner_->OnWrite(write.expected, outcome, version, now);
}

auto ClaimShard::OnMessage(const ClaimMessage& message, ClaimTime now)
    -> ClaimActions {
  return std::visit(
      Overloaded{
          [&](const TermAnnouncement& announcement) {
            return CarryOut(agent_.OnAnnouncement(announcement), now);
          },
          [&](const ClaimReport& report) { return OnReport(report, now); },
          [&](const ClaimRequest& request) -> ClaimActions {
            if (!owner_) return {};
            return owner_->OnClaim(request, now);
          },
          [&](const ClaimAnswer& answer) {
            return claimant_.OnAnswer(answer, known_owner_);
          },
          [&](const ClaimResult& result) -> ClaimActions {
            if (!owner_) return {};
            return owner_->OnResult(result, now);
          },
          [&](const ClaimResultStored& stored) -> ClaimActions {
            claimant_.OnResultStored(stored);
            return {};
          },
          [&](const CountersignRequest& request) -> ClaimActions {
            const auto answer = member_.OnCountersign(request);
            if (!answer) return {};
            return {SendClaimMessage{request.owner, *answer}};
          },
          [&](const Countersigned& countersigned) {
            return OnCountersigned(countersigned);
          }},
      message);
}

auto ClaimShard::OnMemberTerminated(const MemberId& member, ClaimTime now)
    -> ClaimActions {
  if (owner_) owner_->OnMemberTerminated(member);
  return CarryOut(agent_.OnMemberTerminated(member), now);
}

auto ClaimShard::Begin(const ClaimKey& key, const RequestDigest& request)
    -> BegunClaim {
  const auto message = claimant_.Begin(key, request);
  return {message.claimant, SendToOwner(message)};
}

auto ClaimShard::Finish(const ClaimantId& claimant, ClaimState state,
                        const StoredResponse& response) -> ClaimActions {
  claimant_.Finish(claimant, state, response);
  ClaimActions actions;
  for (const auto& message : claimant_.Unanswered()) {
    const auto* result = std::get_if<ClaimResult>(&message);
    if (result == nullptr || !(result->claimant == claimant)) continue;
    Append(&actions, SendToOwner(message));
  }
  return actions;
}

auto ClaimShard::CarryOut(const OwnershipActions& actions, ClaimTime now)
    -> ClaimActions {
  ClaimActions result;
  for (const auto& action : actions) {
    std::visit(
        Overloaded{
            [&](const ReadObject& read) { result.emplace_back(read); },
            [&](const WriteObject& write) { result.emplace_back(write); },
            [&](const AnnounceTerm& announce) {
              result.emplace_back(
                  SendClaimMessage{announce.to, announce.announcement});
            },
            [&](const AcknowledgeTerm& acknowledge) {
              Append(&result, AcknowledgeTo(acknowledge, now));
            },
            [&](const OwnershipGained& gained) {
              owner_.emplace(shard_, gained.term, self_, agent_.Terminated(),
                             policy_);
            },
            [&](const BarrierCompleted& completed) {
              Append(&result, owner_->OnBarrierCompleted(
                                  completed.reports_may_be_missing, now));
            },
            [&](const OwnershipLost&) { owner_.reset(); }},
        action);
  }
  return result;
}

auto ClaimShard::AcknowledgeTo(const AcknowledgeTerm& acknowledge,
                               ClaimTime now) -> ClaimActions {
  const auto report = member_.Acknowledge(acknowledge.term);
  if (!report) return {};
  known_owner_ = acknowledge.owner;
  if (acknowledge.owner == self_) return OnReport(*report, now);
  return {SendClaimMessage{acknowledge.owner, *report}};
}

auto ClaimShard::OnReport(const ClaimReport& report, ClaimTime now)
    -> ClaimActions {
  if (!owner_) return {};
  owner_->OnReport(report);
  return CarryOut(agent_.OnAcknowledgement(report.member, report.term), now);
}

auto ClaimShard::OnCountersigned(const Countersigned& countersigned)
    -> ClaimActions {
  if (!owner_) return {};
  // The owner keeps a copy as a member, so that either of the two processes
  // can report the claim to a new owner.
  const auto* record = owner_->Find(countersigned.key);
  if (record == nullptr || !member_.Keep(*record)) return {};
  return owner_->OnCountersigned(countersigned);
}

auto ClaimShard::Helpers() const -> std::vector<MemberId> {
  std::vector<MemberId> helpers;
  const auto& record = agent_.KnownRecord();
  if (!record) return helpers;
  for (const auto& member : record->members) {
    if (member != self_ && !agent_.Terminated().Contains(member)) {
      helpers.push_back(member);
    }
  }
  if (helpers.empty()) return helpers;
  const auto shift = helper_offset_ % helpers.size();
  std::rotate(helpers.begin(),
              helpers.begin() + static_cast<std::ptrdiff_t>(shift),
              helpers.end());
  return helpers;
}

auto ClaimShard::SendToOwner(const ClaimMessage& message) const
    -> ClaimActions {
  if (!known_owner_) return {};
  return {SendClaimMessage{*known_owner_, message}};
}

}  // namespace dotterellug
