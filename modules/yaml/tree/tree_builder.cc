#include "yaml/tree/tree_builder.h"

#include <yaml-cpp/anchor.h>
#include <yaml-cpp/eventhandler.h>
#include <yaml-cpp/yaml.h>

#include <exception>
#include <sstream>
#include <unordered_set>
#include <utility>
#include <vector>

namespace dotterellug {

namespace {

// Ends the parse; yaml-cpp's event interface has no other way to stop.
class StopParsing : public std::exception {
 public:
  explicit StopParsing(Fault fault) : fault_(std::move(fault)) {}
  auto GetFault() const -> const Fault& { return fault_; }

 private:
  Fault fault_;
};

// Builds the tree from yaml-cpp's events. YAML::Load is not used because it
// drops duplicate keys silently and accepts aliases.
class TreeBuilder : public YAML::EventHandler {
 public:
  TreeBuilder(std::string source, const YamlLimits& limits, FaultList& faults)
      : source_(std::move(source)), limits_(limits), faults_(faults) {}

  auto TakeRoot() -> YamlNode { return std::move(root_); }

  auto OnDocumentStart(const YAML::Mark& /*mark*/) -> void override {}
  auto OnDocumentEnd() -> void override {}

  auto OnNull(const YAML::Mark& mark, YAML::anchor_t anchor) -> void override {
    RejectAnchor(mark, anchor);
    YamlNode node;
    node.line = LineOf(mark);
    Insert(std::move(node));
  }

  auto OnAlias(const YAML::Mark& mark, YAML::anchor_t /*anchor*/)
      -> void override {
    Stop(LineOf(mark), "aliases are not supported",
         "write the value out where the alias stands");
  }

  auto OnScalar(const YAML::Mark& mark, const std::string& tag,
                YAML::anchor_t anchor, const std::string& value)
      -> void override {
    RejectAnchor(mark, anchor);
    RejectTag(mark, tag);
    if (value.size() > limits_.max_scalar_bytes) {
      Stop(LineOf(mark),
           "a value has " + std::to_string(value.size()) + " bytes",
           "keep values below " + std::to_string(limits_.max_scalar_bytes) +
               " bytes");
    }
    YamlNode node;
    node.kind = YamlKind::kScalar;
    node.line = LineOf(mark);
    node.text = value;
    node.quoted = tag == "!";
    Insert(std::move(node));
  }

  auto OnSequenceStart(const YAML::Mark& mark, const std::string& tag,
                       YAML::anchor_t anchor,
                       YAML::EmitterStyle::value /*style*/) -> void override {
    RejectAnchor(mark, anchor);
    RejectTag(mark, tag);
    Open(YamlKind::kList, mark);
  }
  auto OnSequenceEnd() -> void override { Close(); }

  auto OnMapStart(const YAML::Mark& mark, const std::string& tag,
                  YAML::anchor_t anchor, YAML::EmitterStyle::value /*style*/)
      -> void override {
    RejectAnchor(mark, anchor);
    RejectTag(mark, tag);
    Open(YamlKind::kMap, mark);
  }
  auto OnMapEnd() -> void override { Close(); }

 private:
  // A list or map whose end has not been seen.
  struct OpenNode {
    YamlNode node;
    bool has_key = false;
    std::string key;
    int key_line = 0;
    std::unordered_set<std::string> keys;
  };

  static auto LineOf(const YAML::Mark& mark) -> int { return mark.line + 1; }

  [[noreturn]] void Stop(int line, std::string message, std::string remedy) {
    Fault fault;
    fault.source = source_;
    fault.line = line;
    fault.message = std::move(message);
    fault.remedy = std::move(remedy);
    throw StopParsing(std::move(fault));
  }

  auto RejectAnchor(const YAML::Mark& mark, YAML::anchor_t anchor) -> void {
    if (anchor == YAML::NullAnchor) return;
    Stop(LineOf(mark), "anchors are not supported",
         "remove the anchor and write values out");
  }

  auto RejectTag(const YAML::Mark& mark, const std::string& tag) -> void {
    if (tag.empty() || tag == "?" || tag == "!") return;
    Stop(LineOf(mark), "tag \"" + Shorten(tag) + "\" is not supported",
         "remove the tag");
  }

