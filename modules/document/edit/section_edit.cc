#include "document/edit/section_edit.h"

#include <algorithm>
#include <utility>

#include "document/sections/document_parser.h"
#include "yaml/rules/rules.h"
#include "yaml/tree/tree_builder.h"
#include "yaml/tree/yaml_writer.h"

namespace dotterellug {

namespace {

// The parts of an expression; `list` is empty for a key of the section itself
// and `key` is empty when the whole entry is meant.
struct EditTarget {
  std::string list;
  std::string id;
  std::string key;
  std::string value;
};

auto WrongForm(std::string_view expression) -> tl::unexpected<Error> {
  return Fail(ErrorKind::kInvalidArgument,
              "\"" + Shorten(expression) + "\" is not a change",
              "write KEY=VALUE, LIST[ID].KEY=VALUE, LIST[ID].KEY= or "
              "LIST[ID]=");
}

auto Scalar(std::string text) -> YamlNode {
  YamlNode node;
  node.kind = YamlKind::kScalar;
  node.text = std::move(text);
  return node;
}

auto ParseTarget(std::string_view expression) -> Result<EditTarget> {
  const auto equals = expression.find('=');
  if (equals == std::string_view::npos || equals == 0) {
    return WrongForm(expression);
  }
  EditTarget target;
  target.value = expression.substr(equals + 1);
  const auto path = expression.substr(0, equals);
  const auto open = path.find('[');
  if (open == std::string_view::npos) {
    target.key = path;
    return target;
  }
  const auto close = path.find(']', open);
  if (close == std::string_view::npos || open == 0 || close == open + 1) {
    return WrongForm(expression);
  }
  target.list = path.substr(0, open);
  target.id = path.substr(open + 1, close - open - 1);
  const auto rest = path.substr(close + 1);
  if (rest.empty()) {
    if (!target.value.empty()) return WrongForm(expression);
    return target;
  }
  if (rest.size() < 2 || rest.front() != '.') return WrongForm(expression);
  target.key = rest.substr(1);
  return target;
}

// Names in an expression follow the rule for names in the document.
auto CheckNames(const EditTarget& target) -> Result<bool> {
  for (const auto* name : {&target.list, &target.id, &target.key}) {
    if (name->empty()) continue;
    const auto parsed = IdRule{}.Parse(Scalar(*name));
    if (!parsed) {
      return Fail(ErrorKind::kInvalidArgument,
                  "\"" + Shorten(*name) + "\" is " + parsed.error().message,
                  parsed.error().remedy);
    }
  }
  return true;
}

auto FindEntry(YamlNode& map, const std::string& key)
    -> std::vector<YamlEntry>::iterator {
  return std::find_if(
      map.entries.begin(), map.entries.end(),
      [&key](const YamlEntry& entry) { return entry.key == key; });
}

// Sets the key, or removes it when `value` is empty.
auto SetKey(YamlNode& map, const EditTarget& target) -> Result<bool> {
  const auto found = FindEntry(map, target.key);
  if (target.value.empty()) {
    if (found != map.entries.end()) map.entries.erase(found);
    return true;
  }
  auto value = ReadYaml(target.value, target.key, kSectionLimits);
  if (!value) {
    return Fail(ErrorKind::kInvalidArgument, value.error().Text(),
                "quote the value");
  }
  if (found != map.entries.end()) {
    found->value = std::move(*value);
  } else {
    map.entries.push_back(YamlEntry{target.key, 0, std::move(*value)});
  }
  return true;
}

// Routes are named by "name", all other entries by "id".
auto IdKey(const std::string& list) -> std::string {
  return list == "routes" ? "name" : "id";
}

auto EditList(YamlNode& root, const EditTarget& target) -> Result<bool> {
  auto list = FindEntry(root, target.list);
  if (list == root.entries.end()) {
    YamlNode empty;
    empty.kind = YamlKind::kList;
    root.entries.push_back(YamlEntry{target.list, 0, std::move(empty)});
    list = std::prev(root.entries.end());
  }
  auto& items = list->value.items;
  list->value.kind = YamlKind::kList;
  const auto id_key = IdKey(target.list);
  auto item =
      std::find_if(items.begin(), items.end(), [&](const YamlNode& node) {
        const auto* id = node.Find(id_key);
        return id != nullptr && id->text == target.id;
      });
  if (target.key.empty()) {
    if (item != items.end()) items.erase(item);
    return true;
  }
  if (item == items.end()) {
    YamlNode entry;
    entry.kind = YamlKind::kMap;
    entry.entries.push_back(YamlEntry{id_key, 0, Scalar(target.id)});
    items.push_back(std::move(entry));
    item = std::prev(items.end());
  }
  return SetKey(*item, target);
}

}  // namespace

auto EditSection(std::string_view text, std::string_view expression)
    -> Result<std::string> {
  const auto target = ParseTarget(expression);
  if (!target) return tl::unexpected<Error>(target.error());
  const auto names = CheckNames(*target);
  if (!names) return tl::unexpected<Error>(names.error());
  auto root = ReadYaml(text, "section", kSectionLimits);
  if (!root) {
    return Fail(ErrorKind::kInvalidArgument, root.error().Text(),
                "correct the section's text first");
  }
  const auto edited =
      target->list.empty() ? SetKey(*root, *target) : EditList(*root, *target);
  if (!edited) return tl::unexpected<Error>(edited.error());
  return WriteYaml(*root);
}

}  // namespace dotterellug
