#include "client/commands/zone_commands.h"

#include "client/commands/change_section.h"

namespace dotterellug {

namespace {

auto SetZone(const Invocation& invocation, bool out) -> ExitCode {
  const AvailabilityZoneId id(invocation.arguments.front());
  const auto plan =
      [&id,
       out](const DeployedDocument& head) -> Result<std::vector<std::string>> {
    const auto zone = head.document.zones.find(id);
    if (zone == head.document.zones.end()) {
      return Fail(ErrorKind::kNotFound,
                  "no availability zone \"" + id.Value() + "\"",
                  "see section get zones");
    }
    if (zone->second.out == out) return std::vector<std::string>{};
    // An empty value removes the key, so that its default applies.
    return std::vector<std::string>{"zones[" + id.Value() +
                                    "].out=" + (out ? "true" : "")};
  };
  const std::string reason =
      std::string(out ? "zones out " : "zones in ") + id.Value();
  return ChangeSection(invocation, {Section::kZones, reason, plan});
}

auto RunZonesOut(const Invocation& invocation) -> ExitCode {
  return SetZone(invocation, true);
}

auto RunZonesIn(const Invocation& invocation) -> ExitCode {
  return SetZone(invocation, false);
}

}  // namespace

auto ZoneCommands() -> std::vector<Command> {
  const std::vector<std::string> flags{"object_api", "dry_run", "author",
                                       "reason", "timeout"};
  return {
      {"zones out", "ZONE", "give an availability zone no new work",
       "Does nothing when the zone is out already. The last zone cannot be "
       "taken out.",
       flags, 1, 1, RunZonesOut},
      {"zones in", "ZONE", "give an availability zone work again",
       "Does nothing when the zone is in already.", flags, 1, 1, RunZonesIn}};
}

}  // namespace dotterellug
