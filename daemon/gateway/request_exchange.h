#pragma once

#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "admission/admission.h"
#include "core/core.h"
#include "daemon/gateway/gateway_context.h"
#include "daemon/gateway/request_trace.h"

namespace dotterellug::gateway {

// One request of a caller from its arrival to its final answer: identified,
// charged to its account, sent to an upstream, and its answer passed on. The
// event loop keeps it alive through its callbacks.
class RequestExchange : public std::enable_shared_from_this<RequestExchange> {
 public:
  RequestExchange(GatewayContext& context,
                  std::shared_ptr<eventhttp::ServerSession> session,
                  eventhttp::ServerRequest request);
  ~RequestExchange();
  RequestExchange(const RequestExchange&) = delete;
  auto operator=(const RequestExchange&) -> RequestExchange& = delete;

  auto Start() -> void;
  // Tries again to go on with a parked request. Returns whether it still waits.
  auto Retry(Timestamp now) -> bool;
  // Tries to go on with a request that is in its pool's queue, unless others
  // like it have just found no capacity. `owed` as in WaitingQueue::Turn.
  auto TakeTurn(bool owed, BlockedRequests& blocked, Timestamp now) -> void;
  auto IsWaiting() const -> bool {
    return !done_ && waiting_ != Waiting::kNothing;
  }
  // Adds the tokens that it waits for to what this daemon asks its hub for.
  auto StateNeed() const -> void;
  // The pool for whose upstreams it waits; null if it waits for nothing else.
  auto AwaitedPool() const -> const serving::ServicePool* {
    return waiting_ == Waiting::kUpstream ? pool_ : nullptr;
  }
  // Gives the request its final answer unless the answer has begun: the process
  // is about to end.
  auto AnswerBeforeStop() -> void;
  // Ends the request if it has a prompt part that is quarantined now, unless
  // its answer shows that the part works.
  auto OnQuarantine(Timestamp now) -> void;
  // The upstream will be gone soon, whatever it is running. Continues a
  // resumable stream at another one if there is one.
  auto MoveFrom(const UpstreamId& id, Timestamp now) -> void;
  // Logs that the process ends before the answer does.
  auto LogProcessStopped() -> void;

 private:
  // Why the request waits.
  enum class Waiting {
    kNothing,
    kConfiguration,
    kTokens,
    kUpstream,
    kFleetEvidence
  };

  // An attempt at one upstream.
  struct Attempt {
    serving::UpstreamTable::Entry upstream;
    std::shared_ptr<eventhttp::ClientConnection> connection;
    Timestamp sent_at;
    int status = 0;
    UpstreamAnswer answer;
    bool head_seen = false;
    bool first_event_seen = false;
    // The answer has got beyond its beginning.
    bool works_on_prompt = false;
    // Complete events of the stream before this attempt.
    std::int64_t events_before = 0;
    // Part of the upstream's unread prompt tokens until its first event.
    std::int64_t prefill_tokens = 0;
    // Unread prompt tokens there when it was sent, its own included, and
    // whether it found a free slot.
    std::int64_t prefill_tokens_ahead = 0;
    bool found_slot = false;
    // Work factor of the upstream when it began to answer.
    double work_factor = 1;
    // When the first event, or the head of another answer, arrived.
    std::optional<Timestamp> answered_at;
    // Counted in EngineWait as unanswered.
    bool unanswered = false;
    // Whether the upstream certainly had a free slot.
    bool had_slot = false;
    // Zero before the first event of a stream.
    Timestamp first_event_at{};
    // The answer is not passed on; another attempt follows when it has ended.
    bool discard = false;
    std::size_t discarded_bytes = 0;
    eventhttp::HeaderFields fields;
    std::string body;
    std::optional<std::uint64_t> length;
    // Neither a length nor chunks tell where the answer ends.
    bool ends_at_close = false;
  };