  auto CountNode(int line) -> void {
    ++nodes_;
    if (nodes_ <= limits_.max_nodes) return;
    Stop(line, "more than " + std::to_string(limits_.max_nodes) + " values",
         "split or shorten the text");
  }

  auto Open(YamlKind kind, const YAML::Mark& mark) -> void {
    if (open_.size() >= limits_.max_depth) {
      Stop(LineOf(mark),
           "nesting deeper than " + std::to_string(limits_.max_depth) +
               " levels",
           "remove the inner levels");
    }
    OpenNode open;
    open.node.kind = kind;
    open.node.line = LineOf(mark);
    open_.push_back(std::move(open));
  }

  auto Close() -> void {
    auto node = std::move(open_.back().node);
    open_.pop_back();
    Insert(std::move(node));
  }

  auto Insert(YamlNode node) -> void {
    CountNode(node.line);
    if (open_.empty()) {
      root_ = std::move(node);
      return;
    }
    auto& parent = open_.back();
    if (parent.node.kind == YamlKind::kList) {
      parent.node.items.push_back(std::move(node));
    } else if (parent.has_key) {
      InsertValue(parent, std::move(node));
    } else {
      SetKey(parent, node);
    }
  }

  auto SetKey(OpenNode& parent, const YamlNode& node) -> void {
    if (node.kind != YamlKind::kScalar) {
      Stop(node.line, "a key is not plain text", "use a name as the key");
    }
    parent.has_key = true;
    parent.key = node.text;
    parent.key_line = node.line;
  }

  auto InsertValue(OpenNode& parent, YamlNode node) -> void {
    parent.has_key = false;
    if (!parent.keys.insert(parent.key).second) {
      Fault fault;
      fault.source = source_;
      fault.line = parent.key_line;
      fault.value = parent.key;
      fault.message = "key appears twice in the same map";
      fault.remedy = "keep one of the two";
      faults_.Add(std::move(fault));
      return;
    }
    parent.node.entries.push_back(
        YamlEntry{parent.key, parent.key_line, std::move(node)});
  }

  std::string source_;
  YamlLimits limits_;
  FaultList& faults_;
  std::vector<OpenNode> open_;
  YamlNode root_;
  std::size_t nodes_ = 0;
};

auto OneFault(const std::string& source, int line, std::string message,
              std::string remedy) -> tl::unexpected<FaultList> {
  FaultList faults;
  Fault fault;
  fault.source = source;
  fault.line = line;
  fault.message = std::move(message);
  fault.remedy = std::move(remedy);
  faults.Add(std::move(fault));
  return tl::unexpected<FaultList>(std::move(faults));
}

// Passes the events of the only document in `text` to `builder`; false when a
// second document follows.
auto ParseOnlyDocument(std::string_view text, TreeBuilder& builder) -> bool {
  std::istringstream stream{std::string(text)};
  YAML::Parser parser(stream);
  parser.HandleNextDocument(builder);
  return !parser.HandleNextDocument(builder);
}

}  // namespace

auto ReadYaml(std::string_view text, const std::string& source,
              const YamlLimits& limits) -> tl::expected<YamlNode, FaultList> {
  if (text.size() > limits.max_bytes) {
    return OneFault(
        source, 0, "the text has " + std::to_string(text.size()) + " bytes",
        "keep it below " + std::to_string(limits.max_bytes) + " bytes");
  }
  FaultList faults;
  TreeBuilder builder(source, limits, faults);
  try {
    if (!ParseOnlyDocument(text, builder)) {
      return OneFault(source, 0, "the text holds more than one YAML document",
                      "remove the lines that begin with --- and what follows");
    }
  } catch (const StopParsing& stop) {
    faults.Add(stop.GetFault());
  } catch (const YAML::Exception& error) {
    Fault fault;
    fault.source = source;
    fault.line = error.mark.is_null() ? 0 : error.mark.line + 1;
    fault.message = "not valid YAML: " + Shorten(error.msg);
    fault.remedy = "correct the syntax; check indentation and quotes";
    faults.Add(std::move(fault));
  }
  if (!faults.Empty()) return tl::unexpected<FaultList>(std::move(faults));
  auto root = builder.TakeRoot();
  if (root.kind == YamlKind::kNull) {
    root.kind = YamlKind::kMap;
    root.line = 1;
  }
  return root;
}

}  // namespace dotterellug
