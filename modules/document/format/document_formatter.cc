#include "document/format/document_formatter.h"

#include <yaml-cpp/yaml.h>

#include <array>
#include <charconv>
#include <string_view>

#include "document/sections/section_rules.h"
#include "yaml/rules/quantities.h"

namespace dotterellug {

namespace {

template <typename Value>
auto WriteKey(YAML::Emitter& out, const char* key, const Value& value) -> void {
  out << YAML::Key << key << YAML::Value << value;
}

// Writes the key unless it has its default value.
template <typename Value>
auto WriteChanged(YAML::Emitter& out, const char* key, const Value& value,
                  const Value& default_value) -> void {
  if (value != default_value) WriteKey(out, key, value);
}

// The shortest text that reads as the same number; the emitter would write all
// digits.
auto NumberText(double number) -> std::string {
  std::array<char, 32> buffer{};
  const auto written =
      std::to_chars(buffer.data(), buffer.data() + buffer.size(), number);
  return std::string(buffer.data(), written.ptr);
}

template <typename Entries, typename Write>
auto WriteList(YAML::Emitter& out, const char* list, const Entries& entries,
               const Write& write) -> void {
  if (entries.empty()) return;
  out << YAML::Key << list << YAML::Value << YAML::BeginSeq;
  for (const auto& [id, entry] : entries) {
    out << YAML::BeginMap;
    write(out, entry);
    out << YAML::EndMap;
  }
  out << YAML::EndSeq;
}

auto WriteAccount(YAML::Emitter& out, const ClientAccount& account) -> void {
  const ClientAccount defaults;
  WriteKey(out, "id", account.id.Value());
  WriteKey(out, "tokens_per_second", account.limit.per_second.Value());
  WriteKey(out, "burst_tokens", account.limit.burst.Value());
  WriteChanged(out, "weight", account.weight, defaults.weight);
  WriteChanged(out, "default_class",
               std::string(PriorityClassName(account.default_class)),
               std::string(PriorityClassName(defaults.default_class)));
}

auto WriteCallerKey(YAML::Emitter& out, const CallerKey& key) -> void {
  WriteKey(out, "id", key.id.Value());
  WriteKey(out, "account", key.account.Value());
  WriteKey(out, "salt", key.salt);
  WriteKey(out, "digest", key.digest);
  WriteChanged(out, "revoked", key.revoked, false);
}

auto WriteModel(YAML::Emitter& out, const Model& model) -> void {
  const Model defaults;
  WriteKey(out, "id", model.id.Value());
  WriteKey(out, "version", model.version);
  WriteKey(out, "weights", FormatBytes(model.weight_bytes));
  WriteKey(out, "kv_per_token", FormatBytes(model.kv_bytes_per_token));
  WriteChanged(out, "context_tokens", model.context_tokens,
               defaults.context_tokens);
  WriteChanged(out, "min_copies", model.min_copies, defaults.min_copies);
}

auto WriteAdapter(YAML::Emitter& out, const Adapter& adapter) -> void {
  WriteKey(out, "id", adapter.id.Value());
  WriteKey(out, "base", adapter.base.Value());
  WriteKey(out, "size", FormatBytes(adapter.bytes));
}

auto WriteZone(YAML::Emitter& out, const AvailabilityZone& zone) -> void {
  WriteKey(out, "id", zone.id.Value());
  WriteChanged(out, "out", zone.out, false);
}

auto WriteUpstream(YAML::Emitter& out, const Upstream& upstream) -> void {
  const Upstream defaults;
  WriteKey(out, "id", upstream.id.Value());
  WriteKey(out, "kind", std::string(UpstreamKindName(upstream.kind)));
  WriteKey(out, "pool", upstream.pool.Value());
  WriteKey(out, "zone", upstream.zone.Value());
  WriteKey(out, "host", upstream.host);
  WriteKey(out, "port", static_cast<std::int64_t>(upstream.port));
  if (upstream.kind == UpstreamKind::kEngine) {
    WriteKey(out, "memory", FormatBytes(upstream.memory));
    WriteChanged(out, "accelerators", upstream.accelerators,
                 defaults.accelerators);
    WriteChanged(out, "checks_fencing", upstream.checks_fencing,
                 defaults.checks_fencing);
  }
  WriteChanged(out, "warm_concurrency", upstream.warm_concurrency,
               defaults.warm_concurrency);
  WriteChanged(out, "cold_concurrency", upstream.cold_concurrency,
               defaults.cold_concurrency);
}

auto WriteRoute(YAML::Emitter& out, const Route& route) -> void {
  WriteKey(out, "name", route.name);
  WriteKey(out, "pool", route.pool.Value());
  WriteChanged(out, "open", route.open, false);
  if (route.idempotent_methods.empty()) return;
  out << YAML::Key << "idempotent_methods" << YAML::Value << YAML::Flow
      << route.idempotent_methods;
}

auto WriteLimits(YAML::Emitter& out, const FleetLimits& limits) -> void {
  const FleetLimits defaults;
  WriteChanged(out, "weight_store_parallel_loads",
               limits.weight_store_parallel_loads,
               defaults.weight_store_parallel_loads);
  WriteChanged(out, "weight_store_loads_per_second",
               NumberText(limits.weight_store_loads_per_second),
               NumberText(defaults.weight_store_loads_per_second));
  WriteChanged(out, "adapter_loads_in_flight", limits.adapter_loads_in_flight,
               defaults.adapter_loads_in_flight);
  WriteChanged(out, "max_body", FormatBytes(Bytes(limits.max_body_bytes)),
               FormatBytes(Bytes(defaults.max_body_bytes)));
  WriteChanged(out, "queue_length_per_class", limits.queue_length_per_class,
               defaults.queue_length_per_class);
  WriteChanged(out, "default_deadline", FormatDuration(limits.default_deadline),
               FormatDuration(defaults.default_deadline));
  WriteChanged(out, "batch_max_age", FormatDuration(limits.batch_max_age),
               FormatDuration(defaults.batch_max_age));
}

}  // namespace

auto FormatSection(const ServingDocument& document, Section section)
    -> std::string {
  YAML::Emitter out;
  out << YAML::BeginMap;
  switch (section) {
    case Section::kAccounts:
      WriteList(out, "accounts", document.accounts, WriteAccount);
      WriteList(out, "keys", document.keys, WriteCallerKey);
      break;
    case Section::kModels:
      WriteList(out, "models", document.models, WriteModel);
      WriteList(out, "adapters", document.adapters, WriteAdapter);
      break;
    case Section::kZones:
      WriteList(out, "zones", document.zones, WriteZone);
      break;
    case Section::kLimits:
      WriteLimits(out, document.limits);
      break;
    case Section::kUpstreams:
      WriteList(out, "upstreams", document.upstreams, WriteUpstream);
      WriteList(out, "routes", document.routes, WriteRoute);
      break;
  }
  out << YAML::EndMap;
  return std::string(out.c_str()) + "\n";
}

auto FormatDocument(const ServingDocument& document) -> DocumentTexts {
  DocumentTexts texts;
  for (const auto section : kAllSections) {
    texts.Set(section, FormatSection(document, section));
  }
  return texts;
}

}  // namespace dotterellug
