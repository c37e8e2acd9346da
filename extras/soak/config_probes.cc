#include "soak/config_probes.h"

#include <algorithm>
#include <memory>
#include <utility>

#include "platform/standins/platform_documents.h"

namespace dotterellug::soak {
namespace {

// Versions whose routes a configuration keeps.
constexpr std::int64_t kKeptVersions = 60;
// A probe for a version that may be dropped before it arrives shows nothing.
constexpr std::int64_t kProbedVersions = 40;
constexpr Duration kTimeLimit = std::chrono::seconds(2);

auto RouteOf(std::int64_t version) -> std::string {
  return "since-" + std::to_string(version);
}

}  // namespace

auto ConfigProbes::RoutesOf(std::int64_t version) -> std::vector<std::string> {
  std::vector<std::string> routes;
  const auto first = std::max<std::int64_t>(version - kKeptVersions + 1, 1);
  for (auto kept = first; kept <= version; ++kept) {
    routes.push_back(RouteOf(kept));
  }
  return routes;
}

auto ConfigProbes::Start(Duration pause,
                         const std::vector<CallerTarget>& targets) -> void {
  timer_.expires_after(pause);
  timer_.async_wait([this, pause, &targets](boost::system::error_code error) {
    if (error) return;
    SendOne(targets);
    Start(pause, targets);
  });
}

auto ConfigProbes::DueVersion() const -> std::int64_t {
  const auto before = clock_() - ledger_.bounds.apply;
  std::int64_t due = 0;
  for (const auto& [version, at] : written_) {
    if (at <= before) due = version;
  }
  const auto newest = written_.empty() ? 0 : written_.rbegin()->first;
  return newest - due < kProbedVersions ? due : 0;
}

auto ConfigProbes::SendOne(const std::vector<CallerTarget>& targets) -> void {
  const auto daemon = random_.Below(targets.size());
  const auto version = DueVersion();
  if (version == 0 || !targets[daemon].takes_connections) return;
  ProbeRecord record;
  record.id = "probe-" + std::to_string(++sent_);
  record.daemon = daemon;
  record.sent_at = clock_();
  record.version = version;
  record.written_at = written_.at(version);
  const auto index = ledger_.probes.size();
  ledger_.probes.push_back(record);
  const auto connection = std::make_shared<eventhttp::ClientConnection>(
      loop_, targets[daemon].address);
  eventhttp::ExchangeHandlers handlers;
  handlers.on_head = [this, index](eventhttp::ResponseHead& head) {
    ledger_.probes[index].status = head.status;
    return eventhttp::HeadVerdict::kAccept;
  };
  handlers.on_body = [](std::string_view) {};
  handlers.on_end = [connection](eventhttp::ExchangeEnd) {};
  platform::CallerRequest request;
  request.id = record.id;
  request.path = "/" + RouteOf(version) + "/x";
  request.key = "key-open";
  request.time_limit = kTimeLimit;
  connection->Exchange(platform::EncodeCallerRequest(request),
                       std::move(handlers));
}

}  // namespace dotterellug::soak
