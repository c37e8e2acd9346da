#pragma once

#include <gtest/gtest.h>
#include <unistd.h>

#include <boost/asio/io_context.hpp>
#include <filesystem>
#include <fstream>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "platform/standins/platform_documents.h"
#include "platform/standins/store_standin.h"
#include "platform/standins/upstream_standin.h"
#include "soak/daemon_process.h"
#include "soak/fault_proxy.h"
#include "soak/status_request.h"

namespace dotterellug::soak {

// Several daemons as processes of their own beside one store and one upstream.
// The store can turn each of them away and serve the others.
class FleetFixture : public ::testing::Test {
 protected:
  struct Daemon {
    std::unique_ptr<FaultProxy> store_link;
    platform::DaemonPlace place;
    std::filesystem::path log;
    std::unique_ptr<DaemonProcess> process;
  };

  explicit FleetFixture(int daemons) {
    const auto number = static_cast<unsigned>(::getpid());
    folder_ = std::filesystem::temp_directory_path() /
              ("dotterellug_fleet_" + std::to_string(number));
    std::filesystem::create_directories(folder_);
    upstream_.Register(upstream_.Address());
    Configure({"first"});
    for (int i = 1; i <= daemons; ++i) {
      Daemon daemon;
      daemon.store_link = std::make_unique<FaultProxy>(loop_, store_.Address());
      const auto name = "d" + std::to_string(i);
      daemon.place = {name,
                      "127." + std::to_string(20 + number % 200) + "." +
                          std::to_string(number / 200 % 250) + "." +
                          std::to_string(100 + i),
                      "a", daemon.store_link->Address()};
      const std::string settings = folder_ / (name + ".json");
      std::ofstream(settings) << platform::MakeSettingsFile(daemon.place);
      daemon.log = folder_ / (name + ".log");
      daemon.process = std::make_unique<DaemonProcess>(DaemonPlan{
          DOTTERELLUGD, platform::SettingsEnvironment(settings), daemon.log});
      daemons_.push_back(std::move(daemon));
    }
  }
  ~FleetFixture() override {
    daemons_.clear();
    std::filesystem::remove_all(folder_);
  }

  auto Configure(const std::vector<std::string>& routes) -> void {
    platform::ConfigurationPlan plan;
    plan.version = ++version_;
    for (const auto& route : routes) {
      plan.routes.push_back(
          {route, "idempotent", "plain", std::chrono::seconds(2)});
    }
    plan.plain_pools = {"plain"};
    plan.engine_pool = "engines";
    plan.accounts = {{"open", {"key"}}};
    platform::PutConfiguration(store_, plan);
  }

  // Starts all daemons and waits until they serve.
  auto Start() -> bool {
    for (auto& daemon : daemons_) {
      if (!daemon.process->Start()) return false;
    }
    return RunUntil(std::chrono::seconds(10), [this] {
      for (const auto& daemon : daemons_) {
        if (StatusAt(daemon, "first") != 200) return false;
      }
      return true;
    });
  }

  // Lets everything go on until `done`, at most for `time`.
  auto RunUntil(Duration time, const std::function<bool()>& done) -> bool {
    const auto end = MonotonicNow() + time;
    while (MonotonicNow() < end) {
      if (done()) return true;
      loop_.restart();
      loop_.run_for(std::chrono::milliseconds(20));
    }
    return false;
  }

  // The status of the answer to a request; 0 without an answer.
  auto StatusOf(const SocketAddress& server, const std::string& request)
      -> int {
    const auto status = std::make_shared<int>(-1);
    RequestStatus(loop_, server, request,
                  [status](int answered) { *status = answered; });
    const auto end = MonotonicNow() + std::chrono::seconds(2);
    while (*status < 0 && MonotonicNow() < end) {
      loop_.restart();
      loop_.run_one_for(std::chrono::milliseconds(20));
    }
    return std::max(*status, 0);
  }
  // The same for a request on a route at one daemon.
  auto StatusAt(const Daemon& daemon, const std::string& route) -> int {
    const platform::CallerRequest request{"t" + std::to_string(++requests_),
                                          "/" + route + "/x", "key",
                                          std::chrono::seconds(2), ""};
    return StatusOf(daemon.place.Callers(),
                    platform::EncodeCallerRequest(request));
  }
  auto Ready(const Daemon& daemon) -> bool {
    return StatusOf(daemon.place.Readiness(), platform::ReadinessRequest()) ==
           200;
  }

  static auto Ignored() -> platform::UpstreamObserver {
    platform::UpstreamObserver observer;
    observer.on_arrival = [](const auto&) {};
    observer.on_statement = [](const auto&, const auto&, bool) {};
    observer.on_run = [](const auto&, const auto&) {};
    observer.on_crash = [] {};
    observer.on_order = [](const auto&, auto) {};
    return observer;
  }

  boost::asio::io_context loop_;
  platform::StoreStandin store_{loop_, 1};
  platform::UpstreamStandin upstream_{
      loop_, store_, Ignored(), {"u1", "plain", "a", 8, {}}, 1};
  std::filesystem::path folder_;
  std::vector<Daemon> daemons_;
  std::int64_t version_ = 0;
  int requests_ = 0;
};

}  // namespace dotterellug::soak
