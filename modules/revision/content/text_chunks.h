#pragma once

#include <string>
#include <vector>

#include "core/ids/ids.h"

namespace dotterellug {

// Size of one chunk, half of the object API's bound: the JSON form of a chunk
// with many escaped characters is larger than its text.
inline constexpr Bytes kChunkBytes{500'000};

// Splits UTF-8 text into chunks of at most `limit` bytes, never inside a
// character, because each chunk is stored as a JSON string. Empty text gives no
// chunk. `limit` is at least 4.
auto SplitText(const std::string& text, Bytes limit = kChunkBytes)
    -> std::vector<std::string>;

}  // namespace dotterellug
