#include "peer/request/json_rpc_client.h"

#include <jsonrpccpp/client/client.h>

namespace dotterellug {

namespace {

class ExchangeConnector : public jsonrpc::IClientConnector {
 public:
  explicit ExchangeConnector(const JsonRpcExchange& exchange)
      : exchange_(exchange) {}

  // NOLINTNEXTLINE(modernize-use-noexcept): the base class has this signature.
  auto SendRPCMessage(const std::string& message,
                      std::string& result) throw(jsonrpc::JsonRpcException)
      -> void override {
    responded_ = exchange_(message, &result);
    if (!responded_) {
      throw jsonrpc::JsonRpcException(jsonrpc::Errors::ERROR_CLIENT_CONNECTOR);
    }
  }

  auto Responded() const -> bool { return responded_; }

 private:
  const JsonRpcExchange& exchange_;
  bool responded_ = false;
};

}  // namespace

auto CallJsonRpc(const std::string& method, const Json::Value& parameters,
                 const JsonRpcExchange& exchange) -> JsonRpcReply {
  ExchangeConnector connector(exchange);
  JsonRpcReply reply;
  try {
    jsonrpc::Client client(connector, jsonrpc::JSONRPC_CLIENT_V2);
    client.CallMethod(method, parameters, reply.result);
    reply.kind = JsonRpcReply::Kind::kResult;
  } catch (const jsonrpc::JsonRpcException& exception) {
    reply.code = exception.GetCode();
    reply.message = exception.GetMessage();
    reply.data = exception.GetData();
    reply.kind = JsonRpcReply::Kind::kError;
    if (!connector.Responded()) reply.kind = JsonRpcReply::Kind::kNoExchange;
    if (reply.code == jsonrpc::Errors::ERROR_CLIENT_INVALID_RESPONSE ||
        reply.code == jsonrpc::Errors::ERROR_RPC_JSON_PARSE_ERROR) {
      reply.kind = JsonRpcReply::Kind::kMalformed;
    }
  } catch (const std::exception& exception) {
    reply.message = exception.what();
    reply.kind = connector.Responded() ? JsonRpcReply::Kind::kMalformed
                                       : JsonRpcReply::Kind::kNoExchange;
  }
  return reply;
}

}  // namespace dotterellug
