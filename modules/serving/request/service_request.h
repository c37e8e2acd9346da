#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "core/core.h"
#include "serving/catalog/serving_catalog.h"

namespace dotterellug::serving {

// The size of a generation as its caller states it.
struct GenerationSize {
  std::int64_t prompt_tokens = 0;
  std::int64_t max_output_tokens = 0;

  auto Total() const -> std::int64_t {
    return prompt_tokens + max_output_tokens;
  }
};

// A caller's request in neutral terms, without its bytes.
struct ServiceRequest {
  RequestId id;
  std::string method;
  std::string host;
  // Path and query.
  std::string target;
  std::optional<std::string> key;
  // Time that the caller will wait, from the arrival of the request.
  std::optional<Duration> patience;
  ModelId model;
  // Empty without an adapter.
  AdapterId adapter;
  std::optional<GenerationSize> size;
  // Hash of the prompt parts that other requests share, without the last one;
  // 0 if none is stated.
  std::uint64_t shared_prompt = 0;
  std::int64_t shared_tokens = 0;
  // The event after which a resumed stream begins; nothing for a new one.
  std::optional<std::int64_t> last_event;
};

// Tokens that the request draws from its account's limit; 1 if the limit counts
// requests.
inline auto ChargedTokens(const ServiceRequest& request,
                          const AccountLimit& limit) -> std::int64_t {
  if (!limit.in_tokens) return 1;
  return request.size ? request.size->Total() : limit.tokens_without_size;
}

}  // namespace dotterellug::serving
