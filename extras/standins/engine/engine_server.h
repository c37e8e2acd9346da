#pragma once

#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "core/core.h"
#include "frontend/http/http_server.h"
#include "standins/engine/engine_memory.h"
#include "standins/engine/engine_slots.h"
#include "standins/engine/prefix_cache.h"
#include "standins/upstream_faults/fault_table.h"

namespace dotterellug::standins {

struct EngineOptions {
  std::string id = "engine";
  std::string address = "127.0.0.1";
  std::uint16_t port = 0;
  Bytes memory{80'000'000'000};
  bool checks_fencing = false;
  std::int64_t max_batch = 32;
  // Requests that a cold engine bears; twice as many make it fail.
  std::int64_t cold_concurrency = 2;
  // Responses after which a cold engine is warm; 0 starts warm.
  std::int64_t cold_responses = 0;
  Duration prefill_per_token = std::chrono::microseconds(50);
  Duration token_interval = std::chrono::milliseconds(10);
  std::int64_t kv_bytes_per_token = 100'000;
  std::size_t prefix_blocks = 4096;
  // Age of the load report that GET /report gives.
  Duration report_lag = std::chrono::milliseconds(200);
};

// Model engine stand-in over HTTP:
//   POST /v1/chat/completions, /v1/completions   work, JSON or event stream
//   POST /commands    load and unload models and adapters
//   GET /report       load, memory and residency, late by report_lag
//   GET /cache_events?after=N
//   GET /ledger       requests executed, overcommits, keys seen
//   POST /faults      fault table: refuse, drop_before, drop_after, late,
//                     crossed, truncate, silent, cold
class EngineServer {
 public:
  static auto Start(EngineOptions options)
      -> Result<std::unique_ptr<EngineServer>>;
  auto Port() const -> std::uint16_t { return server_->Port(); }
  auto Memory() -> EngineMemory& { return memory_; }

 private:
  struct LedgerEntry {
    std::string request;
    std::string model;
    std::string account;
    std::int64_t events = 0;
    bool finished = false;
    bool cancelled = false;
  };
  struct Work;

  explicit EngineServer(EngineOptions options);
  auto Handle(const HttpRequest& request, const CallerConnection& caller)
      -> HttpResponse;
  auto Complete(const HttpRequest& request, const CallerConnection& caller)
      -> HttpResponse;
  auto StreamBody(std::shared_ptr<Work> work, const CallerConnection& caller)
      -> BodySource;
  auto WholeBody(const std::shared_ptr<Work>& work,
                 const CallerConnection& caller) -> HttpResponse;
  auto HandleCommand(const HttpRequest& request) -> HttpResponse;
  auto HandleCacheEvents(const HttpRequest& request) -> HttpResponse;
  auto Report() -> HttpResponse;
  auto Ledger() -> HttpResponse;
  auto NoteCompleted() -> void;
  auto NextToken(Work& work) -> std::string;
  auto Interval() const -> Duration;
  auto NoteKeys(const HttpRequest& request) -> void;
  // A cold engine that gets more than twice what it bears fails: it forgets
  // its prefix cache and counts the event.
  auto CheckColdLoad() -> bool;

  EngineOptions options_;
  EngineMemory memory_;
  EngineSlots slots_;
  PrefixCache prefix_cache_;
  FaultTable faults_;
  std::mutex mutex_;
  std::vector<LedgerEntry> ledger_;
  std::int64_t keys_seen_ = 0;
  std::int64_t cold_failures_ = 0;
  std::atomic<std::int64_t> cold_left_;
  std::atomic<std::int64_t> open_{0};
  std::atomic<std::int64_t> completed_{0};
  std::int64_t incarnation_ = 1;
  std::string report_;
  Timestamp report_time_;
  std::unique_ptr<HttpServer> server_;
};

}  // namespace dotterellug::standins
