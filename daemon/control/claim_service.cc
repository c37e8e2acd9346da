#include "daemon/control/claim_service.h"

#include <sodium.h>

#include <array>

namespace dotterellug {
namespace {

constexpr Duration kTick = std::chrono::milliseconds(500);

// Two calls with equal digests count as one, so the hash is cryptographic.
auto DigestOfParts(std::string_view first, std::string_view second)
    -> std::string {
  std::array<unsigned char, 16> digest{};
  crypto_generichash_state state;
  crypto_generichash_init(&state, nullptr, 0, digest.size());
  const auto update = [&state](std::string_view part) {
    const auto size = static_cast<std::uint64_t>(part.size());
    crypto_generichash_update(
        &state, reinterpret_cast<const unsigned char*>(&size), sizeof size);
    crypto_generichash_update(
        &state, reinterpret_cast<const unsigned char*>(part.data()),
        part.size());
  };
  update(first);
  update(second);
  crypto_generichash_final(&state, digest.data(), digest.size());
  std::array<char, 33> text{};
  sodium_bin2hex(text.data(), text.size(), digest.data(), digest.size());
  return text.data();
}

}  // namespace

ClaimService::ClaimService(const MemberId& self,
                           std::unique_ptr<ObjectStore> store, Send send,
                           Metrics& metrics)
    : store_(std::move(store)),
      send_(std::move(send)),
      metrics_(metrics),
      self_(self) {
  // A shard's log is one object of at most 1 MB, about 3,000 claims, so claims
  // are kept for an hour only.
  ClaimPolicy policy;
  policy.retention = std::chrono::hours(1);
  for (std::size_t i = 0; i < kShards; ++i) {
    parts_.emplace_back(ShardId("claims-" + std::to_string(i)), self, policy);
  }
  thread_ = std::thread([this] { Run(); });
}

ClaimService::~ClaimService() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  queued_changed_.notify_all();
  thread_.join();
}

auto ClaimService::Claim(const ClientAccountId& account,
                         std::string_view idempotency_key,
                         std::string_view request, Timestamp deadline)
    -> ClaimDecision {
  const ClaimKey key(DigestOfParts(account.Value(), idempotency_key));
  const RequestDigest digest(DigestOfParts(request, ""));
  const auto part = Hash64(key.Value()) % kShards;
  std::unique_lock lock(mutex_);
  auto begun = parts_[part].shard.Begin(key, digest);
  const auto claimant = begun.claimant;
  waiting_[claimant] = std::nullopt;
  Enqueue(part, std::move(begun.actions));
  while (!waiting_[claimant]) {
    if (decided_changed_.wait_until(lock, deadline) ==
        std::cv_status::timeout) {
      break;
    }
  }
  auto decision = std::move(waiting_[claimant]);
  waiting_.erase(claimant);
  if (decision) return std::move(*decision);
  // A grant that arrives later must not be used by anybody.
  Enqueue(part, parts_[part].shard.Finish(claimant, ClaimState::kUnknown, {}));
  return ClaimTimedOut{};
}

auto ClaimService::Finish(const ClaimGrant& grant, ClaimState state,
                          const StoredResponse& response) -> void {
  const std::lock_guard lock(mutex_);
  Enqueue(grant.shard,
          parts_[grant.shard].shard.Finish(grant.claimant, state, response));
}

auto ClaimService::PartOf(const ShardId& shard) const
    -> std::optional<std::size_t> {
  for (std::size_t i = 0; i < parts_.size(); ++i) {
    if (parts_[i].id == shard) return i;
  }
  return std::nullopt;
}

auto ClaimService::OnMessage(const ClaimMessage& message) -> void {
  const auto shard =
      std::visit([](const auto& content) { return content.shard; }, message);
  const std::lock_guard lock(mutex_);
  const auto part = PartOf(shard);
  if (!part) return;
  Enqueue(*part, parts_[*part].shard.OnMessage(message, Now()));
}

auto ClaimService::SetLiveMembers(const std::set<MemberId>& live) -> void {
  const std::lock_guard lock(mutex_);
  for (auto& part : parts_) part.watch.SetResponsiveMembers(live);
}

