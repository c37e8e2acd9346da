#include "client/commands/status_command.h"

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>

#include "client/platform/daemon_list.h"

namespace dotterellug {

namespace {

// Shown for a field that the daemon did not send.
constexpr auto* kAbsentField = "-";

// What one daemon answered; `status` is null when it did not.
struct DaemonAnswer {
  SocketAddress address;
  nlohmann::json status;
  std::string failure;
};

// A column that shows one field of the status as it is.
struct StatusField {
  const char* column;
  const char* field;
};

constexpr std::array<StatusField, 7> kPlainFields{
    {{"currency_age_ms", "currency_age_ms"},
     {"open_requests", "open_requests"},
     {"draining", "draining"},
     {"isolated", "isolated"},
     {"placement_owner", "placement_owner"},
     {"budget_owner", "budget_owner"},
     {"claim_shards_owned", "claim_shards_owned"}}};

auto Ask(const Invocation& invocation, const SocketAddress& address)
    -> DaemonAnswer {
  DaemonAnswer answer{address, nullptr, ""};
  const auto text = invocation.outside.fetch_status(address, kStatusTimeout);
  if (!text) {
    answer.failure = text.error().message;
    return answer;
  }
  auto status = nlohmann::json::parse(*text, nullptr, false);
  if (status.is_object()) {
    answer.status = std::move(status);
  } else {
    answer.failure = "the status is not a JSON object";
  }
  return answer;
}

// The field, or nullptr when the daemon did not send it.
auto FindField(const nlohmann::json& object, const std::string& name)
    -> const nlohmann::json* {
  if (!object.is_object()) return nullptr;
  const auto found = object.find(name);
  return found == object.end() ? nullptr : &*found;
}

// Texts, whole numbers and truth values; any other type counts as absent.
auto FieldText(const nlohmann::json& object, const std::string& name)
    -> std::string {
  const auto* field = FindField(object, name);
  if (field == nullptr) return kAbsentField;
  if (field->is_string()) return field->get<std::string>();
  if (field->is_boolean()) return field->get<bool>() ? "yes" : "no";
  if (field->is_number_integer()) return field->dump();
  return kAbsentField;
}

auto RevisionOf(const DaemonAnswer& daemon) -> std::optional<std::int64_t> {
  const auto* revision = FindField(daemon.status, "revision");
  if (revision == nullptr || !revision->is_number_integer()) {
    return std::nullopt;
  }
  return revision->get<std::int64_t>();
}

auto HighestRevision(const std::vector<DaemonAnswer>& daemons) -> std::int64_t {
  std::int64_t highest = 0;
  for (const auto& daemon : daemons) {
    highest = std::max(highest, RevisionOf(daemon).value_or(0));
  }
  return highest;
}

auto LagText(const DaemonAnswer& daemon, std::int64_t highest) -> std::string {
  const auto revision = RevisionOf(daemon);
  return revision ? std::to_string(highest - *revision) : kAbsentField;
}

// Such as "entry-3 suspected, entry-4 gone".
auto MembersNotLive(const nlohmann::json& status) -> std::string {
  const auto* members = FindField(status, "members");
  if (members == nullptr || !members->is_object()) return kAbsentField;
  std::string text;
  for (const auto& [id, state] : members->items()) {
    if (state == "live") continue;
    if (!text.empty()) text += ", ";
    text += id + " " + FieldText(*members, id);
  }
  return text.empty() ? "none" : text;
}

auto BudgetsOf(const DaemonAnswer& daemon) -> nlohmann::json {
  const auto* budgets = FindField(daemon.status, "budgets");
  return budgets == nullptr ? nlohmann::json() : *budgets;
}

// Daemons with different revisions may have different budgets.
auto BudgetNames(const std::vector<DaemonAnswer>& daemons)
    -> std::set<std::string> {
  std::set<std::string> names;
  for (const auto& daemon : daemons) {
    const auto budgets = BudgetsOf(daemon);
    if (!budgets.is_object()) continue;
    for (const auto& [name, budget] : budgets.items()) names.insert(name);
  }
  return names;
}

auto StatusRow(const DaemonAnswer& daemon, std::int64_t highest)
    -> std::vector<std::string> {
  const auto& status = daemon.status;
  std::vector<std::string> row{
      daemon.address.Text(), FieldText(status, "instance"),
      FieldText(status, "availability_zone"), FieldText(status, "revision"),
      LagText(daemon, highest)};
  for (const auto& plain : kPlainFields) {
    row.push_back(FieldText(status, plain.field));
  }
  row.push_back(MembersNotLive(status));
  row.push_back(daemon.failure.empty() ? "answered" : daemon.failure);
  return row;
}

auto StatusTable(const std::vector<DaemonAnswer>& daemons) -> OutputTable {
  OutputTable table{{"daemon", "instance", "zone", "revision", "lag"}, {}};
  for (const auto& plain : kPlainFields) table.columns.push_back(plain.column);
  table.columns.emplace_back("members_not_live");
  table.columns.emplace_back("answer");
  const auto highest = HighestRevision(daemons);
  for (const auto& daemon : daemons) {
    table.rows.push_back(StatusRow(daemon, highest));
  }
  return table;
}

auto AddBudgets(const std::vector<DaemonAnswer>& daemons, OutputTable& table)
    -> void {
  for (const auto& name : BudgetNames(daemons)) {
    table.columns.push_back(name + " share_ppm");
    table.columns.push_back(name + " available");
    for (std::size_t i = 0; i < daemons.size(); ++i) {
      const auto budgets = BudgetsOf(daemons[i]);
      const auto* found = FindField(budgets, name);
      const auto budget = found == nullptr ? nlohmann::json() : *found;
      table.rows[i].push_back(FieldText(budget, "share_ppm"));
      table.rows[i].push_back(FieldText(budget, "available"));
    }
  }
}

auto RunStatus(const Invocation& invocation) -> ExitCode {
  const auto addresses = ParseDaemons(invocation.options.daemons);
  if (!addresses) {
    return ReportError(invocation, addresses.error(), ExitCode::kUsage);
  }
  std::vector<DaemonAnswer> daemons;
  for (const auto& address : *addresses) {
    daemons.push_back(Ask(invocation, address));
  }
  auto table = StatusTable(daemons);
  if (invocation.options.budgets) AddBudgets(daemons, table);
  WriteTable(table, invocation.options.output, invocation.out);
  const auto answered = std::count_if(
      daemons.begin(), daemons.end(),
      [](const DaemonAnswer& daemon) { return daemon.failure.empty(); });
  invocation.err << answered << " of " << daemons.size()
                 << " daemons answered\n";
  return static_cast<std::size_t>(answered) == daemons.size()
             ? ExitCode::kDone
             : ExitCode::kFailed;
}

}  // namespace

auto StatusCommand() -> Command {
  return {
      "status",
      "",
      "show the state of daemons",
      "Reads /status on each daemon's admin address. `lag` counts revisions "
      "behind the\nhighest that was read. A field that a daemon does not "
      "send is shown as \"-\".",
      {"daemons", "budgets"},
      0,
      0,
      RunStatus};
}

}  // namespace dotterellug
