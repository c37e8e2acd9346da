#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/core.h"
#include "serving/catalog/serving_catalog.h"

namespace dotterellug::serving {

// Size of a text generation as stated by the caller.
struct GenerationSize {
  std::int64_t prompt_tokens = 0;
  std::int64_t max_output_tokens = 0;

  auto Total() const -> std::int64_t {
    return prompt_tokens + max_output_tokens;
  }
};

// A caller's request, independent of the protocol and without its body.
struct ServiceRequest {
  RequestId id;
  std::string method;
  std::string host;
  // Path and query, as in the HTTP request target.
  std::string target;
  std::optional<std::string> api_key;
  // Maximum time that the caller waits, from the arrival of the request.
  std::optional<Duration> max_wait;
  ModelId model;
  // Empty if the request uses no adapter.
  AdapterId adapter;
  std::optional<GenerationSize> size;
  // Hash of the prompt parts that other requests share according to the caller,
  // without the last of these parts; 0 if none is stated.
  std::uint64_t shared_prefix_hash = 0;
  // Number of tokens that other requests share.
  std::int64_t shared_prefix_tokens = 0;
  // The parts of the prompt that other requests may share, in order.
  std::vector<PromptPartId> shared_parts;
  // Id of the event after which a resumed stream continues; not set for a new
  // stream.
  std::optional<std::int64_t> last_event_id;
};

// Returns what the request takes from its account's limit: its tokens, or 1 if
// the limit counts requests.
inline auto RateLimitCharge(const ServiceRequest& request,
                            const AccountLimit& limit) -> std::int64_t {
  if (!limit.counts_tokens) return 1;
  return request.size ? request.size->Total() : limit.default_request_tokens;
}

}  // namespace dotterellug::serving
