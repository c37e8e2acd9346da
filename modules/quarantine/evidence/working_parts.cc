#include "quarantine/evidence/working_parts.h"

namespace dotterellug::quarantine {
namespace {

constexpr std::size_t kSlots = 4096;

}  // namespace

auto WorkingParts::Record(const PromptPartId& part, Timestamp now) -> void {
  if (slots_.empty()) slots_.resize(kSlots);
  const auto hash = Hash64(part.Value());
  slots_[hash % kSlots] = {hash, now};
}

auto WorkingParts::LastWorked(const PromptPartId& part) const
    -> std::optional<Timestamp> {
  if (slots_.empty()) return std::nullopt;
  const auto hash = Hash64(part.Value());
  const auto& slot = slots_[hash % kSlots];
  if (slot.hash != hash || slot.worked_at == Timestamp{}) return std::nullopt;
  return slot.worked_at;
}

}  // namespace dotterellug::quarantine
