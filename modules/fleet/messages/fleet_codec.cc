#include "fleet/messages/fleet_codec.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <nlohmann/json.hpp>
#include <set>

#include "core/text/cbor_shape.h"
#include "core/variant/overloaded.h"

namespace dotterellug::fleet {
namespace {

using Json = nlohmann::json;

// Message type and layout version, the first element of each message. Assign a
// new value when the layout changes in a way that a daemon of the previous
// version cannot read. Elements appended at the end may be absent and are
// ignored by older versions, so that daemons can be replaced one by one.
constexpr int kReportTag = 3;
constexpr int kSummaryTag = 4;
// Number of elements in the first version of each layout.
constexpr std::size_t kFirstReportSize = 10;
constexpr std::size_t kFirstSummarySize = 15;
// Index of the evidence on prompt parts. Behind it come what is known of the
// requests that upstreams take, the tokens of upstreams' rates, in reports the
// store positions, work factors, misdirected requests, the news of usage, and
// in reports the demand for pools. These elements are left out if none of them
// has content.
constexpr std::size_t kReportEvidence = 14;
constexpr std::size_t kSummaryEvidence = 19;

// Encodes an age that is not known.
constexpr std::int64_t kUnknownAge = -1;
// Encodes that an upstream states no rate.
constexpr double kNoRate = -1;

auto DecodeLevel(const Json& value) -> HubLevel {
  return value.get<int>() == static_cast<int>(HubLevel::kZone)
             ? HubLevel::kZone
             : HubLevel::kFleet;
}

// Encodes the loads as a flat array with four elements per upstream.
auto EncodeLoads(const std::vector<ReportedLoad>& loads) -> Json {
  auto list = Json::array();
  for (const auto& load : loads) {
    list.push_back(load.upstream.Value());
    list.push_back(load.requests);
    list.push_back(load.tokens);
    list.push_back(load.prefill_tokens);
  }
  return list;
}

auto DecodeLoads(const Json& list) -> std::vector<ReportedLoad> {
  std::vector<ReportedLoad> loads;
  for (std::size_t i = 0; i + 3 < list.size(); i += 4) {
    loads.push_back({UpstreamId(list[i].get<std::string>()),
                     list[i + 1].get<std::int64_t>(),
                     list[i + 2].get<std::int64_t>(),
                     list[i + 3].get<std::int64_t>()});
  }
  return loads;
}

template <typename Ids>
auto EncodeIds(const Ids& ids) -> Json {
  auto list = Json::array();
  for (const auto& id : ids) list.push_back(id.Value());
  return list;
}

// Decodes into a vector or a set of ids.
template <typename Ids>
auto DecodeIds(const Json& list) -> Ids {
  Ids ids;
  for (const auto& id : list) {
    ids.insert(ids.end(), typename Ids::value_type(id.get<std::string>()));
  }
  return ids;
}

// Encodes an age that may be unknown.
auto EncodeAge(const std::optional<Duration>& age) -> std::int64_t {
  return age ? age->count() : kUnknownAge;
}

auto DecodeAge(const Json& value) -> std::optional<Duration> {
  const auto age = value.get<std::int64_t>();
  if (age < 0) return std::nullopt;
  return Duration(age);
}

auto EncodeRecord(const serving::UpstreamRecord& record) -> Json {
  auto models = Json::array();
  for (const auto& model : record.models) {
    models.push_back(Json::array(
        {model.id.Value(), model.version, EncodeIds(model.adapters)}));
  }
  return Json::array(
      {record.id.Value(), record.pool.Value(), record.address.Text(),
       record.zone.Value(), record.slots, record.leaving,
       record.remaining_cold_duration.count(), record.started_ms,
       record.command_sequence, std::move(models), EncodeIds(record.in_memory),
       EncodeIds(record.on_disk), EncodeAge(record.remaining_time)});
}

auto DecodeRecord(const Json& list) -> serving::UpstreamRecord {
  serving::UpstreamRecord record;
  record.id = UpstreamId(list.at(0).get<std::string>());
  record.pool = PoolId(list.at(1).get<std::string>());
  record.address = ParseSocketAddress(list.at(2).get<std::string>())
                       .value_or(SocketAddress());
  record.zone = AvailabilityZoneId(list.at(3).get<std::string>());
  record.slots = list.at(4).get<std::int64_t>();
  record.leaving = list.at(5).get<bool>();
  record.remaining_cold_duration = Duration(list.at(6).get<std::int64_t>());
  record.started_ms = list.at(7).get<std::int64_t>();
  record.command_sequence = list.at(8).get<std::int64_t>();
  for (const auto& model : list.at(9)) {
    record.models.push_back({ModelId(model.at(0).get<std::string>()),
                             model.at(1).get<std::int64_t>(),
                             DecodeIds<std::set<AdapterId>>(model.at(2))});
  }
  record.in_memory = DecodeIds<std::set<ModelId>>(list.at(10));
  record.on_disk = DecodeIds<std::set<ModelId>>(list.at(11));
  if (list.size() > 12) record.remaining_time = DecodeAge(list[12]);
  return record;
}

auto EncodePositions(const std::vector<StorePosition>& positions) -> Json {
  auto list = Json::array();
  for (const auto& position : positions) list.push_back(position.Packed());
  return list;
}

auto DecodePositions(const Json& list) -> std::vector<StorePosition> {
  std::vector<StorePosition> positions;
  for (const auto& packed : list.get<std::vector<std::int64_t>>()) {
    positions.push_back(StorePosition::FromPacked(packed));
  }
  return positions;
}

auto EncodeChanges(const UpstreamChanges& changes) -> Json {
  auto changed = Json::array();
  for (const auto& record : changes.changed) {
    changed.push_back(EncodeRecord(record));
  }
  return Json::array({changes.position.Packed(), std::move(changed),
                      EncodeIds(changes.removed), changes.relist_required});
}

auto DecodeChanges(const Json& list) -> UpstreamChanges {
  UpstreamChanges changes;
  changes.position = StorePosition::FromPacked(list.at(0).get<std::int64_t>());
  for (const auto& record : list.at(1)) {
    changes.changed.push_back(DecodeRecord(record));
  }
  changes.removed = DecodeIds<std::vector<UpstreamId>>(list.at(2));
  changes.relist_required = list.at(3).get<bool>();
  return changes;
}

// Encodes the evidence on each prompt part as an array that ends with five
// elements for each crash.
auto EncodeEvidence(const std::vector<quarantine::SharedEvidence>& evidence)
    -> Json {
  auto list = Json::array();
  for (const auto& part : evidence) {
    auto entry =
        Json::array({part.part.Value(), part.depth, EncodeAge(part.worked_age),
                     EncodeAge(part.rejected_age), part.trials});
    for (const auto& crash : part.crashes) {
      entry.push_back(crash.process.upstream.Value());
      entry.push_back(crash.process.started_ms);
      entry.push_back(crash.age.count());
      entry.push_back(crash.answer_begun);
      entry.push_back(crash.refuted);
    }
    list.push_back(std::move(entry));
  }
  return list;
}

auto DecodeEvidence(const Json& list)
    -> std::vector<quarantine::SharedEvidence> {
  constexpr std::size_t kPartElements = 5;
  constexpr std::size_t kCrashElements = 5;
  std::vector<quarantine::SharedEvidence> evidence;
  for (const auto& entry : list) {
    quarantine::SharedEvidence part;
    part.part = PromptPartId(entry.at(0).get<std::string>());
    part.depth = entry.at(1).get<std::int64_t>();
    part.worked_age = DecodeAge(entry.at(2));
    part.rejected_age = DecodeAge(entry.at(3));
    part.trials = entry.at(4).get<std::int64_t>();
    for (auto i = kPartElements; i + kCrashElements <= entry.size();
         i += kCrashElements) {
      quarantine::SharedCrash crash;
      crash.process.upstream = UpstreamId(entry[i].get<std::string>());
      crash.process.started_ms = entry[i + 1].get<std::int64_t>();
      crash.age = Duration(entry[i + 2].get<std::int64_t>());
      crash.answer_begun = entry[i + 3].get<bool>();
      crash.refuted = entry[i + 4].get<bool>();
      part.crashes.push_back(std::move(crash));
    }
    evidence.push_back(std::move(part));
  }
  return evidence;
}

// Encodes five elements for each upstream.
auto EncodeBackpressure(const std::vector<serving::SharedBackpressure>& shared)
    -> Json {
  auto list = Json::array();
  for (const auto& fact : shared) {
    if (!fact.rate_age && !fact.leaving_age) continue;
    list.push_back(fact.upstream.Value());
    list.push_back(fact.started_ms);
    list.push_back(fact.requests_per_second.value_or(kNoRate));
    list.push_back(EncodeAge(fact.rate_age));
    list.push_back(EncodeAge(fact.leaving_age));
  }
  return list;
}

auto DecodeBackpressure(const Json& list)
    -> std::vector<serving::SharedBackpressure> {
  std::vector<serving::SharedBackpressure> shared;
  for (std::size_t i = 0; i + 4 < list.size(); i += 5) {
    serving::SharedBackpressure fact;
    fact.upstream = UpstreamId(list[i].get<std::string>());
    fact.started_ms = list[i + 1].get<std::int64_t>();
    const auto rate = list[i + 2].get<double>();
    if (rate >= 0) fact.requests_per_second = rate;
    fact.rate_age = DecodeAge(list[i + 3]);
    fact.leaving_age = DecodeAge(list[i + 4]);
    shared.push_back(std::move(fact));
  }
  return shared;
}

// Encodes four elements for each upstream whose responses said that requests
// were misdirected. They have a list of their own, which daemons without it
// ignore.
auto EncodeMisdirected(const std::vector<serving::SharedBackpressure>& shared)
    -> Json {
  auto list = Json::array();
  for (const auto& fact : shared) {
    if (!fact.misdirected_age) continue;
    list.push_back(fact.upstream.Value());
    list.push_back(fact.started_ms);
    list.push_back(EncodeAge(fact.misdirected_age));
    list.push_back(EncodeAge(fact.served_age));
  }
  return list;
}

auto DecodeMisdirected(const Json& list,
                       std::vector<serving::SharedBackpressure>& shared)
    -> void {
  for (std::size_t i = 0; i + 3 < list.size(); i += 4) {
    serving::SharedBackpressure fact;
    fact.upstream = UpstreamId(list[i].get<std::string>());
    fact.started_ms = list[i + 1].get<std::int64_t>();
    fact.misdirected_age = DecodeAge(list[i + 2]);
    fact.served_age = DecodeAge(list[i + 3]);
    shared.push_back(std::move(fact));
  }
}

// Encodes four elements for each request that draws on an upstream's rate.
auto EncodeUpstreamRequests(const std::vector<TokenRequest>& requests) -> Json {
  auto list = Json::array();
  for (const auto& request : requests) {
    const auto* upstream = std::get_if<UpstreamId>(&request.key);
    if (upstream == nullptr) continue;
    list.push_back(upstream->Value());
    list.push_back(request.tokens);
    list.push_back(request.minimum);
    list.push_back(request.patience.count());
  }
  return list;
}

auto DecodeUpstreamRequests(const Json& list,
                            std::vector<TokenRequest>& requests) -> void {
  for (std::size_t i = 0; i + 3 < list.size(); i += 4) {
    requests.push_back({UpstreamId(list[i].get<std::string>()),
                        list[i + 1].get<std::int64_t>(),
                        list[i + 2].get<std::int64_t>(),
                        Duration(list[i + 3].get<std::int64_t>())});
  }
}

// Encodes four elements for each grant of an upstream's rate.
auto EncodeUpstreamGrants(const std::vector<TokenGrant>& grants) -> Json {
  auto list = Json::array();
  for (const auto& grant : grants) {
    const auto* upstream = std::get_if<UpstreamId>(&grant.key);
    if (upstream == nullptr) continue;
    list.push_back(upstream->Value());
    list.push_back(grant.tokens);
    list.push_back(grant.time_until_available.count());
    list.push_back(grant.queued);
  }
  return list;
}

auto DecodeUpstreamGrants(const Json& list, std::vector<TokenGrant>& grants)
    -> void {
  for (std::size_t i = 0; i + 3 < list.size(); i += 4) {
    grants.push_back({UpstreamId(list[i].get<std::string>()),
                      list[i + 1].get<std::int64_t>(),
                      Duration(list[i + 2].get<std::int64_t>()),
                      list[i + 3].get<bool>()});
  }
}

// Encodes that the usual work factor is not known.
constexpr std::int64_t kUnknownFactor = 0;

auto EncodePercent(double factor) -> std::int64_t {
  return std::max<std::int64_t>(std::llround(factor * 100), 1);
}

// Encodes five elements for each upstream; factors in percent.
auto EncodeWorkFactors(const std::vector<serving::SharedWorkFactor>& shared)
    -> Json {
  auto list = Json::array();
  for (const auto& fact : shared) {
    list.push_back(fact.upstream.Value());
    list.push_back(fact.started_ms);
    list.push_back(EncodePercent(fact.current));
    list.push_back(
        std::chrono::duration_cast<std::chrono::milliseconds>(fact.age)
            .count());
    list.push_back(fact.usual ? EncodePercent(*fact.usual) : kUnknownFactor);
  }
  return list;
}

// Encodes the time, the announced window, the names of accounts and, for each
// row, its process, its window and pairs of the index of an account and its
// count. A zone hub's report has some thousand counts, so that names are not
// repeated.
auto EncodeUsage(const std::optional<UsageNews>& usage) -> Json {
  if (!usage) return Json::array();
  std::map<ClientAccountId, std::size_t> indices;
  auto accounts = Json::array();
  auto rows = Json::array();
  for (const auto& row : usage->rows) {
    auto entry =
        Json::array({row.reporter.instance.Value(),
                     row.reporter.incarnation.Value(), row.window.Value()});
    for (const auto& [account, count] : row.counts) {
      const auto [index, added] = indices.emplace(account, indices.size());
      if (added) accounts.push_back(account.Value());
      entry.push_back(index->second);
      entry.push_back(count);
    }
    rows.push_back(std::move(entry));
  }
  return Json::array({usage->time.time_since_epoch().count(),
                      usage->announced_window.Value(), std::move(accounts),
                      std::move(rows)});
}

auto DecodeUsage(const Json& list) -> std::optional<UsageNews> {
  constexpr std::size_t kRowElements = 3;
  if (list.empty()) return std::nullopt;
  UsageNews usage;
  usage.time = FleetTime(Duration(list.at(0).get<std::int64_t>()));
  usage.announced_window = UsageWindow(list.at(1).get<std::int64_t>());
  const auto& accounts = list.at(2);
  for (const auto& entry : list.at(3)) {
    WindowUsageRow row;
    row.reporter.instance = InstanceId(entry.at(0).get<std::string>());
    row.reporter.incarnation = Incarnation(entry.at(1).get<std::int64_t>());
    row.window = UsageWindow(entry.at(2).get<std::int64_t>());
    for (auto i = kRowElements; i + 1 < entry.size(); i += 2) {
      const auto& name = accounts.at(entry[i].get<std::size_t>());
      row.counts[ClientAccountId(name.get<std::string>())] =
          entry[i + 1].get<std::int64_t>();
    }
    usage.rows.push_back(std::move(row));
  }
  return usage;
}

// Encodes four elements for each pool and zone.
auto EncodePoolDemand(const std::vector<ReportedPoolDemand>& pools) -> Json {
  auto list = Json::array();
  for (const auto& demand : pools) {
    list.push_back(demand.pool.Value());
    list.push_back(demand.zone.Value());
    list.push_back(demand.slot_ms_per_second);
    list.push_back(demand.waiting);
  }
  return list;
}

auto DecodeWorkFactors(const Json& list)
    -> std::vector<serving::SharedWorkFactor> {
  // No message has an older fact; more would not fit into a duration.
  constexpr std::int64_t kMaxAgeMs = 86'400'000;
  std::vector<serving::SharedWorkFactor> shared;
  for (std::size_t i = 0; i + 4 < list.size(); i += 5) {
    serving::SharedWorkFactor fact;
    fact.upstream = UpstreamId(list[i].get<std::string>());
    fact.started_ms = list[i + 1].get<std::int64_t>();
    const auto current = list[i + 2].get<std::int64_t>();
    const auto age = list[i + 3].get<std::int64_t>();
    const auto usual = list[i + 4].get<std::int64_t>();
    if (current <= 0 || age < 0 || age > kMaxAgeMs || usual < 0) continue;
    fact.current = static_cast<double>(current) / 100;
    fact.age = std::chrono::milliseconds(age);
    if (usual != kUnknownFactor) {
      fact.usual = static_cast<double>(usual) / 100;
    }
    shared.push_back(std::move(fact));
  }
  return shared;
}

auto DecodePoolDemand(const Json& list) -> std::vector<ReportedPoolDemand> {
  std::vector<ReportedPoolDemand> pools;
  for (std::size_t i = 0; i + 3 < list.size(); i += 4) {
    pools.push_back({PoolId(list[i].get<std::string>()),
                     AvailabilityZoneId(list[i + 1].get<std::string>()),
                     list[i + 2].get<std::int64_t>(),
                     list[i + 3].get<std::int64_t>()});
  }
  return pools;
}

// Appends the optional elements unless all of them are empty.
auto AppendOptional(Json& message, std::vector<Json> elements) -> void {
  const bool empty =
      std::all_of(elements.begin(), elements.end(),
                  [](const Json& element) { return element.empty(); });
  if (empty) return;
  for (auto& element : elements) message.push_back(std::move(element));
}

auto Encode(const FleetReport& report) -> Json {
  auto models = Json::array();
  for (const auto& demand : report.models) {
    models.push_back(demand.model.Value());
    models.push_back(demand.tokens_per_second);
    models.push_back(demand.sustained_millitokens_per_second);
  }
  auto missing_adapters = Json::array();
  for (const auto& adapter : report.missing_adapters) {
    missing_adapters.push_back(adapter.model.Value());
    missing_adapters.push_back(adapter.adapter.Value());
  }
  auto token_requests = Json::array();
  auto request_waits = Json::array();
  for (const auto& request : report.token_requests) {
    const auto* account = std::get_if<ClientAccountId>(&request.key);
    if (account == nullptr) continue;
    token_requests.push_back(account->Value());
    token_requests.push_back(request.tokens);
    request_waits.push_back(request.minimum);
    request_waits.push_back(request.patience.count());
  }
  auto message = Json::array(
      {kReportTag, report.from.Value(), report.incarnation.Value(),
       report.sequence, EncodeLoads(report.upstreams), std::move(models),
       std::move(missing_adapters), std::move(token_requests),
       report.upstream_position.Packed(), EncodeIds(report.unreachable),
       static_cast<int>(report.level), report.urgent_only,
       EncodeIds(report.included_daemons), std::move(request_waits)});
  AppendOptional(message,
                 {EncodeEvidence(report.prompt_evidence),
                  EncodeBackpressure(report.backpressure),
                  EncodeUpstreamRequests(report.token_requests),
                  EncodePositions(report.store_positions),
                  EncodeWorkFactors(report.work_factors),
                  EncodeMisdirected(report.backpressure),
                  EncodeUsage(report.usage), EncodePoolDemand(report.pools)});
  return message;
}

auto Encode(const FleetSummary& summary) -> Json {
  auto grants = Json::array();
  auto queued = Json::array();
  for (const auto& grant : summary.grants) {
    const auto* account = std::get_if<ClientAccountId>(&grant.key);
    if (account == nullptr) continue;
    grants.push_back(account->Value());
    grants.push_back(grant.tokens);
    grants.push_back(grant.time_until_available.count());
    queued.push_back(grant.queued);
  }
  auto unloading = Json::array();
  for (const auto& model : summary.unloading) {
    unloading.push_back(model.upstream.Value());
    unloading.push_back(model.model.Value());
  }
  auto loaded = Json::array();
  for (const auto& model : summary.loaded) {
    loaded.push_back(model.upstream.Value());
    loaded.push_back(model.model.Value());
    loaded.push_back(model.adapter.Value());
  }
  auto message = Json::array(
      {kSummaryTag, summary.from.Value(), summary.sequence,
       summary.leader.Value(), summary.leader_fence,
       summary.lease_holder_age == Duration::zero(),
       EncodeLoads(summary.other_daemons_loads), std::move(grants),
       std::move(unloading), std::move(loaded),
       EncodePositions(summary.store_positions),
       summary.store_response_age.count(), EncodeChanges(summary.changes),
       summary.lease_position.Packed(), EncodeIds(summary.unreachable),
       static_cast<int>(summary.level), summary.grants_only,
       EncodeAge(summary.lease_holder_age), std::move(queued)});
  AppendOptional(message, {EncodeEvidence(summary.prompt_evidence),
                           EncodeBackpressure(summary.backpressure),
                           EncodeUpstreamGrants(summary.grants),
                           EncodeWorkFactors(summary.work_factors),
                           EncodeMisdirected(summary.backpressure),
                           EncodeUsage(summary.usage)});
  return message;
}

auto DecodeReport(const Json& list) -> FleetReport {
  FleetReport report;
  report.from = InstanceId(list.at(1).get<std::string>());
  report.incarnation = Incarnation(list.at(2).get<std::int64_t>());
  report.sequence = list.at(3).get<std::int64_t>();
  report.upstreams = DecodeLoads(list.at(4));
  const auto& models = list.at(5);
  for (std::size_t i = 0; i + 2 < models.size(); i += 3) {
    report.models.push_back({ModelId(models[i].get<std::string>()),
                             models[i + 1].get<std::int64_t>(),
                             models[i + 2].get<std::int64_t>()});
  }
  const auto& missing_adapters = list.at(6);
  for (std::size_t i = 0; i + 1 < missing_adapters.size(); i += 2) {
    report.missing_adapters.push_back(
        {ModelId(missing_adapters[i].get<std::string>()),
         AdapterId(missing_adapters[i + 1].get<std::string>())});
  }
  const auto& token_requests = list.at(7);
  for (std::size_t i = 0; i + 1 < token_requests.size(); i += 2) {
    report.token_requests.push_back(
        {ClientAccountId(token_requests[i].get<std::string>()),
         token_requests[i + 1].get<std::int64_t>()});
  }
  report.upstream_position =
      StorePosition::FromPacked(list.at(8).get<std::int64_t>());
  report.unreachable = DecodeIds<std::vector<UpstreamId>>(list.at(9));
  if (list.size() == kFirstReportSize) return report;
  report.level = DecodeLevel(list.at(10));
  report.urgent_only = list.at(11).get<bool>();
  report.included_daemons = DecodeIds<std::vector<InstanceId>>(list.at(12));
  const auto& request_waits = list.at(13);
  for (std::size_t i = 0; i < report.token_requests.size(); ++i) {
    auto& request = report.token_requests[i];
    request.minimum = request_waits.at(2 * i).get<std::int64_t>();
    request.patience =
        Duration(request_waits.at(2 * i + 1).get<std::int64_t>());
  }
  if (list.size() > kReportEvidence) {
    report.prompt_evidence = DecodeEvidence(list[kReportEvidence]);
  }
  if (list.size() > kReportEvidence + 2) {
    report.backpressure = DecodeBackpressure(list[kReportEvidence + 1]);
    DecodeUpstreamRequests(list[kReportEvidence + 2], report.token_requests);
  }
  if (list.size() > kReportEvidence + 3) {
    report.store_positions = DecodePositions(list[kReportEvidence + 3]);
  }
  if (list.size() > kReportEvidence + 4) {
    report.work_factors = DecodeWorkFactors(list[kReportEvidence + 4]);
  }
  if (list.size() > kReportEvidence + 5) {
    DecodeMisdirected(list[kReportEvidence + 5], report.backpressure);
  }
  if (list.size() > kReportEvidence + 6) {
    report.usage = DecodeUsage(list[kReportEvidence + 6]);
  }
  if (list.size() > kReportEvidence + 7) {
    report.pools = DecodePoolDemand(list[kReportEvidence + 7]);
  }
  return report;
}

auto DecodeSummary(const Json& list) -> FleetSummary {
  FleetSummary summary;
  summary.from = InstanceId(list.at(1).get<std::string>());
  summary.sequence = list.at(2).get<std::int64_t>();
  summary.leader = InstanceId(list.at(3).get<std::string>());
  summary.leader_fence = list.at(4).get<std::int64_t>();
  if (list.at(5).get<bool>()) summary.lease_holder_age = Duration::zero();
  summary.other_daemons_loads = DecodeLoads(list.at(6));
  const auto& grants = list.at(7);
  for (std::size_t i = 0; i + 2 < grants.size(); i += 3) {
    summary.grants.push_back({ClientAccountId(grants[i].get<std::string>()),
                              grants[i + 1].get<std::int64_t>(),
                              Duration(grants[i + 2].get<std::int64_t>())});
  }
  const auto& unloading = list.at(8);
  for (std::size_t i = 0; i + 1 < unloading.size(); i += 2) {
    summary.unloading.push_back({UpstreamId(unloading[i].get<std::string>()),
                                 ModelId(unloading[i + 1].get<std::string>())});
  }
  const auto& loaded = list.at(9);
  for (std::size_t i = 0; i + 2 < loaded.size(); i += 3) {
    summary.loaded.push_back({UpstreamId(loaded[i].get<std::string>()),
                              ModelId(loaded[i + 1].get<std::string>()),
                              AdapterId(loaded[i + 2].get<std::string>())});
  }
  summary.store_positions = DecodePositions(list.at(10));
  summary.store_response_age = Duration(list.at(11).get<std::int64_t>());
  summary.changes = DecodeChanges(list.at(12));
  summary.lease_position =
      StorePosition::FromPacked(list.at(13).get<std::int64_t>());
  summary.unreachable = DecodeIds<std::vector<UpstreamId>>(list.at(14));
  if (list.size() == kFirstSummarySize) return summary;
  summary.level = DecodeLevel(list.at(15));
  summary.grants_only = list.at(16).get<bool>();
  summary.lease_holder_age = DecodeAge(list.at(17));
  const auto& queued = list.at(18);
  for (std::size_t i = 0; i < summary.grants.size(); ++i) {
    summary.grants[i].queued = queued.at(i).get<bool>();
  }
  if (list.size() > kSummaryEvidence) {
    summary.prompt_evidence = DecodeEvidence(list[kSummaryEvidence]);
  }
  if (list.size() > kSummaryEvidence + 2) {
    summary.backpressure = DecodeBackpressure(list[kSummaryEvidence + 1]);
    DecodeUpstreamGrants(list[kSummaryEvidence + 2], summary.grants);
  }
  if (list.size() > kSummaryEvidence + 3) {
    summary.work_factors = DecodeWorkFactors(list[kSummaryEvidence + 3]);
  }
  if (list.size() > kSummaryEvidence + 4) {
    DecodeMisdirected(list[kSummaryEvidence + 4], summary.backpressure);
  }
  if (list.size() > kSummaryEvidence + 5) {
    summary.usage = DecodeUsage(list[kSummaryEvidence + 5]);
  }
  return summary;
}

}  // namespace

auto EncodeFleetMessage(const FleetMessage& message) -> std::string {
  const auto json = std::visit(
      [](const auto& typed) -> Json { return Encode(typed); }, message);
  std::string bytes;
  Json::to_cbor(json, bytes);
  return bytes;
}

auto DecodeFleetMessage(std::string_view bytes) -> Result<FleetMessage> {
  const auto malformed = [] {
    return Fail(ErrorKind::kProtocol,
                "a datagram contains no valid fleet message",
                "run the same version of dotterellugd on all instances");
  };
  if (!HasCborShape(bytes)) return malformed();
  // nlohmann::json throws on wrong types and missing elements.
  try {
    const auto json = Json::from_cbor(bytes.begin(), bytes.end(), true, false);
    if (!json.is_array() || json.empty()) return malformed();
    switch (json[0].get<int>()) {
      case kReportTag:
        return DecodeReport(json);
      case kSummaryTag:
        return DecodeSummary(json);
      default:
        return malformed();
    }
  } catch (const Json::exception&) {
    return malformed();
  }
}

}  // namespace dotterellug::fleet
