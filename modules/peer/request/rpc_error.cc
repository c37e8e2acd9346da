#include "peer/request/rpc_error.h"

namespace dotterellug {

namespace {

auto ParseErrorKind(const std::string& name) -> ErrorKind {
  for (int index = 0; index <= static_cast<int>(ErrorKind::kInternal);
       ++index) {
    const auto kind = static_cast<ErrorKind>(index);
    if (ErrorKindName(kind) == name) return kind;
  }
  return ErrorKind::kOutcomeUnknown;
}

auto TextMember(const nlohmann::json& data, const char* name) -> std::string {
  if (!data.is_object()) return {};
  const auto member = data.find(name);
  if (member == data.end() || !member->is_string()) return {};
  return member->get<std::string>();
}

}  // namespace

auto EncodeRpcErrorData(const Error& error) -> nlohmann::json {
  return {{"kind", ErrorKindName(error.kind)},
          {"message", error.message},
          {"remedy", error.remedy}};
}

auto DecodeRpcErrorData(const nlohmann::json& data) -> Error {
  return Error{ParseErrorKind(TextMember(data, "kind")),
               TextMember(data, "message"), TextMember(data, "remedy")};
}

}  // namespace dotterellug
