#pragma once

#include <cstdint>

#include "core/ids/ids.h"
#include "ownership/member/member_id.h"

namespace dotterellug {

// Random number that a receiver draws for a period of its own clock. A sender
// repeats it in its messages, which proves that a message was made in that
// period. 0 means that the sender does not know it yet.
using ReceiverEpoch = std::uint64_t;

// Longest instance id in a message header, in bytes.
inline constexpr std::size_t kMaxInstanceIdBytes = 64;

// What the MAC of a message covers besides its body.
struct MessageHeader {
  MemberId sender;
  InstanceId receiver;
  // 0 accepts any process on the receiving instance.
  Incarnation receiver_incarnation;
  ReceiverEpoch receiver_epoch = 0;
  // Counts from 1 per sender process and receiver; never used twice.
  std::int64_t sequence = 0;
};

}  // namespace dotterellug
