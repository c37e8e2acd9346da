#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <thread>

#include "daemon/control/control_event.h"
#include "upstream/upstream.h"

namespace dotterellug {

// Decodes the platform's instance list. Entries that cannot be used are left
// out, since other programs write some of them; nothing if it is no list.
auto ParseInstanceList(const std::string& body)
    -> std::optional<InstanceListRead>;

// Reads the platform's instance list every second on a thread of its own.
class InstanceListReader {
 public:
  using Send = std::function<auto(ControlEvent)->void>;

  InstanceListReader(const UpstreamTarget& list, Send send);
  InstanceListReader(const InstanceListReader&) = delete;
  auto operator=(const InstanceListReader&) -> InstanceListReader& = delete;
  ~InstanceListReader();

 private:
  auto Run() -> void;
  auto ReadOnce(UpstreamExchange& exchange) -> std::optional<InstanceListRead>;

  UpstreamTarget target_;
  Send send_;
  std::int64_t reads_ = 0;
  std::atomic<bool> stopping_{false};
  std::thread thread_;
};

}  // namespace dotterellug
