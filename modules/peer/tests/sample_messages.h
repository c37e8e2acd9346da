#pragma once

#include <string>

#include "core/random/random.h"
#include "peer/peer.h"

namespace dotterellug::testing {

// Random messages of each kind, for tests and for the size benchmark.
class SampleMessages {
 public:
  explicit SampleMessages(std::uint64_t seed) : random_(seed) {}

  auto Budget(std::size_t kind) -> BudgetMessage {
    switch (kind) {
      case 0:
        return Announcement();
      case 1:
        return HoldingsReport{
            Id<ShardId>(), Term{N()}, Member(), {Held(), Held()}};
      case 2:
        return ChangeShare{Id<ShardId>(),        Term{N()},
                           Id<BudgetId>(),       N(),
                           PartsPerMillion{N()}, MicroTokens{N()}};
      case 3:
        return ShareChanged{Id<ShardId>(),  Term{N()}, Member(),
                            Id<BudgetId>(), N(),       MicroTokens{-N()}};
      case 4:
        return DemandReport{Id<ShardId>(), Member(), N(), {Demand(), Demand()}};
      case 5:
        return TransferRequest{
            Id<ShardId>(), {Member(), N()}, Id<BudgetId>(), Tokens{N()}};
      default:
        return TransferGrant{
            Id<ShardId>(), {Member(), N()}, Id<BudgetId>(), Tokens{N()}};
    }
  }

  auto Claim(std::size_t kind) -> ClaimMessage {
    switch (kind) {
      case 0:
        return Announcement();
      case 1:
        return ClaimReport{
            Id<ShardId>(), Term{N()}, Member(), {Record(), Record()}};
      case 2:
        return ClaimRequest{Id<ShardId>(), Id<ClaimKey>(), Id<RequestDigest>(),
                            Claimant()};
      case 3:
        return ClaimAnswer{Id<ShardId>(), Id<ClaimKey>(), Claimant(),
                           Verdict()};
      case 4:
        return ClaimResult{Id<ShardId>(), Id<ClaimKey>(), Claimant(), State(),
                           Response()};
      case 5:
        return ClaimResultStored{Id<ShardId>(), Id<ClaimKey>(), Claimant()};
      case 6:
        return CountersignRequest{Id<ShardId>(), Term{N()}, Member(), Record()};
      default:
        return Countersigned{Id<ShardId>(), Term{N()}, Id<ClaimKey>(),
                             Claimant(), Member()};
    }
  }

  auto Membership() -> MemberMessage {
    return {MessageKind::kAck, Statement(),      RevisionNumber{N()},       N(),
            random_.Next(),    Id<InstanceId>(), {Statement(), Statement()}};
  }
  auto Below(std::uint64_t bound) -> std::uint64_t {
    return random_.Below(bound);
  }

 private:
  auto N() -> std::int64_t {
    return static_cast<std::int64_t>(random_.Next() >> random_.Below(63) >> 1);
  }
  template <typename Name>
  auto Id() -> Name {
    return Name("name-" + std::to_string(random_.Below(100'000)));
  }
  auto Member() -> MemberId { return {Id<InstanceId>(), Incarnation{N()}}; }
  auto Announcement() -> TermAnnouncement {
    return {Id<ShardId>(), Term{N()}, Member()};
  }
  auto Held() -> Holding { return {Id<BudgetId>(), PartsPerMillion{N()}}; }
  auto Demand() -> DemandTotal {
    return {Id<BudgetId>(), Tokens{N()}, Tokens{N()}, Tokens{N()}};
  }
  auto Claimant() -> ClaimantId { return {Member(), N()}; }
  auto State() -> ClaimState {
    return static_cast<ClaimState>(random_.Below(3));
  }
  auto Response() -> StoredResponse {
    std::string body(random_.Below(40), '\0');
    for (auto& byte : body) byte = static_cast<char>(random_.Next());
    return {static_cast<int>(random_.Below(600)), body, random_.Below(2) == 0};
  }
  auto Record() -> ClaimRecord {
    return {Id<ClaimKey>(), Id<RequestDigest>(),
            Claimant(),     State(),
            Response(),     WallTime(std::chrono::milliseconds(N()))};
  }
  auto Verdict() -> ClaimVerdict {
    switch (random_.Below(6)) {
      case 0:
        return RunGranted{};
      case 1:
        return InProgress{};
      case 2:
        return FirstResponse{Response()};
      case 3:
        return OutcomeUnknown{};
      case 4:
        return DifferentRequest{};
      default:
        return ClaimRejected{{ErrorKind::kExhausted, "full", "wait"}};
    }
  }
  auto Statement() -> MemberStatement {
    return {Id<InstanceId>(),         {Incarnation{N()}, StatementNumber{N()}},
            Id<AvailabilityZoneId>(), "10.0.0.1:7000",
            random_.Below(2) == 0,    random_.Below(2) == 0};
  }

  Random random_;
};

}  // namespace dotterellug::testing
