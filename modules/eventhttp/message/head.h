#pragma once

#include <string>

#include "eventhttp/message/header_fields.h"

namespace dotterellug::eventhttp {

// The first line and the header fields of a request.
struct RequestHead {
  std::string method;
  // Path and query as received.
  std::string target;
  HeaderFields fields;
  // Whether the client keeps the connection open after the response.
  bool keep_alive = true;
};

// The first line and the header fields of a response.
struct ResponseHead {
  int status = 0;
  // The text after the status.
  std::string reason;
  HeaderFields fields;
  // Whether the server keeps the connection open after the response.
  bool keep_alive = true;
};

}  // namespace dotterellug::eventhttp
