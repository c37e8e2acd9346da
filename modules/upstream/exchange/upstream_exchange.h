#pragma once

#include <functional>
#include <memory>
#include <string>
#include <variant>

#include "core/errors/error.h"
#include "core/time/time.h"
#include "upstream/exchange/upstream_call.h"

namespace dotterellug {

struct BodyPart {
  std::string bytes;
};
struct BodyFinished {};
using BodyProgress = std::variant<BodyPart, BodyFinished>;

// Asked every 25 ms while an exchange waits; true ends the wait.
using CancelCheck = std::function<auto()->bool>;

// One connection to an upstream and at most one exchange on it at a time, on
// libcurl. Blocking, with a time limit on each step; used from one thread at a
// time. Bytes are read from the connection only inside Begin and Read, so a
// slow caller slows the upstream and memory stays bounded.
// After any failure the connection must not be reused: its next response could
// belong to the failed exchange. ExchangePool takes care of that.
class UpstreamExchange {
 public:
  explicit UpstreamExchange(UpstreamTarget target);
  UpstreamExchange(const UpstreamExchange&) = delete;
  auto operator=(const UpstreamExchange&) -> UpstreamExchange& = delete;
  ~UpstreamExchange();

  // Sends the call and waits for the head of the response. Fails with
  // kUnavailable when the request certainly did not leave, kDeadlineExceeded
  // when nothing came in time or `cancelled` returned true, kOutcomeUnknown
  // when the connection broke, and kProtocol when the response belongs to
  // another attempt.
  auto Begin(const UpstreamCall& call, Duration timeout,
             const CancelCheck& cancelled = {}) -> Result<UpstreamHead>;

  // The next bytes of the body, or its end. Fails with kDeadlineExceeded when
  // none came within `timeout` or `cancelled` returned true, and with
  // kOutcomeUnknown when the body was cut off or its end cannot be told.
  auto Read(Duration timeout, const CancelCheck& cancelled = {})
      -> Result<BodyProgress>;

  auto State() const -> Delivery;
  // Whether the connection can carry another exchange.
  auto Reusable() const -> bool;
  auto Target() const -> const UpstreamTarget&;

 private:
  class Implementation;
  std::unique_ptr<Implementation> implementation_;
};

}  // namespace dotterellug
