#pragma once

#include <string>
#include <vector>

#include "core/errors/error.h"
#include "core/net/socket_address.h"
#include "core/time/time.h"

namespace dotterellug {

// A daemon that does not answer must not keep the others from being asked.
constexpr Duration kStatusTimeout = std::chrono::seconds(1);

// The admin addresses of --daemons, separated by commas; kInvalidArgument with
// the first wrong one.
auto ParseDaemons(const std::string& text)
    -> Result<std::vector<SocketAddress>>;

}  // namespace dotterellug
