#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "core/core.h"

namespace dotterellug::eventhttp {

// What memory that clients cause is used for.
enum class MemoryUse : std::uint8_t {
  kHead,            // heads of messages that are read or answered
  kReceivedBody,    // bodies that are being received
  kKeptBody,        // whole bodies, kept for another attempt
  kUnsentResponse,  // responses that the client has not taken
  kFraming,         // trailers and chunk headers that are not complete
};
inline constexpr std::size_t kMemoryUses = 5;

// Name of a use in metrics.
auto MemoryUseName(MemoryUse use) -> const char*;

// Bounds of an account in bytes.
struct MemoryLimits {
  // For all uses together; 0 for no bound.
  std::size_t total = 0;
  // Part of the total that bodies may fill, so that heads and responses of
  // small requests fit even if bodies have used up their part.
  double body_part = 0.85;
  // Part of the total that the bodies of one holder, a client's address or an
  // account, may fill.
  double holder_part = 0.5;
};

// Bytes of memory that clients of one process cause, by use and by holder. It
// counts; whoever reserves memory decides what happens when there is no room.
// Not thread-safe.
class MemoryAccount : public std::enable_shared_from_this<MemoryAccount> {
 public:
  explicit MemoryAccount(MemoryLimits limits = {}) : limits_(limits) {}

  auto SetLimits(const MemoryLimits& limits) -> void { limits_ = limits; }
  auto Limits() const -> const MemoryLimits& { return limits_; }
  auto Used() const -> std::size_t { return used_; }
  auto Used(MemoryUse use) const -> std::size_t {
    return by_use_[static_cast<std::size_t>(use)];
  }
  auto HeldBy(const std::string& holder) const -> std::size_t;
  // Whether so many more bytes may be used.
  auto HasRoom(MemoryUse use, std::size_t bytes) const -> bool;
  // Whether the holder may have so many more bytes of bodies.
  auto HolderHasRoom(const std::string& holder, std::size_t bytes) const
      -> bool;

 private:
  friend class MemoryCharge;

  auto Add(MemoryUse use, std::ptrdiff_t bytes) -> void;
  auto AddHeld(const std::string& holder, std::ptrdiff_t bytes) -> void;

  MemoryLimits limits_;
  std::size_t used_ = 0;
  std::array<std::size_t, kMemoryUses> by_use_{};
  std::map<std::string, std::size_t, std::less<>> holders_;
};

// Bytes charged to an account for as long as the charge lives.
class MemoryCharge {
 public:
  MemoryCharge(std::shared_ptr<MemoryAccount> account, MemoryUse use)
      : account_(std::move(account)), use_(use) {}
  MemoryCharge(const MemoryCharge&) = delete;
  auto operator=(const MemoryCharge&) -> MemoryCharge& = delete;
  ~MemoryCharge();

  auto Bytes() const -> std::size_t { return bytes_; }
  // Sets the bytes without regard to the bounds, for what is in use already.
  auto Set(std::size_t bytes) -> void;
  // Sets the bytes if the bounds allow it; returns whether they do.
  auto TrySet(std::size_t bytes) -> bool;
  auto ChangeUse(MemoryUse use) -> void;
  // Charges the bytes to a holder as well, also later ones. Returns whether
  // they are within its part; if not, it is not added.
  auto TryAddHolder(const std::string& holder) -> bool;
  // Whether more bytes would exceed the part of a holder, rather than the
  // total.
  auto ExceedsHolder(std::size_t bytes) const -> bool;

 private:
  std::shared_ptr<MemoryAccount> account_;
  MemoryUse use_;
  std::size_t bytes_ = 0;
  std::vector<std::string> holders_;
};

}  // namespace dotterellug::eventhttp
