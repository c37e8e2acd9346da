#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "core/errors/error.h"

namespace dotterellug {

// What dotterellug needs to know of a completion request; the body itself is
// passed to the engine unchanged.
struct CompletionRequest {
  // A model or an adapter.
  std::string model;
  // All prompt text in order, for the estimate of tokens and for prefix
  // routing.
  std::string prompt;
  std::int64_t max_tokens = 0;
  bool stream = false;
  bool chat = false;
};

// Limits on the JSON of a request. Deep nesting would exhaust the stack of a
// recursive parser.
struct JsonLimits {
  int max_depth = 32;
  std::int64_t max_tokens = 131072;
  std::int64_t default_max_tokens = 256;
};

// Parses the body of /v1/chat/completions (`chat`) or /v1/completions. Fails
// with kInvalidArgument and a message that names the field.
auto ParseCompletionRequest(std::string_view body, bool chat,
                            const JsonLimits& limits)
    -> Result<CompletionRequest>;

// Estimated tokens of a text: one token for four bytes, rounded up. The
// estimate is settled by what the engine reports.
auto EstimateTokens(std::string_view text) -> std::int64_t;

}  // namespace dotterellug
