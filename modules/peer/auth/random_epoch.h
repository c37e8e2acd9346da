#pragma once

#include "peer/auth/message_header.h"

namespace dotterellug {

// Period of the receiver's clock after which a new epoch is drawn. A message is
// accepted for one to two periods after the receiver told the epoch.
inline constexpr int kEpochPeriodSeconds = 60;

// A random number other than 0 from the operating system.
auto DrawRandomEpoch() -> ReceiverEpoch;

}  // namespace dotterellug
