#pragma once

#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "core/core.h"
#include "frontend/http/http_server.h"
#include "standins/upstream_faults/fault_table.h"

namespace dotterellug::standins {

struct ServiceOptions {
  std::string id = "service";
  std::string address = "127.0.0.1";
  std::uint16_t port = 0;
  Duration work_time = std::chrono::milliseconds(5);
};

// Plain service stand-in: executes every call under any path and keeps a
// ledger of what it executed, so that a double run shows.
//   GET /report, GET /ledger, POST /faults
// Faults: refuse, drop_before, drop_after, late, crossed.
class ServiceServer {
 public:
  static auto Start(ServiceOptions options)
      -> Result<std::unique_ptr<ServiceServer>>;
  auto Port() const -> std::uint16_t { return server_->Port(); }

 private:
  struct LedgerEntry {
    std::string request;
    std::string method;
    std::string path;
    std::string body;
  };

  explicit ServiceServer(ServiceOptions options);
  auto Handle(const HttpRequest& request) -> HttpResponse;
  auto Execute(const HttpRequest& request) -> HttpResponse;
  auto Ledger() -> HttpResponse;

  ServiceOptions options_;
  FaultTable faults_;
  std::mutex mutex_;
  std::vector<LedgerEntry> ledger_;
  std::int64_t keys_seen_ = 0;
  std::atomic<std::int64_t> running_{0};
  std::atomic<std::int64_t> completed_{0};
  std::unique_ptr<HttpServer> server_;
};

}  // namespace dotterellug::standins
