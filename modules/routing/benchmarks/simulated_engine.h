#pragma once

#include <algorithm>
#include <deque>
#include <functional>
#include <list>
#include <memory>
#include <unordered_map>
#include <utility>
#include <vector>

#include "routing/benchmarks/event_queue.h"
#include "routing/routing.h"

namespace dotterellug::simulation {

constexpr std::int64_t kTokensPerBlock = 64;

// A request in the simulation, with its progress.
struct SimulatedRequest {
  Timestamp arrival;
  std::size_t daemon = 0;
  RoutingRequest routing;
  std::int64_t output_tokens = 1;
  std::size_t engine = 0;
  std::optional<InFlightGuard> ticket;
  std::int64_t cached_tokens = 0;
  // Negative until the prefill starts, because the cached prefix is looked up
  // only then.
  std::int64_t remaining_prefill = 0;
  std::int64_t remaining_output = 0;
  Timestamp first_token;
  std::function<void()> on_first_token;
  std::function<void()> on_end;
};
using RequestPointer = std::shared_ptr<SimulatedRequest>;

// LRU prefix cache with a fixed capacity in blocks.
class BlockCache {
 public:
  explicit BlockCache(std::size_t capacity) : capacity_(capacity) {}

  auto CachedBlocks(const BlockHashes& blocks) const -> std::size_t {
    std::size_t count = 0;
    while (count < blocks.size() && index_.count(blocks[count]) > 0) ++count;
    return count;
  }

  // Stores the blocks so that the last ones of the prompt are evicted first.
  // Returns the newly stored blocks and the evicted ones.
  auto Store(const BlockHashes& blocks) -> std::pair<BlockHashes, BlockHashes> {
    std::pair<BlockHashes, BlockHashes> changes;
    for (auto it = blocks.rbegin(); it != blocks.rend(); ++it) {
      const auto found = index_.find(*it);
      if (found != index_.end()) recency_.erase(found->second);
      if (found == index_.end()) changes.first.push_back(*it);
      recency_.push_front(*it);
      index_[*it] = recency_.begin();
    }
    while (recency_.size() > capacity_) {
      changes.second.push_back(recency_.back());
      index_.erase(recency_.back());
      recency_.pop_back();
    }
    return changes;
  }

 private:
  std::size_t capacity_;
  std::list<std::uint64_t> recency_;
  std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> index_;
};

// Speed and capacity of a simulated engine.
struct EngineOptions {
  double prefill_tokens_per_ms = 12;
  double step_ms = 8;
  double step_ms_per_running = 0.15;
  std::int64_t prefill_tokens_per_step = 1024;
  std::size_t max_running = 48;
  std::size_t cache_blocks = 1200;
  std::size_t adapters = 8;
  double adapter_load_ms = 7;
};

// Simulated engine with continuous batching, chunked prefill in order of
// arrival, and a prefix cache.
class SimulatedEngine {
 public:
  using CacheListener =
      std::function<void(CacheEventKind kind, const BlockHashes& blocks)>;

  SimulatedEngine(EventQueue& events, const EngineOptions& options)
      : events_(events), options_(options), cache_(options.cache_blocks) {}

  auto SetCacheListener(CacheListener listener) -> void {
    listener_ = std::move(listener);
  }

  auto Submit(RequestPointer request) -> void {
    request->remaining_prefill = -1;
    waiting_.push_back(std::move(request));
    if (!stepping_) Step();
  }

  auto Report() const -> LoadReport {
    LoadReport report;
    report.measured_at = events_.Now();
    report.waiting_requests = static_cast<std::int64_t>(waiting_.size());
    report.running_requests = static_cast<std::int64_t>(running_.size());
    report.prefill_tokens_per_ms = prefill_speed_;
    std::int64_t tokens = 0;
    for (const auto& request : waiting_) tokens += RemainingPrefill(*request);
    report.waiting_tokens = Tokens(tokens);
    return report;
  }

