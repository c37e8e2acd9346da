#include "peer/auth/freshness_guard.h"

#include <array>
#include <utility>

namespace dotterellug {

namespace {

// In the order of the enumeration.
constexpr std::array<std::string_view, kRefusalCount> kRefusalNames{
    "none",           "malformed",    "bad_mac",
    "wrong_receiver", "unknown_peer", "old_incarnation",
    "replay",         "stale_epoch",  "restarted",
    "busy",           "too_large"};

}  // namespace

auto RefusalName(PeerRefusal refusal) -> std::string_view {
  return kRefusalNames[static_cast<std::size_t>(refusal)];
}

auto ParseRefusal(std::string_view name) -> PeerRefusal {
  for (std::size_t index = 1; index < kRefusalNames.size(); ++index) {
    if (kRefusalNames[index] == name) return static_cast<PeerRefusal>(index);
  }
  return PeerRefusal::kMalformed;
}

FreshnessGuard::FreshnessGuard(MemberId self, Duration period,
                               std::function<ReceiverEpoch()> draw_epoch,
                               Timestamp now)
    : self_(std::move(self)),
      period_(period),
      draw_epoch_(std::move(draw_epoch)),
      current_(draw_epoch_()),
      rotated_at_(now) {}

auto FreshnessGuard::SetPeers(std::set<InstanceId> peers, Timestamp now)
    -> void {
  peers_ = std::move(peers);
  // The window of a removed peer is kept until none of its messages can be
  // fresh, so that a peer that returns soon cannot be replayed.
  for (auto sender = senders_.begin(); sender != senders_.end();) {
    const auto forget = peers_.count(sender->first) == 0 &&
                        now - sender->second.last_accepted > 2 * period_;
    sender = forget ? senders_.erase(sender) : std::next(sender);
  }
}

auto FreshnessGuard::Check(const MessageHeader& header, Timestamp now)
    -> PeerRefusal {
  Rotate(now);
  if (header.receiver != self_.instance) return PeerRefusal::kWrongReceiver;
  const auto& instance = header.sender.instance;
  if (peers_.count(instance) == 0) return PeerRefusal::kUnknownPeer;
  const auto known = senders_.find(instance);
  const auto incarnation = header.sender.incarnation;
  if (known != senders_.end()) {
    if (incarnation < known->second.incarnation) {
      return PeerRefusal::kOldIncarnation;
    }
    if (incarnation == known->second.incarnation &&
        known->second.window.Seen(header.sequence)) {
      return PeerRefusal::kReplay;
    }
  }
  if (header.sequence <= 0) return PeerRefusal::kMalformed;
  if (header.receiver_incarnation != Incarnation{} &&
      header.receiver_incarnation != self_.incarnation) {
    return PeerRefusal::kReceiverRestarted;
  }
  const auto epoch = header.receiver_epoch;
  if (epoch == 0 || (epoch != current_ && epoch != previous_)) {
    return PeerRefusal::kStaleEpoch;
  }
  auto& sender = senders_[instance];
  if (sender.incarnation != incarnation) sender = Sender{incarnation, {}, now};
  sender.window.Accept(header.sequence);
  sender.last_accepted = now;
  return PeerRefusal::kNone;
}

auto FreshnessGuard::CurrentEpoch(Timestamp now) -> ReceiverEpoch {
  Rotate(now);
  return current_;
}

auto FreshnessGuard::Rotate(Timestamp now) -> void {
  if (now - rotated_at_ < period_) return;
  // After two periods without a message, the former epoch is stale as well.
  previous_ = now - rotated_at_ < 2 * period_ ? current_ : 0;
  current_ = draw_epoch_();
  rotated_at_ = now;
}

}  // namespace dotterellug
