#include "standins/common/fault_gate.h"

#include <thread>

namespace dotterellug::standins {
namespace {

using Json = nlohmann::json;

auto StatusOf(ErrorKind kind) -> unsigned {
  switch (kind) {
    case ErrorKind::kInvalidArgument:
      return 400;
    case ErrorKind::kNotFound:
      return 404;
    case ErrorKind::kConflict:
      return 409;
    case ErrorKind::kCompacted:
      return 410;
    case ErrorKind::kTooLarge:
      return 413;
    case ErrorKind::kExhausted:
      return 429;
    case ErrorKind::kUnavailable:
      return 503;
    default:
      return 500;
  }
}

auto BadRule(const std::string& what) -> tl::unexpected<Error> {
  return Fail(ErrorKind::kInvalidArgument, "fault rule: " + what,
              "see FaultGate");
}

auto ParseRule(const Json& json) -> Result<FaultRule> {
  FaultRule rule;
  const auto fault = ParseFaultKind(json.at("fault").get<std::string>());
  if (!fault) return BadRule("unknown fault " + json["fault"].dump());
  rule.fault = *fault;
  if (json.contains("operation")) {
    rule.operation =
        ParseOperationKind(json["operation"].get_ref<const std::string&>());
    if (!rule.operation) {
      return BadRule("unknown operation " + json["operation"].dump());
    }
  }
  rule.prefix = json.value("prefix", rule.prefix);
  rule.skip = json.value("skip", rule.skip);
  rule.count = json.value("count", rule.count);
  rule.delay = std::chrono::milliseconds(json.value("delay_ms", 0));
  rule.lag = json.value("lag", rule.lag);
  return rule;
}

auto ParseRules(const std::string& body) -> Result<FaultTable> {
  try {
    const auto parsed = Json::parse(body);
    FaultTable table;
    for (const auto& json : parsed.at("rules")) {
      auto rule = ParseRule(json);
      if (!rule) return tl::unexpected<Error>(rule.error());
      table.Add(*std::move(rule));
    }
    return table;
  } catch (const Json::exception& error) {
    return BadRule(error.what());
  }
}

}  // namespace

auto ErrorReply(const Error& error) -> HttpReply {
  const Json body{
      {"error",
       {{"type", ErrorKindName(error.kind)}, {"message", error.message}}}};
  return HttpReply{StatusOf(error.kind), body.dump()};
}

auto FaultGate::Run(OperationKind operation, const std::string& name,
                    const Apply& apply) -> HttpReply {
  const auto action = Begin(operation, name);
  switch (action.fault) {
    case FaultKind::kRefused:
      return ErrorReply(
          Error{ErrorKind::kUnavailable, "refused by the fault table", ""});
    case FaultKind::kOutage:
      return HttpReply{0, "", true};
    case FaultKind::kLostAfter:
      apply(action);
      return HttpReply{0, "", true};
    case FaultKind::kLate:
      return RunLate(action, apply);
    default:
      break;
  }
  auto reply = apply(action);
  if (action.fault == FaultKind::kSlow) {
    std::this_thread::sleep_for(action.delay);
  }
  return reply;
}

auto FaultGate::SetFaults(const std::string& body) -> HttpReply {
  auto table = ParseRules(body);
  if (!table) return ErrorReply(table.error());
  const std::lock_guard lock(mutex_);
  faults_ = *std::move(table);
  return HttpReply{200, "{}"};
}

auto FaultGate::Counters() const -> Json {
  const std::lock_guard lock(mutex_);
  Json calls = Json::object();
  for (std::size_t i = 0; i < kOperationKinds; ++i) {
    const auto kind = static_cast<OperationKind>(i);
    calls[std::string(OperationKindName(kind))] = counts_.Of(kind);
  }
  return Json{{"calls", calls}, {"late_pending", late_pending_}};
}

auto FaultGate::Begin(OperationKind operation, const std::string& name)
    -> FaultAction {
  const std::lock_guard lock(mutex_);
  counts_.Count(operation);
  const auto action = faults_.Next(operation, name);
  if (action.fault == FaultKind::kLate) ++late_pending_;
  return action;
}

auto FaultGate::RunLate(const FaultAction& action, const Apply& apply)
    -> HttpReply {
  std::this_thread::sleep_for(action.delay);
  auto reply = apply(action);
  const std::lock_guard lock(mutex_);
  --late_pending_;
  return reply;
}

}  // namespace dotterellug::standins
