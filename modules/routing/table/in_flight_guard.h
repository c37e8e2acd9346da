#pragma once

#include <memory>
#include <optional>
#include <utility>

#include "core/ids/ids.h"
#include "routing/table/upstream_load.h"

namespace dotterellug {

// Counts a request as in flight on its upstream from its start until the guard
// is destroyed, however the request ends. Belongs to one traffic thread.
class InFlightGuard {
 public:
  // Returns nullopt if this daemon has reached its concurrency limit for the
  // upstream.
  static auto Begin(std::shared_ptr<UpstreamLoad> load, Tokens uncached,
                    Timestamp now) -> std::optional<InFlightGuard> {
    if (!load->TryBegin(uncached, now)) return std::nullopt;
    return InFlightGuard(std::move(load), uncached);
  }

  InFlightGuard(InFlightGuard&&) noexcept = default;
  auto operator=(InFlightGuard&& other) noexcept -> InFlightGuard& {
    std::swap(load_, other.load_);
    std::swap(uncached_, other.uncached_);
    std::swap(prefill_ended_, other.prefill_ended_);
    return *this;
  }
  InFlightGuard(const InFlightGuard&) = delete;
  auto operator=(const InFlightGuard&) -> InFlightGuard& = delete;

  ~InFlightGuard() {
    if (!load_) return;
    OnFirstToken();
    load_->End();
  }

  // Ends the prefill of the request. Call it when the first token arrives;
  // further calls have no effect.
  auto OnFirstToken() -> void {
    if (prefill_ended_ || !load_) return;
    prefill_ended_ = true;
    load_->EndPrefill(uncached_);
  }

 private:
  InFlightGuard(std::shared_ptr<UpstreamLoad> load, Tokens uncached)
      : load_(std::move(load)), uncached_(uncached) {}

  std::shared_ptr<UpstreamLoad> load_;
  Tokens uncached_;
  bool prefill_ended_ = false;
};

}  // namespace dotterellug
