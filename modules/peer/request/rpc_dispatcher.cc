#include "peer/request/rpc_dispatcher.h"

#include <jsonrpccpp/common/exception.h>
#include <jsonrpccpp/common/procedure.h>
#include <jsonrpccpp/server/requesthandlerfactory.h>

#include <utility>

#include "peer/request/json_conversion.h"
#include "peer/request/rpc_error.h"

namespace dotterellug {

namespace {

// libjsonrpccpp passes no context to the method. A request is handled on one
// thread from begin to end, so its sender is kept there.
thread_local const MemberId* current_sender = nullptr;

auto CallMethod(const PeerMethod& method, const Json::Value& input)
    -> Result<nlohmann::json> {
  try {
    return method(*current_sender, FromJsonCpp(input));
  } catch (const std::exception& exception) {
    return Fail(ErrorKind::kOutcomeUnknown,
                std::string("the method failed: ") + exception.what(),
                "read the state before repeating the request");
  }
}

}  // namespace

RpcDispatcher::RpcDispatcher(PeerMethodTable methods)
    : methods_(std::move(methods)),
      protocol_(jsonrpc::RequestHandlerFactory::createProtocolHandler(
          jsonrpc::JSONRPC_SERVER_V2, *this)) {
  for (const auto& [name, method] : methods_) {
    protocol_->AddProcedure(jsonrpc::Procedure(name, jsonrpc::PARAMS_BY_NAME,
                                               jsonrpc::JSON_OBJECT, nullptr));
  }
}

auto RpcDispatcher::Dispatch(const MemberId& sender, const std::string& request)
    -> std::string {
  std::string response;
  current_sender = &sender;
  try {
    protocol_->HandleRequest(request, response);
  } catch (const std::exception&) {
    // An empty body is malformed for the sender, which takes the outcome as
    // unknown.
    response.clear();
  }
  current_sender = nullptr;
  return response;
}

auto RpcDispatcher::HandleMethodCall(jsonrpc::Procedure& procedure,
                                     const Json::Value& input,
                                     Json::Value& output) -> void {
  const auto& method = methods_.at(procedure.GetProcedureName());
  const auto result = CallMethod(method, input);
  if (!result) {
    throw jsonrpc::JsonRpcException(
        kRpcErrorCode, result.error().message,
        ToJsonCpp(EncodeRpcErrorData(result.error())));
  }
  output = ToJsonCpp(*result);
}

auto RpcDispatcher::HandleNotificationCall(jsonrpc::Procedure& procedure,
                                           const Json::Value& input) -> void {
  // All procedures are methods, so the protocol handler never gets here.
}

}  // namespace dotterellug
