#pragma once

#include <functional>
#include <map>
#include <set>
#include <string_view>

#include "core/time/time.h"
#include "peer/auth/message_header.h"
#include "peer/auth/replay_window.h"

namespace dotterellug {

// Why a message was not handed to its handler.
enum class PeerRefusal {
  kNone,
  kMalformed,
  kBadMac,
  kWrongReceiver,
  kUnknownPeer,
  kOldIncarnation,  // a newer process of the sender's instance was heard
  kReplay,          // seen before, or too old to tell
  kStaleEpoch,      // the sender does not know the current epoch
  kReceiverRestarted,
  kBusy,
  kTooLarge,
};
inline constexpr std::size_t kRefusalCount = 11;

// Name for counters and messages between daemons, such as "stale_epoch".
auto RefusalName(PeerRefusal refusal) -> std::string_view;
// The refusal with that name; kMalformed for any other text.
auto ParseRefusal(std::string_view name) -> PeerRefusal;

// Decides whether a message whose MAC is correct may be accepted: once, from a
// known peer, to this process, and made within the last one to two periods of
// this process's clock. No clocks are compared between processes.
// Not thread-safe.
class FreshnessGuard {
 public:
  // `draw_epoch` returns random numbers other than 0.
  FreshnessGuard(MemberId self, Duration period,
                 std::function<ReceiverEpoch()> draw_epoch, Timestamp now);

  // Instances that messages are accepted from.
  auto SetPeers(std::set<InstanceId> peers, Timestamp now) -> void;
  // Accepts the message (kNone) and remembers it, or says why not. Whether the
  // message was seen is checked before its epoch: only then does kStaleEpoch
  // prove that this process never accepted it.
  auto Check(const MessageHeader& header, Timestamp now) -> PeerRefusal;
  // The epoch that senders shall use from now on.
  auto CurrentEpoch(Timestamp now) -> ReceiverEpoch;
  auto Self() const -> const MemberId& { return self_; }

 private:
  struct Sender {
    Incarnation incarnation;
    ReplayWindow window;
    Timestamp last_accepted;
  };

  auto Rotate(Timestamp now) -> void;

  MemberId self_;
  Duration period_;
  std::function<ReceiverEpoch()> draw_epoch_;
  ReceiverEpoch current_;
  ReceiverEpoch previous_ = 0;
  Timestamp rotated_at_;
  std::set<InstanceId> peers_;
  std::map<InstanceId, Sender> senders_;
};

}  // namespace dotterellug
