#include "peer/auth/random_epoch.h"

#include <sodium.h>

namespace dotterellug {

auto DrawRandomEpoch() -> ReceiverEpoch {
  ReceiverEpoch epoch = 0;
  while (epoch == 0) randombytes_buf(&epoch, sizeof epoch);
  return epoch;
}

}  // namespace dotterellug
