#include "fleet/announcements/model_announcements.h"

#include <algorithm>

namespace dotterellug::fleet {

auto ModelAnnouncements::OnOpened(const OpenedModel& opened, Timestamp now)
    -> void {
  if (opened.adapter.Empty()) closing_.erase({opened.upstream, opened.model});
  opened_.emplace_back(now, opened);
}

auto ModelAnnouncements::OnClosing(const ClosingModel& closing, Timestamp now)
    -> void {
  closing_[{closing.upstream, closing.model}] = now;
  opened_.erase(std::remove_if(opened_.begin(), opened_.end(),
                               [&](const auto& entry) {
                                 return entry.second.upstream ==
                                            closing.upstream &&
                                        entry.second.model == closing.model;
                               }),
                opened_.end());
}

auto ModelAnnouncements::Forget(Timestamp now) -> void {
  for (auto entry = closing_.begin(); entry != closing_.end();) {
    const bool old = now - entry->second > lifetime_;
    entry = old ? closing_.erase(entry) : std::next(entry);
  }
  opened_.erase(std::remove_if(opened_.begin(), opened_.end(),
                               [&](const auto& entry) {
                                 return now - entry.first > lifetime_;
                               }),
                opened_.end());
}

auto ModelAnnouncements::Closing(Timestamp now) -> std::vector<ClosingModel> {
  Forget(now);
  std::vector<ClosingModel> closing;
  closing.reserve(closing_.size());
  for (const auto& [place, at] : closing_) {
    closing.push_back({place.first, place.second});
  }
  return closing;
}

auto ModelAnnouncements::Opened(Timestamp now) -> std::vector<OpenedModel> {
  Forget(now);
  std::vector<OpenedModel> opened;
  opened.reserve(opened_.size());
  for (const auto& [at, model] : opened_) opened.push_back(model);
  return opened;
}

}  // namespace dotterellug::fleet
