#include "eventhttp/memory/memory_account.h"

#include <algorithm>

namespace dotterellug::eventhttp {
namespace {

auto IsBody(MemoryUse use) -> bool {
  return use == MemoryUse::kReceivedBody || use == MemoryUse::kKeptBody;
}

auto Part(std::size_t whole, double part) -> std::size_t {
  return static_cast<std::size_t>(static_cast<double>(whole) * part);
}

auto Change(std::size_t& value, std::ptrdiff_t bytes) -> void {
  value = static_cast<std::size_t>(static_cast<std::ptrdiff_t>(value) + bytes);
}

}  // namespace

auto MemoryUseName(MemoryUse use) -> const char* {
  switch (use) {
    case MemoryUse::kHead:
      return "head";
    case MemoryUse::kReceivedBody:
      return "received_body";
    case MemoryUse::kKeptBody:
      return "kept_body";
    case MemoryUse::kUnsentResponse:
      return "unsent_response";
    case MemoryUse::kFraming:
      return "framing";
  }
  return "head";
}

auto MemoryAccount::HeldBy(const std::string& holder) const -> std::size_t {
  const auto found = holders_.find(holder);
  return found == holders_.end() ? 0 : found->second;
}

auto MemoryAccount::HasRoom(MemoryUse use, std::size_t bytes) const -> bool {
  if (limits_.total == 0) return true;
  if (used_ + bytes > limits_.total) return false;
  if (!IsBody(use)) return true;
  return Used(MemoryUse::kReceivedBody) + Used(MemoryUse::kKeptBody) + bytes <=
         Part(limits_.total, limits_.body_part);
}

auto MemoryAccount::HolderHasRoom(const std::string& holder,
                                  std::size_t bytes) const -> bool {
  return limits_.total == 0 ||
         HeldBy(holder) + bytes <= Part(limits_.total, limits_.holder_part);
}

auto MemoryAccount::Add(MemoryUse use, std::ptrdiff_t bytes) -> void {
  Change(used_, bytes);
  Change(by_use_[static_cast<std::size_t>(use)], bytes);
}

auto MemoryAccount::AddHeld(const std::string& holder, std::ptrdiff_t bytes)
    -> void {
  auto& held = holders_[holder];
  Change(held, bytes);
  if (held == 0) holders_.erase(holder);
}

MemoryCharge::~MemoryCharge() { Set(0); }

auto MemoryCharge::Set(std::size_t bytes) -> void {
  const auto more =
      static_cast<std::ptrdiff_t>(bytes) - static_cast<std::ptrdiff_t>(bytes_);
  if (more == 0) return;
  bytes_ = bytes;
  account_->Add(use_, more);
  for (const auto& holder : holders_) account_->AddHeld(holder, more);
}

auto MemoryCharge::TrySet(std::size_t bytes) -> bool {
  if (bytes > bytes_) {
    const auto more = bytes - bytes_;
    if (ExceedsHolder(more) || !account_->HasRoom(use_, more)) return false;
  }
  Set(bytes);
  return true;
}

auto MemoryCharge::ChangeUse(MemoryUse use) -> void {
  const auto bytes = static_cast<std::ptrdiff_t>(bytes_);
  account_->Add(use_, -bytes);
  account_->Add(use, bytes);
  use_ = use;
}

auto MemoryCharge::TryAddHolder(const std::string& holder) -> bool {
  if (!account_->HolderHasRoom(holder, bytes_)) return false;
  holders_.push_back(holder);
  const auto bytes = static_cast<std::ptrdiff_t>(bytes_);
  if (bytes > 0) account_->AddHeld(holder, bytes);
  return true;
}

auto MemoryCharge::ExceedsHolder(std::size_t bytes) const -> bool {
  return std::any_of(holders_.begin(), holders_.end(),
                     [&](const std::string& holder) {
                       return !account_->HolderHasRoom(holder, bytes);
                     });
}

}  // namespace dotterellug::eventhttp
