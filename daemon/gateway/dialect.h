#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "core/core.h"
#include "eventhttp/eventhttp.h"
#include "serving/serving.h"

namespace dotterellug::gateway {

// What the gateway adds to a request for one attempt at an upstream.
struct AttemptFields {
  UpstreamId upstream;
  // Empty on an open route without a key.
  ClientAccountId account;
  // Time left for the answer.
  Duration time_left{0};
  // 0 is the most urgent, 9 the least.
  int priority = 5;
  // Continue the stream after this event.
  std::optional<std::int64_t> after_event;
};

// What an upstream's response head says beyond its status.
struct UpstreamAnswer {
  // Whether it names the request that it answers, and whether that is the one
  // that was sent. An answer that names none is no other request's.
  bool names_request = true;
  bool matches = true;
  // The upstream certainly did not run the request.
  bool not_run = false;
  // Another upstream has the address now.
  bool wrong_upstream = false;
  // The upstream does not hold the model or the adapter.
  bool model_missing = false;
  // Whether the answer is the upstream's own and not of something in between.
  bool has_receipt = false;
  std::optional<serving::StatedLoad> load;
  // The stated load, if it was ignored because it cannot be read.
  std::string ignored_load;
  serving::StatedBackpressure backpressure;
  // A field about the upstream that was ignored because its value cannot be
  // read, with the value; empty if there is none.
  std::string ignored_field;
};

// The translation between the gateway and one protocol of callers and
// upstreams.
struct Dialect {
  // Fails with kInvalidArgument for a request that cannot be understood.
  std::function<Result<serving::ServiceRequest>(const eventhttp::RequestHead&)>
      decode_request;
  // The head of an attempt, after which a body of `body_bytes` is sent.
  std::function<std::string(const eventhttp::RequestHead&,
                            std::size_t body_bytes, const AttemptFields&)>
      encode_attempt;
  std::function<UpstreamAnswer(const eventhttp::ResponseHead&, const RequestId&,
                               const UpstreamId&)>
      decode_answer;
  // The fields of an upstream's response that the caller gets.
  std::function<eventhttp::HeaderFields(const eventhttp::ResponseHead&)>
      caller_fields;
  // The fields of an answer of the gateway's own.
  std::function<eventhttp::HeaderFields(const RequestId&,
                                        std::optional<Duration> retry_after)>
      own_fields;
};

}  // namespace dotterellug::gateway
