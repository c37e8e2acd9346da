#pragma once

#include <string>

#include "core/errors/error.h"
#include "core/net/socket_address.h"
#include "core/time/time.h"

namespace dotterellug {

// The body of GET `path`; kUnavailable when there is no response with status
// 200 within `timeout`.
auto HttpGet(const SocketAddress& address, const std::string& path,
             Duration timeout) -> Result<std::string>;

}  // namespace dotterellug
