#pragma once

#include <bitset>
#include <cstdint>

namespace dotterellug {

// Remembers which of the latest sequence numbers of one sender were accepted.
// Older ones count as seen, because they cannot be told from duplicates.
class ReplayWindow {
 public:
  // Sequence numbers that may overtake each other. 1,024 is far above the
  // requests of one pair of daemons in flight.
  static constexpr std::int64_t kLength = 1024;

  auto Seen(std::int64_t sequence) const -> bool {
    if (sequence <= highest_ - kLength || sequence <= 0) return true;
    return sequence <= highest_ && accepted_[Slot(sequence)];
  }

  // Call only for a sequence that was not seen.
  auto Accept(std::int64_t sequence) -> void {
    if (sequence >= highest_ + kLength) accepted_.reset();
    while (highest_ < sequence) {
      if (sequence - highest_ >= kLength) highest_ = sequence - kLength;
      accepted_[Slot(++highest_)] = false;
    }
    accepted_[Slot(sequence)] = true;
  }

 private:
  static auto Slot(std::int64_t sequence) -> std::size_t {
    return static_cast<std::size_t>(sequence % kLength);
  }

  std::int64_t highest_ = 0;
  std::bitset<kLength> accepted_;
};

}  // namespace dotterellug
