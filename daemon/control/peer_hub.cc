#include "daemon/control/peer_hub.h"

#include <algorithm>

#include "daemon/control/demand_codec.h"
#include "peer/codec/budget_codec.h"
#include "peer/codec/claim_codec.h"
#include "peer/codec/membership_codec.h"

namespace dotterellug {
namespace {

constexpr Duration kTick = std::chrono::milliseconds(100);
constexpr Duration kRequestLimit = std::chrono::seconds(1);
// Messages beyond this wait for nothing useful: their senders repeat them.
constexpr std::size_t kMaxQueued = 4096;

auto SelfStatement(const DaemonSettings& settings, const MemberId& self)
    -> MemberStatement {
  MemberStatement statement;
  statement.id = self.instance;
  statement.version.incarnation = self.incarnation;
  statement.zone = settings.availability_zone;
  statement.address = settings.listen.peers.host + ":" +
                      std::to_string(settings.listen.peers.port);
  return statement;
}

}  // namespace

PeerHub::PeerHub(const DaemonSettings& settings, const MemberId& self,
                 const FleetKey& key, PeerEvents events, Metrics& metrics)
    : self_(self),
      events_(std::move(events)),
      metrics_(metrics),
      client_({self}, key),
      detector_(SelfStatement(settings, self), {},
                Hash64(self.instance.Value(),
                       static_cast<std::uint64_t>(self.incarnation.Value()))) {}

auto PeerHub::Start(const DaemonSettings& settings, const MemberId& self,
                    const FleetKey& key, PeerEvents events, Metrics& metrics)
    -> Result<std::unique_ptr<PeerHub>> {
  std::unique_ptr<PeerHub> hub(
      new PeerHub(settings, self, key, std::move(events), metrics));
  if (auto listening = hub->Listen(settings, key); !listening) {
    return tl::unexpected(listening.error());
  }
  hub->threads_.emplace_back([raw = hub.get()] { raw->Tick(); });
  for (std::size_t i = 0; i < kSenders; ++i) {
    hub->threads_.emplace_back([raw = hub.get()] { raw->SendRequests(); });
  }
  return hub;
}

PeerHub::~PeerHub() {
  {
    const std::lock_guard lock(queue_mutex_);
    stopping_ = true;
  }
  queued_.notify_all();
  stopped_.notify_all();
  for (auto& thread : threads_) thread.join();
  datagrams_.reset();
  server_.reset();
}

auto PeerHub::Listen(const DaemonSettings& settings, const FleetKey& key)
    -> Result<void> {
  DatagramEndpointOptions datagrams;
  datagrams.listen = settings.listen.peers;
  datagrams.self = self_;
  auto endpoint = DatagramEndpoint::Start(
      datagrams, key,
      [this](const MemberId&, const SocketAddress&,
             const nlohmann::json& body) { OnDatagram(body); });
  if (!endpoint) return tl::unexpected(endpoint.error());
  datagrams_ = std::move(*endpoint);
  PeerRequestServerOptions requests;
  requests.listen = settings.listen.peers;
  requests.self = self_;
  auto server = PeerRequestServer::Start(requests, key, Methods());
  if (!server) return tl::unexpected(server.error());
  server_ = std::move(*server);
  return {};
}

auto PeerHub::Methods() -> PeerMethodTable {
  PeerMethodTable methods;
  for (const auto& name : BudgetMethods()) {
    methods[name] =
        [this, name](
            const MemberId&,
            const nlohmann::json& parameters) -> Result<nlohmann::json> {
      const auto message = DecodeBudgetMessage(name, parameters);
      if (!message) return tl::unexpected(message.error());
      events_.on_budget(*message);
      return nlohmann::json::object();
    };
  }
  for (const auto& name : ClaimMethods()) {
    methods[name] =
        [this, name](
            const MemberId&,
            const nlohmann::json& parameters) -> Result<nlohmann::json> {
      const auto message = DecodeClaimMessage(name, parameters);
      if (!message) return tl::unexpected(message.error());
      events_.on_claim(*message);
      return nlohmann::json::object();
    };
  }
  methods[kDemandMethod] =
      [this](const MemberId&,
             const nlohmann::json& parameters) -> Result<nlohmann::json> {
    const auto report = DecodeDemand(parameters);
    if (!report) return tl::unexpected(report.error());
    events_.on_demand(*report);
    return nlohmann::json::object();
  };
  return methods;
}

auto PeerHub::Tick() -> void {
  while (true) {
    {
      std::unique_lock lock(queue_mutex_);
      stopped_.wait_for(lock, kTick, [this] { return stopping_; });
      if (stopping_) return;
    }
    const auto now = MonotonicNow();
    std::vector<OutgoingMessage> messages;
    std::vector<MemberEvent> events;
    {
      const std::lock_guard lock(mutex_);
      messages = detector_.Tick(now);
      events = detector_.TakeEvents();
    }
    SendAll(messages);
    for (const auto& event : events) {
      if (event.kind == MemberEventKind::kProcessDead) {
        LogState(LogSeverity::kWarning, "member gone",
                 {{"member", event.id.Value()}});
        events_.on_gone({event.id, event.incarnation});
      }
      if (event.kind == MemberEventKind::kSelfSuperseded) {
        LogState(LogSeverity::kError,
                 "a newer process runs on this instance; stop this one");
      }
    }
    PublishLive(now);
  }
}

auto PeerHub::PublishLive(Timestamp now) -> void {
  std::set<MemberId> live{self_};
  {
    const std::lock_guard lock(mutex_);
    for (const auto& [id, record] : detector_.Table().All()) {
      const auto incarnation = record.statement.version.incarnation;
      if (incarnation.Value() == 0) continue;
      if (!detector_.Table().IsInLiveSet(id, now)) continue;
      live.insert({id, incarnation});
    }
    if (live == published_live_) return;
    published_live_ = live;
  }
  metrics_.Set(Level::kLiveMembers, static_cast<double>(live.size()));
  LogState(LogSeverity::kInfo, "live members changed",
           {{"members", std::to_string(live.size())}});
  events_.on_live(std::move(live));
}

auto PeerHub::OnDatagram(const nlohmann::json& body) -> void {
  const auto message = DecodeMemberMessage(body);
  if (!message) {
    metrics_.Count(Event::kPeerError);
    return;
  }
  const auto now = MonotonicNow();
  std::vector<OutgoingMessage> answers;
  {
    const std::lock_guard lock(mutex_);
    answers = detector_.OnMessage(*message, now);
  }
  SendAll(answers);
  if (message->currency_age_ms < 0) return;
  events_.on_proof(message->revision,
                   now - std::chrono::milliseconds(message->currency_age_ms));
}

auto PeerHub::SendAll(const std::vector<OutgoingMessage>& messages) -> void {
  for (const auto& message : messages) {
    const auto address = ParseSocketAddress(message.address);
    if (!address) continue;
    const auto sent = datagrams_->Send({message.to, Incarnation(0)}, *address,
                                       EncodeMemberMessage(message.message));
    if (!sent) metrics_.Count(Event::kPeerError);
  }
}

auto PeerHub::Enqueue(Outgoing outgoing) -> void {
  {
    const std::lock_guard lock(queue_mutex_);
    if (queue_.size() >= kMaxQueued) return;
    queue_.push_back(std::move(outgoing));
  }
  queued_.notify_one();
}

auto PeerHub::SendBudget(const MemberId& to, const BudgetMessage& message)
    -> void {
  auto encoded = EncodeBudgetMessage(message);
  Enqueue({to, std::move(encoded.method), std::move(encoded.parameters)});
}

auto PeerHub::SendClaim(const MemberId& to, const ClaimMessage& message)
    -> void {
  auto encoded = EncodeClaimMessage(message);
  Enqueue({to, std::move(encoded.method), std::move(encoded.parameters)});
}

auto PeerHub::SendDemand(const MemberId& to, const ModelDemandReport& report)
    -> void {
  Enqueue({to, kDemandMethod, EncodeDemand(report)});
}

auto PeerHub::SendRequests() -> void {
  std::unique_lock lock(queue_mutex_);
  while (true) {
    queued_.wait(lock, [this] { return stopping_ || !queue_.empty(); });
    if (stopping_) return;
    const auto outgoing = std::move(queue_.front());
    queue_.pop_front();
    lock.unlock();
    std::optional<SocketAddress> address;
    {
      const std::lock_guard table_lock(mutex_);
      const auto* record = detector_.Table().Find(outgoing.to.instance);
      if (record != nullptr) {
        if (auto parsed = ParseSocketAddress(record->statement.address)) {
          address = *parsed;
        }
      }
    }
    if (address) {
      const auto result = client_.Call(
          {outgoing.to.instance, *address, outgoing.to.incarnation},
          outgoing.method, outgoing.parameters, kRequestLimit);
      if (!result) metrics_.Count(Event::kPeerError);
    }
    lock.lock();
  }
}

auto PeerHub::SetInstanceList(const InstanceListRead& list) -> void {
  std::set<InstanceId> peers;
  std::vector<ListedInstance> listed;
  for (const auto& daemon : list.daemons) {
    listed.push_back(daemon);
    if (daemon.id != self_.instance) peers.insert(daemon.id);
  }
  datagrams_->SetPeers(peers);
  server_->SetPeers(peers);
  const std::lock_guard lock(mutex_);
  detector_.OnInstanceList(listed, list.asked_at);
}

auto PeerHub::SetConfigRevision(RevisionNumber revision, Duration currency_age)
    -> void {
  const auto age =
      std::chrono::duration_cast<std::chrono::milliseconds>(currency_age);
  const std::lock_guard lock(mutex_);
  detector_.SetConfigRevision(revision, age.count());
}

auto PeerHub::Leave() -> void {
  const std::lock_guard lock(mutex_);
  detector_.Leave();
}

auto PeerHub::ZonesHeardSince(Timestamp since) -> std::set<AvailabilityZoneId> {
  const std::lock_guard lock(mutex_);
  return detector_.Table().ZonesHeardSince(since);
}

auto PeerHub::Status() -> std::vector<PeerStatus> {
  const std::lock_guard lock(mutex_);
  std::vector<PeerStatus> status;
  for (const auto& [id, record] : detector_.Table().All()) {
    status.push_back(
        {id, record.statement.version.incarnation, record.State()});
  }
  return status;
}

}  // namespace dotterellug