 private:
  auto RemainingPrefill(const SimulatedRequest& request) const -> std::int64_t {
    if (request.remaining_prefill >= 0) return request.remaining_prefill;
    return UncachedTokens(request);
  }

  auto UncachedTokens(const SimulatedRequest& request) const -> std::int64_t {
    const auto cached =
        static_cast<std::int64_t>(cache_.CachedBlocks(request.routing.blocks));
    return std::max<std::int64_t>(
        1, request.routing.prompt_tokens.Value() - cached * kTokensPerBlock);
  }

  // Prefills up to the token limit of a step, in order of arrival, and adds the
  // time to `step_ms`. Returns the requests whose prefill ends with this step.
  auto Prefill(double& step_ms) -> std::vector<RequestPointer> {
    std::vector<RequestPointer> ready;
    auto budget = options_.prefill_tokens_per_step;
    while (!waiting_.empty() && budget > 0 &&
           running_.size() + ready.size() < options_.max_running) {
      auto& request = *waiting_.front();
      if (request.remaining_prefill < 0) {
        request.remaining_prefill = UncachedTokens(request);
        request.cached_tokens =
            request.routing.prompt_tokens.Value() - request.remaining_prefill;
        step_ms += AdapterLoadMs(request.routing.adapter);
      }
      const auto done = std::min(budget, request.remaining_prefill);
      request.remaining_prefill -= done;
      budget -= done;
      step_ms += static_cast<double>(done) / options_.prefill_tokens_per_ms;
      if (request.remaining_prefill > 0) break;
      ready.push_back(waiting_.front());
      waiting_.pop_front();
    }
    const auto tokens = options_.prefill_tokens_per_step - budget;
    if (tokens >= kTokensPerBlock) {
      prefill_speed_ +=
          0.05 * (static_cast<double>(tokens) / step_ms - prefill_speed_);
    }
    return ready;
  }

  auto AdapterLoadMs(const AdapterId& adapter) -> double {
    if (adapter.Empty()) return 0;
    const auto found = std::find(adapters_.begin(), adapters_.end(), adapter);
    const bool resident = found != adapters_.end();
    if (resident) adapters_.erase(found);
    adapters_.push_front(adapter);
    if (adapters_.size() > options_.adapters) adapters_.pop_back();
    return resident ? 0 : options_.adapter_load_ms;
  }

  auto Step() -> void {
    stepping_ = !waiting_.empty() || !running_.empty();
    if (!stepping_) return;
    auto step_ms = options_.step_ms + options_.step_ms_per_running *
                                          static_cast<double>(running_.size());
    auto ready = Prefill(step_ms);
    events_.Schedule(FromSeconds(step_ms / 1000), [this, ready] {
      Decode();
      for (const auto& request : ready) StartDecoding(request);
      Step();
    });
  }

  auto Decode() -> void {
    std::vector<RequestPointer> still_running;
    for (auto& request : running_) {
      if (--request->remaining_output > 0) {
        still_running.push_back(std::move(request));
        continue;
      }
      request->on_end();
    }
    running_ = std::move(still_running);
  }

  auto StartDecoding(const RequestPointer& request) -> void {
    const auto changes = cache_.Store(request->routing.blocks);
    if (listener_ && !changes.first.empty()) {
      listener_(CacheEventKind::kStored, changes.first);
    }
    if (listener_ && !changes.second.empty()) {
      listener_(CacheEventKind::kRemoved, changes.second);
    }
    request->first_token = events_.Now();
    request->remaining_output = request->output_tokens;
    running_.push_back(request);
    request->on_first_token();
  }

  EventQueue& events_;
  EngineOptions options_;
  BlockCache cache_;
  CacheListener listener_;
  std::deque<RequestPointer> waiting_;
  std::vector<RequestPointer> running_;
  std::list<AdapterId> adapters_;
  bool stepping_ = false;
  double prefill_speed_ = 8;
};

}  // namespace dotterellug::simulation
