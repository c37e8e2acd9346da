#include "daemon/traffic/service_call.h"

#include <array>
#include <thread>
#include <utility>

namespace dotterellug {
namespace {

constexpr int kMaxAttempts = 4;
// How often a call without a place looks again.
constexpr Duration kNoPlaceWait = std::chrono::milliseconds(5);

constexpr std::array<const char*, 5> kPassedHeaders{
    "Content-Type", "Location", "ETag", "Last-Modified", "Cache-Control"};

auto ResponseHeaders(const UpstreamHead& head, const RequestId& id)
    -> std::vector<HttpHeader> {
  std::vector<HttpHeader> headers{{"X-Request-Id", id.Value()}};
  for (const auto* name : kPassedHeaders) {
    auto value = head.Header(name);
    if (!value.empty()) headers.push_back({name, std::move(value)});
  }
  return headers;
}

}  // namespace

ServiceCall::ServiceCall(SharedState& state, RequestContext context,
                         ServiceRequest request, CallerConnection caller)
    : state_(state),
      context_(std::move(context)),
      request_(std::move(request)),
      caller_(caller),
      dispatcher_(state) {}

auto ServiceCall::BuildCall(const UpstreamTarget& target) const
    -> UpstreamCall {
  UpstreamCall call;
  call.target = target;
  call.method = request_.method;
  call.url = request_.url;
  call.headers = request_.headers;
  call.body = request_.body;
  call.attempt = AttemptId(context_.id, attempts_);
  call.repeatable = request_.idempotent;
  call.headers.push_back({"X-Client-Account", context_.account.Value()});
  if (!state_.upstream_credential.empty()) {
    call.headers.push_back(
        {"Authorization", "Bearer " + state_.upstream_credential});
  }
  return call;
}

auto ServiceCall::ReadWhole(UpstreamExchange& exchange,
                            const UpstreamHead& head)
    -> tl::expected<HttpResponse, RequestFailure> {
  // Passed on whole, so that a cut response is never taken for a complete one.
  std::string body;
  while (true) {
    auto progress = exchange.Read(state_.timeouts.progress,
                                  [this] { return state_.MustAnswerNow(); });
    if (!progress) {
      auto failure =
          ExchangeFailure(state_, progress.error(), exchange.State());
      const bool too_large = progress.error().kind == ErrorKind::kTooLarge;
      failure.ran = too_large ? Ran::kYes : Ran::kUnknown;
      return tl::unexpected(std::move(failure));
    }
    if (std::holds_alternative<BodyFinished>(*progress)) break;
    body += std::get<BodyPart>(*progress).bytes;
  }
  return HttpResponse{head.status, ResponseHeaders(head, context_.id),
                      std::move(body), false};
}

auto ServiceCall::Attempt() -> tl::expected<HttpResponse, RequestFailure> {
  auto dispatch = dispatcher_.Service(request_.pool, excluded_);
  while (!dispatch &&
         dispatch.error() == NoUpstreamReason::kConcurrencyLimitReached &&
         MonotonicNow() < context_.deadline && !caller_.IsClosed() &&
         !state_.MustAnswerNow()) {
    std::this_thread::sleep_for(kNoPlaceWait);
    dispatch = dispatcher_.Service(request_.pool, excluded_);
  }
  if (!dispatch) {
    return tl::unexpected(NoUpstreamFailure(
        dispatch.error(), "service pool " + request_.pool.Value()));
  }
  ++attempts_;
  excluded_.push_back(dispatch->upstream);
  auto exchange = state_.exchanges.Take(dispatch->target, request_.idempotent,
                                        MonotonicNow());
  const auto limit =
      std::min(state_.timeouts.head, context_.deadline - MonotonicNow());
  // A call that may not be repeated is not given up when its caller leaves:
  // closing the connection would not undo it.
  const CancelCheck cancelled =
      request_.idempotent
          ? CancelCheck([this, slot = dispatch->slot] {
              return caller_.IsClosed() || !dispatcher_.MayServe(slot) ||
                     state_.MustAnswerNow();
            })
          : CancelCheck([this] { return state_.MustAnswerNow(); });
  auto head = exchange->Begin(BuildCall(dispatch->target), limit, cancelled);
  if (!head) {
    return tl::unexpected(
        ExchangeFailure(state_, head.error(), exchange->State()));
  }
  if (StatedNotRun(*head)) {
    return tl::unexpected(NotTakenFailure(dispatch->upstream));
  }
  auto response = ReadWhole(*exchange, *head);
  state_.exchanges.Return(std::move(exchange), MonotonicNow());
  return response;
}

auto ServiceCall::Run() -> tl::expected<HttpResponse, RequestFailure> {
  {
    const std::lock_guard lock(state_.retry_mutex);
    state_.retry_budget.RecordFirstAttempt(context_.account, MonotonicNow());
  }
  bool may_have_run = false;
  while (true) {
    auto response = Attempt();
    if (response) return response;
    auto& failure = response.error();
    may_have_run = may_have_run || failure.ran != Ran::kNo;
    if (may_have_run && failure.ran == Ran::kNo) {
      failure.ran = Ran::kUnknown;
      failure.reason.clear();
    }
    const bool repeatable = request_.idempotent || !may_have_run;
    const bool no_upstream = attempts_ == 0 || failure.ran == Ran::kYes;
    if (!repeatable || no_upstream || attempts_ >= kMaxAttempts ||
        !WaitForRetry(state_, context_, attempts_ - 1, caller_)) {
      return response;
    }
  }
}

}  // namespace dotterellug
