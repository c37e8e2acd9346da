#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/ids/ids.h"
#include "core/net/socket_address.h"
#include "core/time/time.h"

namespace dotterellug {

struct ListenerSettings {
  // Callers' HTTP.
  SocketAddress callers;
  // Other daemons: requests over TCP and probes over UDP on the same port.
  SocketAddress peers;
  // Health, status and metrics.
  SocketAddress admin;
};

struct PlatformSettings {
  SocketAddress object_api;
  SocketAddress instance_list;
};

// Paths of files that hold secrets; the secrets themselves never stand in the
// settings.
struct KeyFileSettings {
  // Authenticates messages between daemons.
  std::string fleet;
  // Key of the digests of caller keys, see DigestKey.
  std::string digest;
  // Our own credential towards upstreams; empty sends none.
  std::string upstream_credential;
};

// Files in PEM form. An empty path means that the file is not used.
struct TlsSettings {
  std::string certificate;
  std::string key;
  // Certificates that the other side's certificate must derive from.
  std::string authority;

  // A server needs a certificate, a client an authority.
  auto Enabled() const -> bool {
    return !certificate.empty() || !authority.empty();
  }
};

// TLS per kind of connection; each is plain TCP unless set.
struct TlsSettingsByUse {
  TlsSettings callers;
  TlsSettings peers;
  TlsSettings upstreams;
  TlsSettings platform;
};

enum class LogFormat { kText, kJson };
enum class LogLevel { kDebug, kInfo, kWarning, kError };

struct LogSettings {
  LogFormat format = LogFormat::kText;
  LogLevel level = LogLevel::kInfo;
};

// Bounds on what one caller can make the daemon hold or wait for.
struct RequestLimitSettings {
  Bytes header{16'000};
  Bytes body{1'000'000};
  std::int64_t json_depth = 32;
  Duration header_timeout = std::chrono::seconds(10);
  // Open caller connections; each has a thread.
  std::int64_t connections = 4096;
};

// Everything that one daemon reads from its settings file at start.
struct DaemonSettings {
  InstanceId instance;
  AvailabilityZoneId availability_zone;
  ListenerSettings listen;
  PlatformSettings platform;
  // Daemons to contact at start, besides those in the instance list. May
  // contain this daemon, so that all instances can share one list.
  std::vector<SocketAddress> peers;
  KeyFileSettings key_files;
  TlsSettingsByUse tls;
  LogSettings log;
  RequestLimitSettings limits;
  // How long a leaving daemon keeps listening until the load balancer has
  // noticed.
  Duration drain = std::chrono::seconds(5);
  // How long after the stop signal the supervisor lets the process run.
  Duration stop_grace = std::chrono::seconds(90);
};

}  // namespace dotterellug
