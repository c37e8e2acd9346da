#include "client/commands/wait_command.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "client/commands/change_section.h"
#include "client/platform/daemon_list.h"

namespace dotterellug {

namespace {

constexpr Duration kPollPause = std::chrono::milliseconds(250);

// What one daemon answered last.
struct DaemonState {
  SocketAddress address;
  std::string instance;
  std::optional<RevisionNumber> revision;
  std::string failure;

  auto HasInForce(RevisionNumber wanted) const -> bool {
    return revision && *revision >= wanted;
  }
};

// Reads {"instance": "entry-1", "revision": 17, ...}.
auto ParseStatus(const std::string& text, DaemonState& daemon) -> void {
  const auto json = nlohmann::json::parse(text, nullptr, false);
  const bool readable = json.is_object() && json.contains("revision") &&
                        json["revision"].is_number_integer();
  if (!readable) {
    daemon.failure = "the status has no revision";
    return;
  }
  daemon.revision = RevisionNumber(json["revision"].get<std::int64_t>());
  daemon.failure.clear();
  if (json.contains("instance") && json["instance"].is_string()) {
    daemon.instance = json["instance"].get<std::string>();
  }
}

auto Ask(const Invocation& invocation, DaemonState& daemon) -> void {
  const auto status =
      invocation.outside.fetch_status(daemon.address, kStatusTimeout);
  if (status) {
    ParseStatus(*status, daemon);
  } else {
    daemon.failure = status.error().message;
  }
}

// The revision of the options, or the latest of the object API.
auto WantedRevision(const Invocation& invocation) -> Result<RevisionNumber> {
  if (invocation.options.revision >= 0) {
    return RevisionNumber(invocation.options.revision);
  }
  auto deployment = invocation.outside.open_deployment(invocation.options);
  if (!deployment) return tl::unexpected<Error>(deployment.error());
  const auto head = deployment->LoadHead();
  if (!head) return tl::unexpected<Error>(head.error());
  return head->ref.number;
}

// Asks those that lag until none does or the time is over; the number that lag.
auto Poll(const Invocation& invocation, RevisionNumber wanted,
          std::vector<DaemonState>& daemons) -> std::size_t {
  const auto deadline = MonotonicNow() + invocation.options.timeout;
  while (true) {
    std::size_t lagging = 0;
    for (auto& daemon : daemons) {
      if (daemon.HasInForce(wanted)) continue;
      Ask(invocation, daemon);
      if (!daemon.HasInForce(wanted)) ++lagging;
    }
    if (lagging == 0 || MonotonicNow() >= deadline) return lagging;
    invocation.outside.pause(kPollPause);
  }
}

auto StateText(const DaemonState& daemon, RevisionNumber wanted)
    -> std::string {
  if (daemon.HasInForce(wanted)) return "in force";
  if (daemon.failure.empty()) return "lags";
  return daemon.failure;
}

auto RunWait(const Invocation& invocation) -> ExitCode {
  const auto addresses = ParseDaemons(invocation.options.daemons);
  if (!addresses) {
    return ReportError(invocation, addresses.error(), ExitCode::kUsage);
  }
  std::vector<DaemonState> daemons;
  for (const auto& address : *addresses) {
    daemons.push_back(DaemonState{address, "", std::nullopt, ""});
  }
  const auto wanted = WantedRevision(invocation);
  if (!wanted) {
    const auto code = wanted.error().kind == ErrorKind::kInvalidArgument
                          ? ExitCode::kUsage
                          : ExitCode::kFailed;
    return ReportError(invocation, wanted.error(), code);
  }
  const auto lagging = Poll(invocation, *wanted, daemons);
  OutputTable table{{"daemon", "instance", "revision", "state"}, {}};
  for (const auto& daemon : daemons) {
    table.rows.push_back(
        {daemon.address.Text(), daemon.instance,
         daemon.revision ? std::to_string(daemon.revision->Value()) : "-",
         StateText(daemon, *wanted)});
  }
  WriteTable(table, invocation.options.output, invocation.out);
  invocation.err << "revision " << *wanted << " is in force on "
                 << daemons.size() - lagging << " of " << daemons.size()
                 << " daemons\n";
  return lagging == 0 ? ExitCode::kDone : ExitCode::kFailed;
}

}  // namespace

auto WaitCommand() -> Command {
  return {"wait",
          "",
          "wait until daemons have a revision in force; name those that lag",
          "Polls /status on each daemon's admin address. A daemon that is cut "
          "off may lag\nwhile it still serves.",
          {"daemons", "revision", "object_api", "timeout"},
          0,
          0,
          RunWait};
}

}  // namespace dotterellug
