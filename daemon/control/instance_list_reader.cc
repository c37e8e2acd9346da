#include "daemon/control/instance_list_reader.h"

#include <memory>
#include <nlohmann/json.hpp>

#include "core/text/json_depth.h"

namespace dotterellug {
namespace {

constexpr Duration kInterval = std::chrono::milliseconds(500);
constexpr Duration kTimeout = std::chrono::seconds(1);

// More levels than a list has; copies of a deep value exhaust the stack.
constexpr int kMaxDepth = 32;

auto Text(const nlohmann::json& entry, const char* name) -> std::string {
  const auto found = entry.find(name);
  return found != entry.end() && found->is_string() ? found->get<std::string>()
                                                    : std::string();
}

}  // namespace

auto ParseInstanceList(const std::string& body)
    -> std::optional<InstanceListRead> {
  if (JsonDepth(body) > kMaxDepth) return std::nullopt;
  const auto json = nlohmann::json::parse(body, nullptr, false);
  if (!json.is_object() || !json.contains("instances") ||
      !json["instances"].is_array()) {
    return std::nullopt;
  }
  InstanceListRead list;
  for (const auto& entry : json["instances"]) {
    if (!entry.is_object()) continue;
    ListedInstance instance;
    instance.id = InstanceId(Text(entry, "id"));
    if (instance.id.Empty()) continue;
    instance.zone = AvailabilityZoneId(Text(entry, "availability_zone"));
    instance.address = Text(entry, "address");
    instance.leaving = Text(entry, "state") == "leaving";
    if (instance.leaving) list.leaving.insert(instance.id);
    if (!instance.address.empty()) list.daemons.push_back(instance);
  }
  return list;
}

InstanceListReader::InstanceListReader(const UpstreamTarget& list, Send send)
    : target_(list), send_(std::move(send)) {
  thread_ = std::thread([this] { Run(); });
}

InstanceListReader::~InstanceListReader() {
  stopping_ = true;
  thread_.join();
}

auto InstanceListReader::ReadOnce(UpstreamExchange& exchange)
    -> std::optional<InstanceListRead> {
  UpstreamCall call;
  call.target = target_;
  call.method = "GET";
  call.url = "/v1/instances";
  call.attempt = RequestId("list." + std::to_string(++reads_));
  call.repeatable = true;
  const auto head = exchange.Begin(call, kTimeout);
  if (!head || head->status != 200) return std::nullopt;
  std::string body;
  while (true) {
    auto progress = exchange.Read(kTimeout);
    if (!progress) return std::nullopt;
    if (std::holds_alternative<BodyFinished>(*progress)) {
      return ParseInstanceList(body);
    }
    body += std::get<BodyPart>(*progress).bytes;
  }
}

auto InstanceListReader::Run() -> void {
  std::unique_ptr<UpstreamExchange> exchange;
  while (!stopping_) {
    if (!exchange) exchange = std::make_unique<UpstreamExchange>(target_);
    const auto asked_at = MonotonicNow();
    if (auto list = ReadOnce(*exchange)) {
      list->asked_at = asked_at;
      send_(std::move(*list));
    }
    if (!exchange->Reusable()) exchange.reset();
    std::this_thread::sleep_for(kInterval);
  }
}

}  // namespace dotterellug
