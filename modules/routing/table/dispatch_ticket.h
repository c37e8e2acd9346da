#pragma once

#include <memory>
#include <optional>
#include <utility>

#include "core/ids/ids.h"
#include "routing/table/upstream_load.h"

namespace dotterellug {

// Counts a request as in flight on its upstream from its start until the ticket
// is destroyed, however the request ends. Belongs to one traffic thread.
class DispatchTicket {
 public:
  // Returns nullopt if this daemon has reached its concurrency limit for the
  // upstream.
  static auto Begin(std::shared_ptr<UpstreamLoad> load, Tokens uncached,
                    Timestamp now) -> std::optional<DispatchTicket> {
    if (!load->TryBegin(uncached, now)) return std::nullopt;
    return DispatchTicket(std::move(load), uncached);
  }

  DispatchTicket(DispatchTicket&&) noexcept = default;
  auto operator=(DispatchTicket&& other) noexcept -> DispatchTicket& {
    std::swap(load_, other.load_);
    std::swap(uncached_, other.uncached_);
    std::swap(prefill_ended_, other.prefill_ended_);
    return *this;
  }
  DispatchTicket(const DispatchTicket&) = delete;
  auto operator=(const DispatchTicket&) -> DispatchTicket& = delete;

  ~DispatchTicket() {
    if (!load_) return;
    FirstToken();
    load_->End();
  }

  // Ends the prefill of the request. Call it when the first token arrives;
  // further calls have no effect.
  auto FirstToken() -> void {
    if (prefill_ended_ || !load_) return;
    prefill_ended_ = true;
    load_->EndPrefill(uncached_);
  }

 private:
  DispatchTicket(std::shared_ptr<UpstreamLoad> load, Tokens uncached)
      : load_(std::move(load)), uncached_(uncached) {}

  std::shared_ptr<UpstreamLoad> load_;
  Tokens uncached_;
  bool prefill_ended_ = false;
};

}  // namespace dotterellug
