#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <string>

#include "core/core.h"

namespace dotterellug::soak {

// Sends a request on a connection of its own and hands on the status of the
// answer when the exchange ends; 0 without an answer.
auto RequestStatus(boost::asio::io_context& loop, const SocketAddress& server,
                   const std::string& request, std::function<void(int)> then)
    -> void;

}  // namespace dotterellug::soak
