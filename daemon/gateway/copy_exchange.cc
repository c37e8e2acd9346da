#include "daemon/gateway/copy_exchange.h"

#include <array>
#include <charconv>
#include <optional>
#include <string_view>
#include <utility>

namespace dotterellug::gateway {
namespace {

constexpr const char* kStoreSource = "store";
// The lists that are exchanged, by their names in paths.
constexpr std::array<std::pair<StoreList, std::string_view>, 2> kLists{
    {{StoreList::kConfiguration, "configuration"},
     {StoreList::kZonesOut, "zones-out"}}};
// Paths are /copies/LIST?after=POSITION, with a packed position.
constexpr std::string_view kRoot = "/copies/";
constexpr std::string_view kAfter = "?after=";
constexpr int kNothingNewer = 204;
// A daemon that does not answer for so long is taken as unreachable. A large
// copy takes a fraction of it on the slowest links.
constexpr Duration kFetchTimeout = std::chrono::milliseconds(700);
// Longest rest of a kept connection, well below the server's idle timeout.
constexpr Duration kMaxIdle = std::chrono::seconds(4);

auto ListName(StoreList list) -> std::string_view {
  for (const auto& [other, name] : kLists) {
    if (other == list) return name;
  }
  return "";
}

// What a path asks for: a list, and the position up to which the asking daemon
// has read it.
struct CopyRequest {
  StoreList list;
  StorePosition position;
};

auto ParseCopyRequest(std::string_view target) -> std::optional<CopyRequest> {
  if (target.substr(0, kRoot.size()) != kRoot) return std::nullopt;
  target.remove_prefix(kRoot.size());
  const auto query = target.find(kAfter);
  if (query == std::string_view::npos) return std::nullopt;
  const auto digits = target.substr(query + kAfter.size());
  std::int64_t position = 0;
  const auto read =
      std::from_chars(digits.data(), digits.data() + digits.size(), position);
  const bool whole = read.ptr == digits.data() + digits.size();
  if (read.ec != std::errc() || !whole) return std::nullopt;
  for (const auto& [list, name] : kLists) {
    if (name == target.substr(0, query)) {
      return CopyRequest{list, StorePosition::FromPacked(position)};
    }
  }
  return std::nullopt;
}

}  // namespace

CopyExchange::CopyExchange(GatewayContext& context,
                           std::shared_ptr<ControlLink> link)
    : context_(context),
      link_(std::move(link)),
      server_(context.loop,
              [this](const std::shared_ptr<eventhttp::ServerSession>& session,
                     const eventhttp::ServerRequest& request) {
                Answer(session, request);
              }),
      connections_(context.loop, {1, kMaxIdle, 0.7}),
      planner_(context.settings.instance, context.settings.zone,
               Hash64(context.settings.instance.Value())),
      source_(kStoreSource) {}

auto CopyExchange::Start() -> Result<void> {
  const auto address = server_.Listen(context_.settings.peers);
  if (!address) return tl::unexpected<Error>(address.error());
  return {};
}

auto CopyExchange::SetMembers(const std::vector<Member>& members) -> void {
  std::vector<fleet::RegisteredDaemon> registered;
  registered.reserve(members.size());
  addresses_.clear();
  for (const auto& member : members) {
    registered.push_back({member.id, member.zone, member.capacity});
    addresses_[member.id] = member.peers;
  }
  planner_.SetMembers(registered);
}

auto CopyExchange::Tick(Timestamp now) -> void {
  for (const auto& [list, name] : kLists) {
    const auto index = static_cast<std::size_t>(list);
    const auto daemon = planner_.Next(index, link_->behind_since(list), now);
    if (daemon) Fetch(list, *daemon);
  }
  connections_.Sweep(now);
}

auto CopyExchange::Answer(
    const std::shared_ptr<eventhttp::ServerSession>& session,
    const eventhttp::ServerRequest& request) -> void {
  const auto asked = ParseCopyRequest(request.head.target);
  if (!asked) return session->Respond(404, {}, "");
  const auto index = static_cast<std::size_t>(asked->list);
  if (link_->positions().at(index) <= asked->position) {
    return session->Respond(kNothingNewer, {}, "");
  }
  session->Respond(200, {{"Content-Type", "application/json"}},
                   link_->copy_of(asked->list));
}

auto CopyExchange::Fetch(StoreList list, const InstanceId& daemon) -> void {
  const auto& address = addresses_.at(daemon);
  const auto position = link_->positions().at(static_cast<std::size_t>(list));
  auto request = "GET " + std::string(kRoot) + std::string(ListName(list)) +
                 std::string(kAfter) + std::to_string(position.Packed()) +
                 " HTTP/1.1\r\nHost: " + address.Text() + "\r\n\r\n";
  eventhttp::CallOptions options;
  options.timeout = kFetchTimeout;
  options.max_idle = kMaxIdle;
  eventhttp::CallBuffered(
      context_.loop, connections_, address, std::move(request), options,
      [this, list, daemon](const eventhttp::BufferedAnswer& answer) {
        OnAnswer(list, daemon, answer);
      });
}

auto CopyExchange::OnAnswer(StoreList list, const InstanceId& daemon,
                            const eventhttp::BufferedAnswer& answer) -> void {
  const auto now = MonotonicNow();
  const auto behind_since = link_->behind_since(list);
  const auto newer = Adopt(list, daemon, answer);
  planner_.OnEnded(static_cast<std::size_t>(list), newer.value_or(false), now);
  const bool good = newer.has_value();
  const char* outcome = "failed";
  if (good) outcome = *newer ? "newer" : "nothing_newer";
  context_.metrics.Count(GatewayCounter::kCopyFetches, outcome);
  auto line = context_.log.Write(good ? EventRank::kState : EventRank::kFailure,
                                 "copy_fetched");
  line.Add("list", ListName(list))
      .Add("from", daemon.Value())
      .Add("outcome", outcome)
      .Add("position",
           link_->positions().at(static_cast<std::size_t>(list)).Packed());
  if (behind_since) line.AddMs("behind_ms", now - *behind_since);
  if (!good) line.Add("error", newer.error().Text());
}

auto CopyExchange::Adopt(StoreList list, const InstanceId& daemon,
                         const eventhttp::BufferedAnswer& answer)
    -> Result<bool> {
  const bool complete = answer.end == eventhttp::ExchangeEnd::kComplete;
  if (complete && answer.status == kNothingNewer) return false;
  if (!complete || answer.status != 200) {
    return Fail(ErrorKind::kUnavailable,
                "a daemon did not answer with its copy, status " +
                    std::to_string(answer.status),
                "another daemon is asked; check this one if it goes on");
  }
  source_ = daemon.Value();
  const auto newer = link_->adopt_copy(list, answer.body);
  source_ = kStoreSource;
  return newer;
}

}  // namespace dotterellug::gateway
