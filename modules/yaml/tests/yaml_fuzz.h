#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "core/random/random.h"

namespace dotterellug {

// Variants of valid YAML texts for tests that a parser neither crashes nor
// accepts more than its bounds allow. The same seed gives the same variants.
class YamlMutator {
 public:
  explicit YamlMutator(std::uint64_t seed) : random_(seed) {}

  // One to three mutations, one after another.
  auto Mutate(std::string text) -> std::string {
    const auto count = 1 + random_.Below(3);
    for (std::uint64_t i = 0; i < count; ++i) text = MutateOnce(text);
    return text;
  }

 private:
  auto MutateOnce(const std::string& text) -> std::string {
    switch (random_.Below(7)) {
      case 0:
        return text.substr(0, Position(text));
      case 1:
        return FlipBytes(text);
      case 2:
        return Insert(text, Fragment());
      case 3:
        return Insert(text, std::string(1 + random_.Below(200), '['));
      case 4:
        return Insert(text, std::string(random_.Below(20'000), 'x'));
      case 5:
        return RepeatPart(text);
      default:
        return RemovePart(text);
    }
  }

  auto Position(const std::string& text) -> std::size_t {
    return random_.Below(text.size() + 1);
  }

  auto FlipBytes(std::string text) -> std::string {
    const auto flips = 1 + random_.Below(8);
    for (std::uint64_t i = 0; i < flips && !text.empty(); ++i) {
      text[random_.Below(text.size())] = static_cast<char>(random_.Below(256));
    }
    return text;
  }

  auto Insert(std::string text, const std::string& part) -> std::string {
    return text.insert(Position(text), part);
  }

  auto RepeatPart(std::string text) -> std::string {
    const auto begin = Position(text);
    const auto part = text.substr(begin, random_.Below(400));
    return Insert(std::move(text), part);
  }

  auto RemovePart(std::string text) -> std::string {
    const auto begin = Position(text);
    return text.erase(begin, random_.Below(60));
  }

  // Parts that YAML or the rules treat in their own way.
  auto Fragment() -> std::string {
    static const std::vector<std::string> fragments{"&a ",
                                                    "*a",
                                                    "!!binary ",
                                                    "!x ",
                                                    "---\n",
                                                    "...\n",
                                                    "%YAML 9.9\n",
                                                    "? ",
                                                    ": ",
                                                    "- ",
                                                    "{",
                                                    "}",
                                                    "]",
                                                    "|\n",
                                                    ">+2\n",
                                                    "\t",
                                                    "\r",
                                                    "\"",
                                                    "'",
                                                    "#",
                                                    "\\x",
                                                    "~",
                                                    "null",
                                                    "-1",
                                                    "1e999",
                                                    "0x10",
                                                    ".nan",
                                                    "99999999999999999999",
                                                    "1TiB",
                                                    "\xff\xfe",
                                                    "\xef\xbb\xbf",
                                                    std::string(1, '\0')};
    return fragments[random_.Below(fragments.size())];
  }

  Random random_;
};

}  // namespace dotterellug
