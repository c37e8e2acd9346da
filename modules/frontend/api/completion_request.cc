#include "frontend/api/completion_request.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "core/text/json_depth.h"

namespace dotterellug {
namespace {

using Json = nlohmann::json;

constexpr std::int64_t kBytesPerToken = 4;

auto Invalid(const std::string& field, const std::string& remedy)
    -> tl::unexpected<Error> {
  return Fail(ErrorKind::kInvalidArgument, "field '" + field + "' is invalid",
              remedy);
}

// The content of a message is a string, or a list of parts of which the text
// ones count.
auto AppendContent(const Json& content, std::string& prompt) -> bool {
  if (content.is_string()) {
    prompt += content.get_ref<const std::string&>();
    return true;
  }
  if (content.is_null()) return true;
  if (!content.is_array()) return false;
  for (const auto& part : content) {
    if (!part.is_object()) return false;
    const auto text = part.find("text");
    if (text != part.end() && text->is_string()) {
      prompt += text->get_ref<const std::string&>();
    }
  }
  return true;
}

auto ChatPrompt(const Json& body) -> Result<std::string> {
  const auto messages = body.find("messages");
  if (messages == body.end() || !messages->is_array() || messages->empty()) {
    return Invalid("messages", "send a list with at least one message");
  }
  std::string prompt;
  for (const auto& message : *messages) {
    if (!message.is_object() || !message.contains("role") ||
        !message["role"].is_string()) {
      return Invalid("messages", "give each message a role and a content");
    }
    prompt += message["role"].get_ref<const std::string&>() + "\n";
    const auto content = message.find("content");
    if (content != message.end() && !AppendContent(*content, prompt)) {
      return Invalid("messages", "send the content as text or a list of parts");
    }
    prompt += "\n";
  }
  return prompt;
}

auto TextPrompt(const Json& body) -> Result<std::string> {
  const auto prompt = body.find("prompt");
  if (prompt == body.end() || !prompt->is_string()) {
    return Invalid("prompt", "send the prompt as one string");
  }
  return prompt->get<std::string>();
}

auto MaxTokens(const Json& body, const JsonLimits& limits)
    -> Result<std::int64_t> {
  for (const auto* field : {"max_completion_tokens", "max_tokens"}) {
    const auto value = body.find(field);
    if (value == body.end() || value->is_null()) continue;
    if (!value->is_number_unsigned()) {
      return Invalid(field, "send a whole number of at least 1");
    }
    const auto tokens = value->get<std::uint64_t>();
    if (tokens == 0 || tokens > static_cast<std::uint64_t>(limits.max_tokens)) {
      return Invalid(field, "send a number between 1 and " +
                                std::to_string(limits.max_tokens));
    }
    return static_cast<std::int64_t>(tokens);
  }
  return limits.default_max_tokens;
}

}  // namespace

auto ParseCompletionRequest(std::string_view body, bool chat,
                            const JsonLimits& limits)
    -> Result<CompletionRequest> {
  if (JsonDepth(body) > limits.max_depth) {
    return Fail(ErrorKind::kInvalidArgument,
                "the JSON nests deeper than " +
                    std::to_string(limits.max_depth) + " levels",
                "send a flatter body");
  }
  const auto json = Json::parse(body, nullptr, false);
  if (json.is_discarded() || !json.is_object()) {
    return Fail(ErrorKind::kInvalidArgument, "the body is not a JSON object",
                "send a JSON object as described for the endpoint");
  }
  CompletionRequest request;
  request.chat = chat;
  const auto model = json.find("model");
  if (model == json.end() || !model->is_string()) {
    return Invalid("model", "name one of the models of GET /v1/models");
  }
  request.model = model->get<std::string>();
  const auto stream = json.find("stream");
  if (stream != json.end() && !stream->is_null()) {
    if (!stream->is_boolean()) return Invalid("stream", "send true or false");
    request.stream = stream->get<bool>();
  }
  auto prompt = chat ? ChatPrompt(json) : TextPrompt(json);
  if (!prompt) return tl::unexpected(prompt.error());
  request.prompt = std::move(*prompt);
  const auto max_tokens = MaxTokens(json, limits);
  if (!max_tokens) return tl::unexpected(max_tokens.error());
  request.max_tokens = *max_tokens;
  return request;
}

auto EstimateTokens(std::string_view text) -> std::int64_t {
  return (static_cast<std::int64_t>(text.size()) + kBytesPerToken - 1) /
         kBytesPerToken;
}

}  // namespace dotterellug
