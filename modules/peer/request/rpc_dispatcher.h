#pragma once

#include <jsonrpccpp/server/iclientconnectionhandler.h>
#include <jsonrpccpp/server/iprocedureinvokationhandler.h>

#include <memory>
#include <string>

#include "peer/request/peer_request_server.h"

namespace dotterellug {

// Runs JSON-RPC requests against the method table with the protocol handler of
// libjsonrpccpp. Thread-safe.
class RpcDispatcher : public jsonrpc::IProcedureInvokationHandler {
 public:
  explicit RpcDispatcher(PeerMethodTable methods);

  // Text of the response to a request whose sender is authenticated.
  auto Dispatch(const MemberId& sender, const std::string& request)
      -> std::string;

  auto HandleMethodCall(jsonrpc::Procedure& procedure, const Json::Value& input,
                        Json::Value& output) -> void override;
  auto HandleNotificationCall(jsonrpc::Procedure& procedure,
                              const Json::Value& input) -> void override;

 private:
  const PeerMethodTable methods_;
  std::unique_ptr<jsonrpc::IProtocolHandler> protocol_;
};

}  // namespace dotterellug
