#include "core/net/target_reader.h"

#include <algorithm>
#include <utility>

#include "core/text/percent_encoding.h"

namespace dotterellug {
namespace {

auto Split(std::string_view text, char separator)
    -> std::vector<std::string_view> {
  std::vector<std::string_view> parts;
  while (true) {
    const auto end = text.find(separator);
    parts.push_back(text.substr(0, end));
    if (end == std::string_view::npos) return parts;
    text.remove_prefix(end + 1);
  }
}

auto DecodeQueryPart(std::string_view text) -> std::optional<std::string> {
  std::string blanks(text);
  std::replace(blanks.begin(), blanks.end(), '+', ' ');
  return PercentDecode(blanks);
}

}  // namespace

auto ReadTarget::Field(const std::string& name) const -> std::string {
  const auto found = fields.find(name);
  return found == fields.end() ? std::string() : found->second;
}

auto ParseTarget(std::string_view target) -> std::optional<ReadTarget> {
  target = target.substr(0, target.find('#'));
  const auto question = target.find('?');
  const auto path = target.substr(0, question);
  if (path.empty() || path.front() != '/') return std::nullopt;
  ReadTarget read;
  for (const auto segment : Split(path.substr(1), '/')) {
    auto decoded = PercentDecode(segment);
    if (!decoded) return std::nullopt;
    read.segments.push_back(std::move(*decoded));
  }
  if (question == std::string_view::npos) return read;
  for (const auto part : Split(target.substr(question + 1), '&')) {
    const auto equals = part.find('=');
    const auto name = DecodeQueryPart(part.substr(0, equals));
    const auto value = DecodeQueryPart(
        equals == std::string_view::npos ? "" : part.substr(equals + 1));
    if (!name || !value) return std::nullopt;
    read.fields.emplace(*name, *value);
  }
  return read;
}

}  // namespace dotterellug
