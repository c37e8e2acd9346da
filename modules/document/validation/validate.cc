#include "document/validation/validate.h"

#include <algorithm>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "document/sections/section.h"
#include "yaml/rules/quantities.h"

namespace dotterellug {

namespace {

// A rotation replaces one key by another, so two valid keys are enough, and
// more are usually keys that were forgotten.
constexpr std::size_t kMaxValidKeysPerAccount = 2;

// Sums stop here, so that they cannot overflow.
constexpr Bytes kMemoryCeiling{1LL << 61U};

class Validator {
 public:
  Validator(const ServingDocument& document, const DocumentPositions& positions)
      : document_(document), positions_(positions) {
    for (const auto& [id, upstream] : document.upstreams) {
      if (upstream.kind != UpstreamKind::kEngine) continue;
      engine_memory_.push_back(upstream.memory);
    }
    std::sort(engine_memory_.begin(), engine_memory_.end());
  }

  auto Run() -> FaultList {
    CheckAccounts();
    CheckKeys();
    CheckModels();
    CheckAdapters();
    CheckZones();
    CheckLimits();
    CheckUpstreams();
    CheckPools();
    CheckAddresses();
    CheckRoutes();
    return std::move(faults_);
  }

 private:
  auto Report(Section section, std::string_view list, const std::string& id,
              std::string_view field, std::string value, std::string message,
              std::string remedy) -> void {
    Fault fault;
    fault.source = NameOf(section);
    fault.line = positions_.LineOf(list, id, field);
    fault.path = std::string(list) + "[" + id + "]." + std::string(field);
    fault.value = std::move(value);
    fault.message = std::move(message);
    fault.remedy = std::move(remedy);
    faults_.Add(std::move(fault));
  }

  auto CheckAccounts() -> void {
    for (const auto& [id, account] : document_.accounts) {
      // 0 stands for a value that could not be read and is reported already.
      if (account.limit.burst == Tokens(0)) continue;
      if (account.limit.burst >= account.limit.per_second) continue;
      // A bucket smaller than one second's tokens could never pass the rate.
      Report(Section::kAccounts, "accounts", id.Value(), "burst_tokens",
             std::to_string(account.limit.burst.Value()),
             "burst is below the rate of one second",
             "raise it to at least " +
                 std::to_string(account.limit.per_second.Value()));
    }
  }

  auto CheckKeys() -> void {
    std::map<ClientAccountId, std::size_t> valid_keys;
    for (const auto& [id, key] : document_.keys) {
      if (document_.accounts.count(key.account) == 0) {
        Report(Section::kAccounts, "keys", id.Value(), "account",
               key.account.Value(), "no such client account",
               "name an entry of accounts, or add it");
      }
      if (key.revoked) continue;
      if (++valid_keys[key.account] != kMaxValidKeysPerAccount + 1) continue;
      Report(Section::kAccounts, "keys", id.Value(), "account",
             key.account.Value(),
             "more than " + std::to_string(kMaxValidKeysPerAccount) +
                 " valid keys for one account",
             "revoke the keys that are no longer used");
    }
  }

  // Engines whose whole memory is at least `need`.
  auto EnginesWithMemory(Bytes need) const -> std::int64_t {
    return engine_memory_.end() -
           std::lower_bound(engine_memory_.begin(), engine_memory_.end(), need);
  }

  // Memory of the largest engine; 0 when the document has no engine, or when
  // the memory of one could not be read and is reported already.
  auto LargestMemory() const -> Bytes {
    if (engine_memory_.empty()) return Bytes(0);
    if (engine_memory_.front() == Bytes(0)) return Bytes(0);
    return engine_memory_.back();
  }

  auto CheckModels() -> void {
    const auto largest = LargestMemory();
    Bytes kept;
    for (const auto& [id, model] : document_.models) {
      kept += Bytes(model.weight_bytes.Value() * model.min_copies);
      kept = std::min(kept, kMemoryCeiling);
      if (largest == Bytes(0)) continue;
      CheckModelFits(model, largest);
    }
    CheckKeptCopies(kept);
  }

  auto CheckModelFits(const Model& model, Bytes largest) -> void {
    if (model.weight_bytes > largest) {
      Report(Section::kModels, "models", model.id.Value(), "weights",
             FormatBytes(model.weight_bytes),
             "weights are larger than the memory of any engine (" +
                 FormatBytes(largest) + ")",
             "remove the model, or add an engine with more memory");
      return;
    }
    const Bytes one_context(model.kv_bytes_per_token.Value() *
                            model.context_tokens);
    if (model.weight_bytes + one_context > largest) {
      Report(Section::kModels, "models", model.id.Value(), "context_tokens",
             std::to_string(model.context_tokens),
             "weights and the KV cache of one full context (" +
                 FormatBytes(one_context) +
                 ") exceed the memory of any engine (" + FormatBytes(largest) +
                 ")",
             "shorten the context, or add an engine with more memory");
    }
    const auto engines = EnginesWithMemory(model.weight_bytes);
    if (model.min_copies > engines) {
      Report(Section::kModels, "models", model.id.Value(), "min_copies",
             std::to_string(model.min_copies),
             "only " + std::to_string(engines) +
                 " engines have the memory for this model",
             "lower min_copies to at most that number");
    }
  }

  auto CheckKeptCopies(Bytes kept) -> void {
    Bytes memory;
    for (const auto engine_memory : engine_memory_) memory += engine_memory;
    if (LargestMemory() == Bytes(0) || kept <= memory) return;
    Fault fault;
    fault.source = NameOf(Section::kModels);
    fault.path = "models";
    fault.value = FormatBytes(kept);
    fault.message =
        "the min_copies of all models need more memory than all engines have "
        "(" +
        FormatBytes(memory) + ")";
    fault.remedy = "lower min_copies; 0 loads a model on demand";
    faults_.Add(std::move(fault));
  }

