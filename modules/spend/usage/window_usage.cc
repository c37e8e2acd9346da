#include "spend/usage/window_usage.h"

#include <utility>

namespace dotterellug {

WindowUsageTable::WindowUsageTable(Reporter self, WindowUsageOptions options)
    : self_(std::move(self)), options_(options) {}

auto WindowUsageTable::Count(UsageWindow window, const ClientAccountId& account,
                             Timestamp now) -> void {
  if (window < first_) return;
  auto& row = windows_[window][self_];
  row.pass_on = true;
  auto& entry = row.entries[account];
  ++entry.count;
  entry.changed_at = now;
}

auto WindowUsageTable::Merge(const std::vector<WindowUsageRow>& rows,
                             bool pass_on, Timestamp now) -> void {
  for (const auto& received : rows) {
    // A daemon that was this one's hub may send its own counts back.
    if (received.window < first_ || received.reporter == self_) continue;
    auto& row = windows_[received.window][received.reporter];
    row.pass_on = row.pass_on || pass_on;
    for (const auto& [account, count] : received.counts) {
      auto& entry = row.entries[account];
      if (count <= entry.count) continue;
      entry.count = count;
      entry.changed_at = now;
    }
  }
}

auto WindowUsageTable::Share(Timestamp now) -> std::vector<WindowUsageRow> {
  std::vector<WindowUsageRow> shared;
  const auto turn = shares_++ % options_.refresh_parts;
  std::size_t total = 0;
  std::uint64_t index = 0;
  for (const auto& [window, rows] : windows_) {
    for (const auto& [reporter, row] : rows) {
      if (!row.pass_on) continue;
      const bool refresh = index++ % options_.refresh_parts == turn;
      WindowUsageRow part{reporter, window, {}};
      for (const auto& [account, entry] : row.entries) {
        const bool recent = now - entry.changed_at < options_.repeat_time;
        if (total >= options_.max_counts || !(recent || refresh)) continue;
        part.counts.emplace(account, entry.count);
        ++total;
      }
      if (!part.counts.empty()) shared.push_back(std::move(part));
    }
  }
  return shared;
}

auto WindowUsageTable::Total(UsageWindow window) const -> WindowCounts {
  WindowCounts total;
  const auto found = windows_.find(window);
  if (found == windows_.end()) return total;
  for (const auto& [reporter, row] : found->second) {
    for (const auto& [account, entry] : row.entries) {
      total[account] += entry.count;
    }
  }
  return total;
}

auto WindowUsageTable::DropBefore(UsageWindow window) -> void {
  first_ = window;
  windows_.erase(windows_.begin(), windows_.lower_bound(first_));
}

}  // namespace dotterellug
