#pragma once

// Compiled as C++14 and as C++17: the client headers of libjsonrpccpp 0.7.0 use
// dynamic exception specifications, which C++17 removed. Only
// json_rpc_client.cc includes them.

#include <jsoncpp/json/value.h>

#include <functional>
#include <string>

namespace dotterellug {

// Sends the text of a JSON-RPC request and stores the text of its response;
// returns whether there is a response.
using JsonRpcExchange =
    std::function<bool(const std::string& request, std::string* response)>;

// How a JSON-RPC call ended.
struct JsonRpcReply {
  enum class Kind {
    kResult,
    kError,       // the peer sent an error object
    kNoExchange,  // the exchange returned false
    kMalformed,   // the response is not JSON-RPC
  };

  Kind kind = Kind::kMalformed;
  Json::Value result;
  int code = 0;
  std::string message;
  Json::Value data;
};

// One JSON-RPC 2.0 call with named parameters.
auto CallJsonRpc(const std::string& method, const Json::Value& parameters,
                 const JsonRpcExchange& exchange) -> JsonRpcReply;

}  // namespace dotterellug