  auto CheckAdapters() -> void {
    const auto largest = LargestMemory();
    for (const auto& [id, adapter] : document_.adapters) {
      const auto base = document_.models.find(adapter.base);
      if (base == document_.models.end()) {
        Report(Section::kModels, "adapters", id.Value(), "base",
               adapter.base.Value(), "adapter without base: no such model",
               "name an entry of models, or add it");
        continue;
      }
      if (document_.models.count(ModelId(id.Value())) > 0) {
        Report(Section::kModels, "adapters", id.Value(), "id", id.Value(),
               "an adapter and a model have the same name",
               "rename one; callers name both in the field \"model\"");
      }
      if (largest == Bytes(0) || base->second.weight_bytes > largest) continue;
      if (base->second.weight_bytes + adapter.bytes <= largest) continue;
      Report(Section::kModels, "adapters", id.Value(), "size",
             FormatBytes(adapter.bytes),
             "base and adapter together exceed the memory of any engine (" +
                 FormatBytes(largest) + ")",
             "remove the adapter, or add an engine with more memory");
    }
  }

  auto CheckZones() -> void {
    if (document_.zones.empty()) return;
    const auto is_out = [](const auto& entry) { return entry.second.out; };
    if (!std::all_of(document_.zones.begin(), document_.zones.end(), is_out)) {
      return;
    }
    const auto& id = document_.zones.begin()->first;
    Report(Section::kZones, "zones", id.Value(), "out", "true",
           "every availability zone is out", "take at least one zone back in");
  }

  auto CheckLimits() -> void {
    const auto& limits = document_.limits;
    if (limits.batch_max_age >= limits.default_deadline) return;
    Fault fault;
    fault.source = NameOf(Section::kLimits);
    fault.line = positions_.LineOf("limits", "", "batch_max_age");
    fault.path = "batch_max_age";
    fault.value = FormatDuration(limits.batch_max_age);
    fault.message = "batch_max_age is below default_deadline";
    fault.remedy =
        "raise it to at least " + FormatDuration(limits.default_deadline);
    faults_.Add(std::move(fault));
  }

  auto CheckUpstreams() -> void {
    for (const auto& [id, upstream] : document_.upstreams) {
      if (document_.zones.count(upstream.zone) == 0) {
        Report(Section::kUpstreams, "upstreams", id.Value(), "zone",
               upstream.zone.Value(), "no such availability zone",
               "name an entry of the section zones, or add it");
      }
      if (upstream.cold_concurrency > upstream.warm_concurrency) {
        Report(
            Section::kUpstreams, "upstreams", id.Value(), "cold_concurrency",
            std::to_string(upstream.cold_concurrency),
            "cold_concurrency is above warm_concurrency",
            "lower it to at most " + std::to_string(upstream.warm_concurrency));
      }
    }
  }

  auto CheckPools() -> void {
    std::map<PoolId, const Upstream*> first_of_pool;
    for (const auto& [id, upstream] : document_.upstreams) {
      const auto* first =
          first_of_pool.emplace(upstream.pool, &upstream).first->second;
      if (first->kind == upstream.kind) continue;
      Report(Section::kUpstreams, "upstreams", id.Value(), "pool",
             upstream.pool.Value(),
             "the pool mixes engines and services; \"" + first->id.Value() +
                 "\" is of the other kind",
             "give engines and services different pools");
    }
  }

  auto CheckAddresses() -> void {
    std::map<std::pair<std::string, std::uint16_t>, const Upstream*> users;
    for (const auto& [id, upstream] : document_.upstreams) {
      if (upstream.host.empty() || upstream.port == 0) continue;
      const std::pair<std::string, std::uint16_t> address(upstream.host,
                                                          upstream.port);
      const auto* first = users.emplace(address, &upstream).first->second;
      if (first == &upstream) continue;
      Report(Section::kUpstreams, "upstreams", id.Value(), "port",
             upstream.host + ":" + std::to_string(upstream.port),
             "\"" + first->id.Value() + "\" has the same address",
             "correct host or port of one of the two");
    }
  }

  auto CheckRoutes() -> void {
    for (const auto& [name, route] : document_.routes) {
      const auto in_pool = [&pool = route.pool](const auto& entry) {
        return entry.second.pool == pool;
      };
      const auto member = std::find_if(document_.upstreams.begin(),
                                       document_.upstreams.end(), in_pool);
      if (member == document_.upstreams.end()) {
        Report(Section::kUpstreams, "routes", name, "pool", route.pool.Value(),
               "no upstream belongs to this pool",
               "name the pool of a service, or add its upstreams");
      } else if (member->second.kind == UpstreamKind::kEngine) {
        Report(Section::kUpstreams, "routes", name, "pool", route.pool.Value(),
               "the pool consists of engines, but routes lead to services",
               "name the pool of a service");
      }
      CheckMethods(route);
    }
  }

  auto CheckMethods(const Route& route) -> void {
    auto methods = route.idempotent_methods;
    std::sort(methods.begin(), methods.end());
    const auto twice = std::adjacent_find(methods.begin(), methods.end());
    if (twice == methods.end()) return;
    Report(Section::kUpstreams, "routes", route.name, "idempotent_methods",
           *twice, "method listed twice", "list each method once");
  }

  const ServingDocument& document_;
  const DocumentPositions& positions_;
  // Ascending.
  std::vector<Bytes> engine_memory_;
  FaultList faults_;
};

}  // namespace

auto Validate(const ServingDocument& document,
              const DocumentPositions& positions) -> FaultList {
  return Validator(document, positions).Run();
}

}  // namespace dotterellug
