#include "revision/content/text_chunks.h"

namespace dotterellug {
namespace {

auto IsContinuation(char character) -> bool {
  return (static_cast<unsigned char>(character) & 0xC0U) == 0x80U;
}

}  // namespace

auto SplitText(const std::string& text, Bytes limit)
    -> std::vector<std::string> {
  const auto size = static_cast<std::size_t>(limit.Value());
  std::vector<std::string> chunks;
  std::size_t begin = 0;
  while (begin < text.size()) {
    auto end = std::min(begin + size, text.size());
    // A UTF-8 character has at most 3 continuation bytes; text that is not
    // UTF-8 is rejected by the store.
    for (int i = 0; i < 3 && end < text.size(); ++i) {
      if (IsContinuation(text[end])) --end;
    }
    chunks.push_back(text.substr(begin, end - begin));
    begin = end;
  }
  return chunks;
}

}  // namespace dotterellug
