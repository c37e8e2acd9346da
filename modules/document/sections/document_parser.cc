#include "document/sections/document_parser.h"

#include <array>
#include <functional>
#include <string>
#include <utility>

#include "document/sections/section_rules.h"
#include "document/validation/document_positions.h"
#include "document/validation/validate.h"
#include "yaml/reader/map_reader.h"

namespace dotterellug {

namespace {

class DocumentParser {
 public:
  explicit DocumentParser(FaultList& faults) : faults_(faults) {}

  auto ReadSection(Section section, const YamlNode& root) -> void {
    section_ = section;
    MapReader reader(root, std::string(NameOf(section)), "", faults_);
    switch (section) {
      case Section::kAccounts:
        ReadAccounts(reader);
        break;
      case Section::kModels:
        ReadModels(reader);
        break;
      case Section::kZones:
        ReadZones(reader);
        break;
      case Section::kLimits:
        ReadLimits(reader);
        break;
      case Section::kUpstreams:
        ReadUpstreams(reader);
        break;
    }
    reader.Finish();
  }

  auto CopySection(Section section, const ServingDocument& from) -> void {
    switch (section) {
      case Section::kAccounts:
        document_.accounts = from.accounts;
        document_.keys = from.keys;
        break;
      case Section::kModels:
        document_.models = from.models;
        document_.adapters = from.adapters;
        break;
      case Section::kZones:
        document_.zones = from.zones;
        break;
      case Section::kLimits:
        document_.limits = from.limits;
        break;
      case Section::kUpstreams:
        document_.upstreams = from.upstreams;
        document_.routes = from.routes;
        break;
    }
  }

  auto TakeDocument() -> ServingDocument { return std::move(document_); }
  auto GetDocument() const -> const ServingDocument& { return document_; }
  auto Positions() const -> const DocumentPositions& { return positions_; }
  // False when an entry has no readable id.
  auto IdsComplete() const -> bool { return ids_complete_; }

 private:
  // Reads the entries of `list`; `read` fills the entry's fields after its id.
  template <typename Id, typename Entry, typename Rule, typename Read>
  auto ReadEntries(MapReader& parent, std::string_view list,
                   std::string_view id_key, const Rule& id_rule,
                   std::map<Id, Entry>& entries, const Read& read) -> void {
    std::size_t index = 0;
    for (const auto& node : parent.List(list)) {
      const auto path = std::string(list) + "[" + std::to_string(index++) + "]";
      MapReader reader(node, std::string(NameOf(section_)), path, faults_);
      std::string id;
      const bool has_id = reader.Required(id_key, id_rule, id);
      Entry entry;
      read(reader, entry);
      reader.Finish();
      if (!has_id) {
        ids_complete_ = false;
        continue;
      }
      if (!entries.emplace(Id(id), std::move(entry)).second) {
        const auto first = positions_.LineOf(list, id, id_key);
        reader.Report(
            id_key, id,
            "duplicate name; line " + std::to_string(first) + " has it already",
            "choose another name or remove one of the entries");
        continue;
      }
      positions_.Add(list, id, node);
    }
  }

  auto ReadAccounts(MapReader& reader) -> void {
    ReadEntries(reader, "accounts", "id", kNameRule, document_.accounts,
                ReadAccount);
    ReadEntries(reader, "keys", "id", KeyIdRule{}, document_.keys, ReadKey);
    for (auto& [id, account] : document_.accounts) account.id = id;
    for (auto& [id, key] : document_.keys) key.id = id;
  }

  static auto ReadAccount(MapReader& reader, ClientAccount& account) -> void {
    reader.Required("tokens_per_second", kTokensRule, account.limit.per_second);
    reader.Required("burst_tokens", kTokensRule, account.limit.burst);
    reader.Optional("weight", kWeightRule, account.weight);
    reader.Optional("default_class", PriorityClassRule(),
                    account.default_class);
  }

  static auto ReadKey(MapReader& reader, CallerKey& key) -> void {
    reader.Required("account", kNameRule, key.account);
    reader.Required("salt", kSaltRule, key.salt);
    reader.Required("digest", kDigestRule, key.digest);
    reader.Optional("revoked", FlagRule{}, key.revoked);
  }

  auto ReadModels(MapReader& reader) -> void {
    ReadEntries(reader, "models", "id", kNameRule, document_.models, ReadModel);
    ReadEntries(reader, "adapters", "id", kNameRule, document_.adapters,
                ReadAdapter);
    for (auto& [id, model] : document_.models) model.id = id;
    for (auto& [id, adapter] : document_.adapters) adapter.id = id;
  }

  static auto ReadModel(MapReader& reader, Model& model) -> void {
    reader.Required("version", kVersionRule, model.version);
    reader.Required("weights", kMemoryRule, model.weight_bytes);
    reader.Required("kv_per_token", kTokenMemoryRule, model.kv_bytes_per_token);
    reader.Optional("context_tokens", kContextRule, model.context_tokens);
    reader.Optional("min_copies", kCopiesRule, model.min_copies);
  }

  static auto ReadAdapter(MapReader& reader, Adapter& adapter) -> void {
    reader.Required("base", kNameRule, adapter.base);
    reader.Required("size", kMemoryRule, adapter.bytes);
  }

  auto ReadZones(MapReader& reader) -> void {
    ReadEntries(reader, "zones", "id", kNameRule, document_.zones,
                [](MapReader& entry, AvailabilityZone& zone) {
                  entry.Optional("out", FlagRule{}, zone.out);
                });
    for (auto& [id, zone] : document_.zones) zone.id = id;
  }

