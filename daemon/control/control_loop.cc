#include "daemon/control/control_loop.h"

#include <utility>

namespace dotterellug {
namespace {

constexpr Duration kTick = std::chrono::milliseconds(100);
// Up to this age of the last proof, operation is normal.
constexpr Duration kCurrencyLimit = std::chrono::seconds(3);
// A zone counts as reached when a peer in it was heard from within this time,
// which spans several probe rounds and leaves 1 s of the 5 s within which an
// isolated daemon has to refuse keyed requests.
constexpr Duration kContactLimit = std::chrono::seconds(4);

}  // namespace

ControlLoop::ControlLoop(SharedState& state, DigestKey digest_key,
                         const DaemonSettings& settings)
    : state_(state),
      digest_key_(digest_key),
      follower_({}),
      own_zone_(settings.availability_zone),
      self_(settings.instance) {
  fleet_.SetDaemons(self_, {});
  thread_ = std::thread([this] { Run(); });
}

ControlLoop::~ControlLoop() {
  stopping_ = true;
  thread_.join();
}

auto ControlLoop::CurrencyAge() const -> Duration {
  return MonotonicNow() - Timestamp(Duration(proved_at_us_.load()));
}

auto ControlLoop::Run() -> void {
  while (!stopping_) {
    auto event = mailbox_.Receive(kTick);
    if (event) Handle(*event);
    Tick();
  }
}

auto ControlLoop::Handle(ControlEvent& event) -> void {
  const auto now = MonotonicNow();
  std::visit(
      Overloaded{
          [&](UpstreamObservation& observation) {
            if (const auto table = state_.routing.Load()) {
              if (const auto load = table->LoadOf(observation.upstream);
                  load && observation.reachable) {
                load->ApplyReport(observation.load);
              }
            }
            if (fleet_.Observe(observation, now)) PublishRouting();
          },
          [&](StoreAnswered& answer) {
            if (store_up_ != true) {
              LogState(LogSeverity::kInfo, "object API answers");
            }
            store_up_ = true;
            answered_at_ = answer.asked_at;
            if (answer.ref) {
              const auto result = follower_.OnStoreAnswer(*answer.ref);
              if (result == OfferResult::kIgnored) {
                state_.metrics.Count(Event::kStaleRevision);
              }
            }
            // The proof holds from the moment of the question, and only when
            // nothing newer is known.
            if (follower_.Current() == follower_.Target()) {
              NoteProof(answer.asked_at);
            }
          },
          [&](StoreFailed&) {
            state_.metrics.Count(Event::kStoreError);
            if (store_up_ != false) {
              LogState(LogSeverity::kWarning, "object API does not answer");
            }
            store_up_ = false;
            follower_.OnStoreFailure();
          },
          [&](RevisionFetched& fetched) { Adopt(fetched); },
          [&](RevisionRejected& rejected) {
            LogState(LogSeverity::kError, "revision cannot be read",
                     {{"revision", std::to_string(rejected.ref.number.Value())},
                      {"fault", rejected.fault}});
          },
          [&](InstanceListRead& list) { ApplyInstanceList(list); },
          [&](LiveDaemons& live) {
            if (fleet_.SetDaemons(self_, std::move(live.daemons))) {
              PublishRouting();
            }
          },
          [&](PeerProof& proof) {
            if (proof.revision == follower_.Current().number) {
              NoteProof(proof.proved_at);
            }
          }},
      event);
}

auto ControlLoop::Adopt(RevisionFetched& fetched) -> void {
  if (!follower_.Adopt(fetched.ref)) {
    state_.metrics.Count(Event::kStaleRevision);
    return;
  }
  if (follower_.Current() == follower_.Target()) NoteProof(answered_at_);
  const auto snapshot = MakeSnapshot(fetched.ref.number,
                                     std::move(fetched.document), digest_key_);
  fleet_.SetSnapshot(snapshot);
  state_.snapshot.Store(snapshot);
  if (on_document_) on_document_(snapshot);
  PublishRouting();
  state_.metrics.Set(Level::kRevision,
                     static_cast<double>(fetched.ref.number.Value()));
  LogState(LogSeverity::kInfo, "revision in force",
           {{"revision", std::to_string(fetched.ref.number.Value())}});
  if (!ready_) {
    ready_ = true;
    LogState(LogSeverity::kInfo, "ready");
  }
}

auto ControlLoop::ApplyInstanceList(const InstanceListRead& list) -> void {
  std::set<UpstreamId> leaving;
  for (const auto& instance : list.leaving) {
    leaving.insert(UpstreamId(instance.Value()));
  }
  if (!fleet_.SetLeaving(leaving)) return;
  PublishRouting();
  if (on_leaving_) on_leaving_(leaving);
}

auto ControlLoop::PublishRouting() -> void {
  if (!state_.snapshot.Load()) return;
  const auto previous = state_.routing.Load();
  state_.routing.Store(fleet_.BuildTable(previous.get()));
  state_.gate.NotifyRoom();
}

auto ControlLoop::NoteProof(Timestamp proved_at) -> void {
  proved_at_ = std::max(proved_at_, proved_at);
  proved_at_us_ = proved_at_.time_since_epoch().count();
}

auto ControlLoop::CheckIsolation(Timestamp now) -> void {
  const auto snapshot = state_.snapshot.Load();
  if (!snapshot) return;
  bool isolated = false;
  if (now - proved_at_ > kCurrencyLimit && zones_heard_) {
    auto zones = zones_heard_(now - kContactLimit);
    zones.insert(own_zone_);
    std::size_t heard = 0;
    for (const auto& [id, zone] : snapshot->document.zones) {
      heard += zones.count(id);
    }
    isolated = 2 * heard <= snapshot->document.zones.size();
  }
  if (isolated == state_.isolated) return;
  state_.isolated = isolated;
  LogState(
      isolated ? LogSeverity::kError : LogSeverity::kInfo,
      isolated ? "isolated; refusing keyed requests" : "no longer isolated");
}

auto ControlLoop::Tick() -> void {
  if (fleet_.Expire(MonotonicNow())) PublishRouting();
  std::size_t waiting = 0;
  for (const auto priority :
       {PriorityClass::kInteractive, PriorityClass::kStandard,
        PriorityClass::kBatch}) {
    waiting += state_.gate.Waiting(priority);
  }
  state_.metrics.Set(Level::kWaitingRequests, static_cast<double>(waiting));
  CheckIsolation(MonotonicNow());
  state_.metrics.Set(Level::kUpstreamsUp,
                     static_cast<double>(fleet_.UpCount()));
  state_.metrics.Set(Level::kCurrencyAgeSeconds, ToSeconds(CurrencyAge()));
}

}  // namespace dotterellug