  auto Begin(Timestamp now) -> void;
  auto Identify() -> bool;
  auto CountDemand(Timestamp now) -> void;
  // Counts the slot time that the request asks of its pool.
  auto CountPoolDemand(Timestamp now) -> void;
  auto SpendTokens(Timestamp now) -> bool;
  // Rejects a request with a quarantined prompt part. Returns whether it did.
  auto RejectQuarantined(Timestamp now) -> bool;
  auto RefuseQuarantined(const PromptPartId& part, Timestamp now) -> void;
  // Counts a request that is sent although it has a quarantined part.
  auto BeginTrial(Timestamp now) -> void;
  auto PromptPartQuarantined() const -> bool {
    return context_.quarantine.FindQuarantined(request_.shared_parts) !=
           nullptr;
  }
  // Complete events of the stream that the attempt delivered.
  auto AttemptEvents() const -> std::int64_t {
    return events_.EventCount() - attempt_->events_before;
  }
  // Whether the attempt's answer has not got beyond its beginning, so that the
  // prompt may be what ends the upstream.
  auto AtBeginning() const -> bool;
  auto UpstreamProcess() const -> quarantine::UpstreamProcess;
  // Learns from the head or an event of the attempt's answer.
  auto RecordAnswerPart(Timestamp now) -> void;
  // Learns from the head of the attempt's answer which requests its upstream
  // takes.
  auto RecordBackpressure(Timestamp now) -> void;
  // Learns from the head of the attempt's answer how busy its upstream is and
  // how fast its machine works.
  auto RecordLoad(Timestamp now) -> void;
  // Counts a stated load that cannot be right, and logs it at a limited rate.
  auto IgnoreLoad(Timestamp now) -> void;
  // Learns how long the attempt's work took, of which the first event or the
  // whole answer has arrived.
  auto RecordFirstEventTime(Timestamp now) -> void;
  auto RecordSlotTime(Timestamp now) -> void;
  // Counts the request for the reports of usage; it began to run at `began`.
  auto CountUsage(Timestamp began, Timestamp now) -> void;
  // Learns from an attempt that its upstream broke off. Returns whether its
  // prompt is suspected to have ended other upstreams, too.
  auto RecordBreak(eventhttp::ExchangeEnd end, Timestamp now) -> bool;
  auto Dispatch(Timestamp now) -> void;
  auto ChoosePool() -> const serving::ServicePool*;
  using RankedUpstreams = tl::expected<serving::UpstreamSelector::Candidates,
                                       serving::SelectionFailure>;
  // The upstreams that could take the request, the preferred one first.
  auto Rank(Timestamp now) -> RankedUpstreams;
  // Takes what the rate of an upstream allows for the request. Returns false if
  // it allows none now.
  auto Admit(const serving::UpstreamView& upstream, Timestamp now) -> bool;
  auto Choose(const RankedUpstreams& ranked, Timestamp now)
      -> tl::expected<serving::UpstreamTable::Entry, serving::SelectionFailure>;
  // Whether the request should wait for a permit for the upstream that it
  // prefers, although others could take it.
  auto AwaitsPreferred(const RankedUpstreams& ranked, Timestamp now) const
      -> bool;
  auto Park(Waiting reason, Timestamp until) -> void;
  auto ParkForPermit(const UpstreamId& preferred, Timestamp now) -> void;
  auto ParkForUpstream(serving::SelectionFailure reason, Timestamp now) -> void;
  // What the order of the pool's queue depends on.
  auto QueueFacts() const -> WaitingRequest;
  // Requests that may wait at an engine, as a part of its slots.
  auto QueuePart(Timestamp now) const -> double;
  // Whether the request must wait behind others although it has just arrived.
  auto ArrivesBehindOthers(Timestamp now) const -> bool;
  // Waits in the pool's queue for capacity, or refuses the request if it would
  // wait in vain.
  auto AwaitCapacity(Timestamp now) -> void;
  // When the caller of a request that leaves the queue, or did not join it, is
  // asked to come back.
  auto ReturnDelayInQueue(Timestamp now) -> Duration;
  auto LogShed(const WaitingRequest& facts, Timestamp now) -> void;
  auto LeaveQueue() -> void;
  // Chooses the upstream for which the request awaits a permit. Returns whether
  // it is a new one, so that the hub should be asked.
  auto AwaitPermit(Timestamp now) -> bool;
  // Whether no upstream that has the model will take the request before
  // `until`: each has asked to be left alone for longer, or the hub has said
  // that its stated rate is used up.
  auto NoneInTime(Timestamp until, Timestamp now) const -> bool;
  // Time until the first of the upstreams that asked to be left alone takes
  // requests again, or until the deadline.
  auto ShortestPause(Timestamp now) const -> Duration;
  // A connection on which no answer to an earlier sending of the request can be
  // taken for the answer to the next one.
  auto TakeConnection(const SocketAddress& address)
      -> std::shared_ptr<eventhttp::ClientConnection>;
  auto SendTo(const serving::UpstreamTable::Entry& upstream, Timestamp now)
      -> void;
  auto ArmTimer() -> void;
  auto OnTimer() -> void;