  auto ReadLimits(MapReader& reader) -> void {
    positions_.Add("limits", "", reader.Node());
    auto& limits = document_.limits;
    reader.Optional("weight_store_parallel_loads", kParallelLoadsRule,
                    limits.weight_store_parallel_loads);
    reader.Optional("weight_store_loads_per_second", kLoadRateRule,
                    limits.weight_store_loads_per_second);
    reader.Optional("adapter_loads_in_flight", kParallelLoadsRule,
                    limits.adapter_loads_in_flight);
    Bytes body(limits.max_body_bytes);
    reader.Optional("max_body", kBodyRule, body);
    limits.max_body_bytes = body.Value();
    reader.Optional("queue_length_per_class", kQueueRule,
                    limits.queue_length_per_class);
    reader.Optional("default_deadline", kDeadlineRule, limits.default_deadline);
    reader.Optional("batch_max_age", kBatchAgeRule, limits.batch_max_age);
  }

  auto ReadUpstreams(MapReader& reader) -> void {
    ReadEntries(reader, "upstreams", "id", kNameRule, document_.upstreams,
                ReadUpstream);
    ReadEntries(
        reader, "routes", "name", kNameRule, document_.routes,
        [this](MapReader& entry, Route& route) { ReadRoute(entry, route); });
    for (auto& [id, upstream] : document_.upstreams) upstream.id = id;
    for (auto& [name, route] : document_.routes) route.name = name;
  }

  static auto ReadUpstream(MapReader& reader, Upstream& upstream) -> void {
    reader.Optional("kind", UpstreamKindRule(), upstream.kind);
    reader.Required("pool", kNameRule, upstream.pool);
    reader.Required("zone", kNameRule, upstream.zone);
    reader.Required("host", AddressRule{}, upstream.host);
    reader.Required("port", kPortRule, upstream.port);
    reader.Optional("warm_concurrency", kConcurrencyRule,
                    upstream.warm_concurrency);
    reader.Optional("cold_concurrency", kConcurrencyRule,
                    upstream.cold_concurrency);
    if (upstream.kind == UpstreamKind::kEngine) {
      reader.Required("memory", kMemoryRule, upstream.memory);
      reader.Optional("accelerators", kAcceleratorsRule, upstream.accelerators);
      reader.Optional("checks_fencing", FlagRule{}, upstream.checks_fencing);
      return;
    }
    for (const auto* key : {"memory", "accelerators", "checks_fencing"}) {
      if (!reader.Has(key)) continue;
      reader.Report(key, "", "a service has no such property",
                    "remove the key, or write \"kind: engine\"");
      reader.Map(key);
    }
  }

  auto ReadRoute(MapReader& reader, Route& route) -> void {
    reader.Required("pool", kNameRule, route.pool);
    reader.Optional("open", FlagRule{}, route.open);
    std::size_t index = 0;
    for (const auto& node : reader.List("idempotent_methods")) {
      auto method = MethodRule().Parse(node);
      if (method) {
        route.idempotent_methods.push_back(std::move(*method));
      } else {
        Fault fault;
        fault.source = NameOf(section_);
        fault.line = node.line;
        fault.path = reader.PathOf("idempotent_methods") + "[" +
                     std::to_string(index) + "]";
        fault.value = node.text;
        fault.message = method.error().message;
        fault.remedy = method.error().remedy;
        faults_.Add(std::move(fault));
      }
      ++index;
    }
  }

  FaultList& faults_;
  Section section_ = Section::kAccounts;
  ServingDocument document_;
  DocumentPositions positions_;
  bool ids_complete_ = true;
};

}  // namespace

auto ParseDocument(const DocumentTexts& texts)
    -> tl::expected<ServingDocument, FaultList> {
  FaultList faults;
  DocumentParser parser(faults);
  std::array<YamlNode, kAllSections.size()> trees;
  bool readable = true;
  for (const auto section : kAllSections) {
    auto tree = ReadYaml(texts.Get(section), std::string(NameOf(section)),
                         kSectionLimits);
    if (!tree) {
      faults.Append(tree.error());
      readable = false;
      continue;
    }
    auto& kept = trees[static_cast<std::size_t>(section)];
    kept = std::move(*tree);
    parser.ReadSection(section, kept);
  }
  if (readable && parser.IdsComplete()) {
    faults.Append(Validate(parser.GetDocument(), parser.Positions()));
  }
  if (faults.Empty()) return parser.TakeDocument();
  faults.Sort();
  return tl::unexpected<FaultList>(std::move(faults));
}

auto ParseChanges(const ParsedDocument& previous, const DocumentTexts& texts)
    -> tl::expected<ServingDocument, FaultList> {
  FaultList faults;
  DocumentParser parser(faults);
  for (const auto section : kAllSections) {
    if (texts.Get(section) == previous.texts.Get(section)) {
      parser.CopySection(section, previous.document);
      continue;
    }
    const auto tree = ReadYaml(texts.Get(section), std::string(NameOf(section)),
                               kSectionLimits);
    // Faults of several sections need the lines of all of them.
    if (!tree) return ParseDocument(texts);
    parser.ReadSection(section, *tree);
  }
  if (!faults.Empty() || !Validate(parser.GetDocument()).Empty()) {
    return ParseDocument(texts);
  }
  return parser.TakeDocument();
}

}  // namespace dotterellug
