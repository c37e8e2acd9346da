#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "client/explain/log_line.h"
#include "core/errors/error.h"

namespace dotterellug {

// One entry of a request's timeline.
struct StoryEntry {
  // Milliseconds after the request's first line.
  std::int64_t at_ms = 0;
  std::string instance;
  std::string event;
  // The line's other fields, as "name=value" words.
  std::string details;
};

// What became of a request, told from the logs of all instances.
struct RequestStory {
  std::vector<StoryEntry> entries;
  // The decision or disturbance behind its end, as a sentence.
  std::string cause;
};

// Fails with kNotFound when no line names the request.
auto TellRequestStory(const LogCollection& logs, const std::string& request)
    -> Result<RequestStory>;

}  // namespace dotterellug
