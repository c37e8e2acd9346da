#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "daemon/state/shared_state.h"
#include "daemon/traffic/attempt_policy.h"
#include "daemon/traffic/upstream_dispatch.h"

namespace dotterellug {

// Reports how a completion ended, for settlement and metrics.
struct CompletionEnd {
  // Prompt and generated tokens; 0 when nothing ran.
  std::int64_t tokens = 0;
  // "ok", "failed" or "cancelled".
  std::string outcome;
};
using CompletionDone = std::function<auto(const CompletionEnd&)->void>;

// One completion request from admission to the end of its response: waits for
// capacity, chooses an engine, repeats failed attempts, and resumes a stream
// that is cut off. Runs on the thread of the caller's connection.
class CompletionCall : public std::enable_shared_from_this<CompletionCall> {
 public:
  CompletionCall(SharedState& state, RequestContext context,
                 CompletionRequest request, std::string body,
                 CallerConnection caller, CompletionDone done);
  CompletionCall(const CompletionCall&) = delete;
  auto operator=(const CompletionCall&) -> CompletionCall& = delete;
  // Reports the end if the response was not complete.
  ~CompletionCall();

  // The model that engines load, and the adapter on it if there is one.
  auto SetTarget(const ModelId& model, const AdapterId& adapter) -> void;
  auto Run() -> tl::expected<HttpResponse, RequestFailure>;

 private:
  auto CountDemand() -> void;
  auto WaitForCapacity() -> std::optional<RequestFailure>;
  // Chooses an engine and sends the request until a response begins. A
  // response that the engine refused without running it is not one.
  auto BeginAttempts() -> tl::expected<UpstreamHead, RequestFailure>;
  auto BeginOnce() -> tl::expected<UpstreamHead, RequestFailure>;
  auto BuildCall(const Dispatch& dispatch) const -> UpstreamCall;
  auto EndAttempt() -> void;
  auto WholeResponse(const UpstreamHead& head)
      -> tl::expected<HttpResponse, RequestFailure>;
  auto NextStreamStep() -> BodyStep;
  auto TakeEvents(const std::vector<StreamEvent>& events) -> std::string;
  // Continues a cut stream on another engine. False when it must end.
  auto ResumeStream() -> bool;
  auto TakeResume() -> bool;
  auto EndWithError(const Error& error) -> BodyStep;
  auto Finish(const std::string& outcome) -> void;
  // Whether there is nobody to answer, or no time left to.
  auto GivesUp() const -> bool;
  auto IsCancelled() const -> bool;
  auto NoteToken() -> void;

  SharedState& state_;
  RequestContext context_;
  CompletionRequest request_;
  std::string body_;
  CallerConnection caller_;
  CompletionDone done_;
  UpstreamDispatch dispatcher_;
  RoutingRequest routing_;
  AdapterId adapter_;

  int attempts_ = 0;
  std::optional<Dispatch> dispatch_;
  std::unique_ptr<UpstreamExchange> exchange_;
  EventStreamParser parser_;
  std::int64_t last_event_ = 0;
  std::int64_t events_ = 0;
  std::optional<Timestamp> last_token_at_;
  bool end_seen_ = false;
  bool finished_ = false;
};

}  // namespace dotterellug