  auto OnHead(eventhttp::ResponseHead& head) -> eventhttp::HeadVerdict;
  // Whether the answer goes on with the stream that another attempt began.
  auto ContinuesStream(const eventhttp::ResponseHead& head) const -> bool;
  auto AcceptAnswer(const eventhttp::ResponseHead& head) -> void;
  // Begins to pass the attempt's answer on before it is complete.
  auto BeginAnswer(std::optional<std::uint64_t> length) -> void;
  // Learns that the attempt's upstream served the request.
  auto RecordSuccess(Timestamp now) -> void;
  // Learns from an answer that said that the request was misdirected. Returns
  // the cause for the log.
  auto RecordMisdirected(Timestamp now) -> const char*;
  // Reads the attempt's answer without passing it on.
  auto Discard() -> void;
  // Ends an attempt whose discarded answer does not end.
  auto StopDiscarding() -> void;
  auto OnBody(std::string_view piece) -> void;
  auto OnEnd(eventhttp::ExchangeEnd end) -> void;
  // Whether the attempt's answer, which is complete, ends its stream before the
  // stream's own end.
  auto StreamEndsEarly() const -> bool;
  // Whether the attempt's answer, which is complete, is the request's last one.
  auto AnswerSettles() const -> bool;
  auto OnAnswerEnd() -> void;
  auto OnBroken(eventhttp::ExchangeEnd end) -> void;
  auto OnCallerGone() -> void;

  // The upstream has read the prompt.
  auto EndPrefill() -> void;
  // Ends the attempt's accounting.
  auto CloseAttempt() -> void;
  auto DropAttempt() -> void;
  // Whether a further attempt may be made after one that ran, or may have.
  auto MayRepeat(Timestamp now) const -> bool;
  auto TryAgain(const char* cause, Timestamp now) -> bool;

  // Learns from the attempt, whose answer is complete, how long requests take.
  auto ObserveServiceTime(Timestamp now) -> void;
  auto PassWholeAnswer() -> void;
  auto Refuse(int status, const char* cause,
              std::optional<Duration> retry_after) -> void;
  auto Finish(const char* outcome, const char* cause, int status) -> void;
  auto LogEnd(const char* outcome, const char* cause, int status) -> void;
  auto Repeatable() const -> bool;
  // How long a connection may have been idle that is used for the request.
  auto MaxIdle() const -> Duration;
  auto FirstEventPatience() const -> Duration;
  // When a caller whose request found no upstream is asked to come back.
  auto ReturnDelay() const -> Duration;
  auto MaxOutputTokens() const -> std::int64_t;
  // Whether the request, sent now, would probably not be complete before the
  // process stops.
  auto CannotFinishBeforeStop(Timestamp now) const -> bool;
  auto Stream() const -> bool {
    return route_->kind == serving::RequestKind::kStream;
  }

  GatewayContext& context_;
  std::shared_ptr<eventhttp::ServerSession> session_;
  eventhttp::ServerRequest http_;
  // The body of `http_`, shared with the attempts that send it. Its memory is
  // charged until the request ends.
  std::shared_ptr<const std::string> body_;
  serving::ServiceRequest request_;
  // Keeps the configuration that decided the request, and its route.
  std::shared_ptr<const serving::ServingCatalog> catalog_;
  const serving::ServiceRoute* route_ = nullptr;
  const serving::ServicePool* pool_ = nullptr;
  // Whether the pool's requests wait in its queue, in the order of
  // WaitingQueue.
  bool ordered_ = false;
  ClientAccountId account_;
  int priority_ = 5;
  Timestamp arrival_;
  RequestTrace trace_;
  Timestamp deadline_;
  std::int64_t charged_ = 0;

  Waiting waiting_ = Waiting::kNothing;
  // Since when it waits for the same thing.
  Timestamp parked_at_{};
  Timestamp waits_until_{};
  const char* waits_for_ = "";
  // Upstreams for which the last choice had no permit, in order of preference,
  // and the one whose permit the request awaits.
  std::vector<UpstreamId> without_permit_;
  UpstreamId awaited_permit_;
  // Until when the request prefers an upstream that states a rate to others;
  // not set before the first time.
  std::optional<Timestamp> preference_ends_at_;

  // The request's place in its pool's queue, if it has one.
  std::optional<QueueTicket> ticket_;
  // Whether it was expected to be late when it began to wait in the queue.
  bool expected_late_ = false;
  // Whether its level is owed work, while it takes its turn.
  bool owed_ = false;

  // Sent to find out whether a quarantined prompt part still ends upstreams.
  bool trial_ = false;
  // Because of which the request was rejected; empty if it was not.
  PromptPartId quarantined_part_;

  std::optional<Attempt> attempt_;
  std::vector<UpstreamId> tried_;
  // Attempts that ran or may have run.
  int ran_ = 0;
  // Attempts sent, also those that were not run.
  int sent_ = 0;
  bool answering_ = false;
  // Media type of the answer that is passed on.
  std::string stream_type_;
  bool done_ = false;
  // Whether it is contained in the reports of usage.
  bool usage_counted_ = false;
  serving::EventSplitter events_;
  boost::asio::steady_timer timer_;
  std::shared_ptr<std::unordered_set<RequestExchange*>> open_requests_;
};

}  // namespace dotterellug::gateway
