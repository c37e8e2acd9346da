#pragma once

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <functional>
#include <string>

#include "core/core.h"
#include "eventhttp/client/connection_pool.h"

namespace dotterellug::eventhttp {

// The answer to a call, kept until it is complete.
struct BufferedAnswer {
  ExchangeEnd end = ExchangeEnd::kNoResponse;
  // 0 if there was no response.
  int status = 0;
  HeaderFields fields;
  std::string body;
  // Whether the connection carried other calls before. A faulty server may send
  // the answer to one of those once more.
  bool reused_connection = false;
};

// How one call is made.
struct CallOptions {
  // Without a complete answer for this long the call ends as kNoResponse and
  // its connection is closed.
  Duration timeout{0};
  // A kept connection that was idle for longer is not used.
  Duration max_idle{0};
  // A larger body ends the call as kProtocolError, and its connection is
  // closed. The default is several times the largest page of a list.
  std::size_t max_body_bytes = 8'388'608;
  // The call has a connection of its own, which is closed after it: the answer
  // to another call cannot be taken for its answer.
  bool own_connection = false;
  // Whether the connection may carry another call after this complete answer;
  // absent means that it may.
  std::function<bool(const BufferedAnswer&)> keeps_connection;
};

// Sends the bytes of `request` to `address` and hands over the whole answer,
// once. For answers of the platform that fit into memory.
auto CallBuffered(boost::asio::io_context& loop, ConnectionPool& connections,
                  const SocketAddress& address, std::string request,
                  const CallOptions& options,
                  std::function<void(const BufferedAnswer&)> on_answer) -> void;

}  // namespace dotterellug::eventhttp
