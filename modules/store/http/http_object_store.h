#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>

#include "core/errors/error.h"
#include "core/time/time.h"
#include "store/port/object_record.h"

namespace cxxtools::http {
class Client;
}

namespace dotterellug {

// Where the object API listens (an IPv4 address) and how long to wait for it.
// Another host gives kInvalidArgument at each call; names are not resolved.
struct HttpObjectStoreSettings {
  std::string host;
  std::uint16_t port = 0;
  Duration connect_timeout = std::chrono::seconds(1);
  // Longest silence while waiting for or reading a response. A watch adds its
  // own waiting time.
  Duration timeout = std::chrono::seconds(3);
};

// Adapter to the object API over HTTP/1.1 with JSON bodies:
//   GET, PUT, DELETE /v1/objects/NAME?if_version=N
//   GET /v1/list?prefix=P
//   GET /v1/watch?prefix=P&after=N&timeout_ms=T
// Responses about one object carry its name; another name means that the
// response belongs to another request.
// Use it through ObjectStore, which checks names and values.
//
// Reads share one connection, which is closed after any doubt about it. Each
// update opens a new connection: cxxtools' http::Client resends a request by
// itself when a reused connection turns out to be closed, and a resent
// conditional update would report a conflict with itself.
class HttpObjectStore {
 public:
  explicit HttpObjectStore(HttpObjectStoreSettings settings);
  ~HttpObjectStore();
  HttpObjectStore(HttpObjectStore&& other) noexcept;
  auto operator=(HttpObjectStore&& other) noexcept -> HttpObjectStore&;

  auto Get(const std::string& name) -> Result<ObjectRecord>;
  auto Put(const std::string& name, const std::string& value,
           ObjectVersion expected) -> Result<ObjectVersion>;
  auto Remove(const std::string& name, ObjectVersion expected)
      -> Result<ObjectVersion>;
  auto List(const std::string& prefix) -> Result<ListResult>;
  auto Watch(const std::string& prefix, WatchPosition after, Duration max_wait)
      -> Result<WatchResult>;

 private:
  struct Call;
  struct Response;

  // A response of any status, or the reason why there is none.
  auto Exchange(cxxtools::http::Client& client, const Call& call) const
      -> Result<Response>;
  auto Read(const Call& call) -> Result<Response>;
  auto Update(const std::string& name, const Call& call) const
      -> Result<ObjectVersion>;
  auto Connect() const -> Result<std::unique_ptr<cxxtools::http::Client>>;

  HttpObjectStoreSettings settings_;
  // Connection for reads; empty until the first read and after any doubt.
  std::unique_ptr<cxxtools::http::Client> reader_;
};

}  // namespace dotterellug