auto ClaimService::OnMemberTerminated(const MemberId& member) -> void {
  const std::lock_guard lock(mutex_);
  for (std::size_t i = 0; i < parts_.size(); ++i) {
    Enqueue(i, parts_[i].shard.OnMemberTerminated(member, Now()));
  }
}

auto ClaimService::OwnedShards() -> std::size_t {
  const std::lock_guard lock(mutex_);
  std::size_t owned = 0;
  for (const auto& part : parts_) owned += part.shard.Agent().MayAct() ? 1 : 0;
  return owned;
}

// Called with the lock held. Decisions for waiting threads are delivered at
// once, everything else is carried out by the thread.
auto ClaimService::Enqueue(std::size_t part, ClaimActions actions) -> void {
  for (auto& action : actions) {
    if (const auto* run = std::get_if<RunCall>(&action)) {
      const auto found = waiting_.find(run->claimant);
      if (found != waiting_.end()) {
        found->second = ClaimGrant{part, run->claimant};
      }
      decided_changed_.notify_all();
    } else if (const auto* answer = std::get_if<AnswerCaller>(&action)) {
      const auto found = waiting_.find(answer->claimant);
      if (found != waiting_.end()) found->second = answer->verdict;
      decided_changed_.notify_all();
    } else {
      queue_.push_back({part, std::move(action)});
      queued_changed_.notify_all();
    }
  }
}

auto ClaimService::Run() -> void {
  auto next_tick = MonotonicNow();
  std::unique_lock lock(mutex_);
  while (!stopping_) {
    const auto now = Now();
    if (now.monotonic >= next_tick) {
      next_tick = now.monotonic + kTick;
      for (std::size_t i = 0; i < parts_.size(); ++i) {
        auto& part = parts_[i];
        auto actions = part.shard.Tick(now);
        // The claim log of an owner that starts is read as well.
        if (!part.shard.Agent().OwnedTerm() &&
            part.watch.MaySkipRead(part.shard.Agent(), now.monotonic)) {
          RemoveReads(&actions);
        }
        Enqueue(i, std::move(actions));
        if (part.watch.ShouldTakeOver(part.shard.Agent(), now.monotonic)) {
          Enqueue(i, part.shard.TakeOver(now));
        }
      }
    }
    if (queue_.empty()) {
      queued_changed_.wait_until(lock, next_tick);
      continue;
    }
    const auto queued = std::move(queue_.front());
    queue_.pop_front();
    lock.unlock();
    CarryOut(queued);
    lock.lock();
  }
}

auto ClaimService::CarryOut(const Queued& queued) -> void {
  if (const auto* read = std::get_if<ReadObject>(&queued.action)) {
    Read(queued.part, read->name);
  } else if (const auto* write = std::get_if<WriteObject>(&queued.action)) {
    Write(queued.part, *write);
  } else if (const auto* send = std::get_if<SendClaimMessage>(&queued.action)) {
    if (send->to == self_) {
      OnMessage(send->message);
    } else {
      send_(send->to, send->message);
    }
  }
}

auto ClaimService::Read(std::size_t part, const std::string& name) -> void {
  const auto object = ReadOrAbsent(*store_, name);
  if (!object) {
    metrics_.Count(Event::kStoreError);
    return;
  }
  const std::lock_guard lock(mutex_);
  Enqueue(part, parts_[part].shard.OnRead(*object, Now()));
}

auto ClaimService::Write(std::size_t part, const WriteObject& write) -> void {
  const auto written = store_->Put(write.name, write.value, write.expected);
  // A lost conditional update is part of normal operation.
  if (!written && written.error().kind != ErrorKind::kConflict) {
    metrics_.Count(Event::kStoreError);
  }
  const std::lock_guard lock(mutex_);
  Enqueue(part,
          parts_[part].shard.OnWrite(write, WriteOutcomeOf(written),
                                     written ? *written : kAbsent, Now()));
}

}  // namespace dotterellug
