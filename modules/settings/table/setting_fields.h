#pragma once

#include "settings/model/daemon_settings.h"
#include "yaml/rules/rules.h"

namespace dotterellug {

// The one list of all settings: key, rule, field and meaning. A visitor has
//   Required(key, rule, field, meaning), Optional(key, rule, field, meaning),
//   List(key, rule, field, meaning) and
//   Group(key, function taking the visitor of the group).
// The parser and the reference table visit it, so they cannot differ.

auto LogFormatRule() -> const ChoiceRule<LogFormat>&;
auto LogLevelRule() -> const ChoiceRule<LogLevel>&;

inline constexpr IdRule kInstanceRule{};
inline constexpr PathRule kPathRule{};
inline constexpr BytesRule kHeaderRule{Bytes{1000}, Bytes{1'000'000}};
inline constexpr BytesRule kBodyLimitRule{Bytes{1000}, Bytes{64'000'000}};
inline constexpr IntegerRule kJsonDepthRule{2, 256};
inline constexpr IntegerRule kConnectionsRule{1, 100'000};
inline constexpr DurationRule kHeaderTimeoutRule{std::chrono::milliseconds(100),
                                                 std::chrono::minutes(5)};
inline constexpr DurationRule kDrainRule{Duration(0), std::chrono::minutes(10)};
inline constexpr DurationRule kStopGraceRule{std::chrono::seconds(5),
                                             std::chrono::hours(2)};

template <typename Visitor>
auto VisitTlsFiles(Visitor& visitor, TlsSettings& tls) -> void {
  visitor.Optional("certificate", kPathRule, tls.certificate,
                   "PEM file with our certificate; needs key");
  visitor.Optional("key", kPathRule, tls.key,
                   "PEM file with the certificate's private key");
  visitor.Optional("authority", kPathRule, tls.authority,
                   "PEM file; the other side's certificate must derive from "
                   "one of these");
}

template <typename Visitor>
auto VisitListeners(Visitor& visitor, ListenerSettings& listen) -> void {
  visitor.Required("callers", SocketAddressRule{}, listen.callers,
                   "where callers connect (HTTP)");
  visitor.Required("peers", SocketAddressRule{}, listen.peers,
                   "where other daemons connect: requests over TCP and probes "
                   "over UDP on the same port");
  visitor.Required("admin", SocketAddressRule{}, listen.admin,
                   "health, status and metrics; not for callers");
}

template <typename Visitor>
auto VisitKeyFiles(Visitor& visitor, KeyFileSettings& files) -> void {
  visitor.Required("fleet", kPathRule, files.fleet,
                   "file with the key that authenticates messages between "
                   "daemons");
  visitor.Required("digest", kPathRule, files.digest,
                   "file with the key of the digests of caller keys, 64 "
                   "hexadecimal digits");
  visitor.Optional("upstream_credential", kPathRule, files.upstream_credential,
                   "file with the credential sent to upstreams");
}

template <typename Visitor>
auto VisitTls(Visitor& visitor, TlsSettingsByUse& tls) -> void {
  visitor.Group("callers",
                [&tls](auto& group) { VisitTlsFiles(group, tls.callers); });
  visitor.Group("peers",
                [&tls](auto& group) { VisitTlsFiles(group, tls.peers); });
  visitor.Group("upstreams",
                [&tls](auto& group) { VisitTlsFiles(group, tls.upstreams); });
  visitor.Group("platform",
                [&tls](auto& group) { VisitTlsFiles(group, tls.platform); });
}

template <typename Visitor>
auto VisitRequestLimits(Visitor& visitor, RequestLimitSettings& limits)
    -> void {
  visitor.Optional("header", kHeaderRule, limits.header,
                   "largest request header");
  visitor.Optional("body", kBodyLimitRule, limits.body,
                   "largest request body; the smaller of this and the serving "
                   "document's max_body applies");
  visitor.Optional("json_depth", kJsonDepthRule, limits.json_depth,
                   "deepest nesting of a JSON body");
  visitor.Optional("header_timeout", kHeaderTimeoutRule, limits.header_timeout,
                   "time for a caller to send the whole header");
  visitor.Optional("connections", kConnectionsRule, limits.connections,
                   "open caller connections; further ones are refused");
}

template <typename Visitor>
auto VisitSettings(Visitor& visitor, DaemonSettings& settings) -> void {
  visitor.Required("instance", kInstanceRule, settings.instance,
                   "id of this instance in the platform's instance list");
  visitor.Required("availability_zone", kInstanceRule,
                   settings.availability_zone,
                   "availability zone of this instance");
  visitor.Group("listen", [&settings](auto& group) {
    VisitListeners(group, settings.listen);
  });
  visitor.Group("platform", [&settings](auto& group) {
    group.Required("object_api", SocketAddressRule{},
                   settings.platform.object_api, "the platform's object API");
    group.Required("instance_list", SocketAddressRule{},
                   settings.platform.instance_list,
                   "the platform's instance list");
  });
  visitor.List("peers", SocketAddressRule{}, settings.peers,
               "peer addresses of daemons to contact at start; may contain "
               "this one");
  visitor.Group("key_files", [&settings](auto& group) {
    VisitKeyFiles(group, settings.key_files);
  });
  visitor.Group("tls",
                [&settings](auto& group) { VisitTls(group, settings.tls); });
  visitor.Group("log", [&settings](auto& group) {
    group.Optional("format", LogFormatRule(), settings.log.format,
                   "form of the log lines");
    group.Optional("level", LogLevelRule(), settings.log.level,
                   "least important level that is logged");
  });
  visitor.Group("limits", [&settings](auto& group) {
    VisitRequestLimits(group, settings.limits);
  });
  visitor.Optional("drain", kDrainRule, settings.drain,
                   "how long a leaving daemon keeps listening until the load "
                   "balancer has noticed");
  visitor.Optional("stop_grace", kStopGraceRule, settings.stop_grace,
                   "how long after the stop signal the service manager lets "
                   "the process run; requests still open get their answer 2 s "
                   "before");
}

}  // namespace dotterellug
