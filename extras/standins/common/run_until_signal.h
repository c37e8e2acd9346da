#pragma once

#include <cstdint>
#include <string>

#include "standins/common/http_server.h"

namespace dotterellug::standins {

// Serves `handler` until SIGTERM or SIGINT and prints "listening on HOST:PORT"
// when ready. Returns the program's exit code. Call it before any thread
// starts, since it blocks these signals.
auto RunUntilSignal(const std::string& host, std::uint16_t port,
                    HttpServer::Handler handler) -> int;

}  // namespace dotterellug::standins
