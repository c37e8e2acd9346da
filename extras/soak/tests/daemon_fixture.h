#pragma once

#include <gtest/gtest.h>
#include <unistd.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <functional>
#include <memory>
#include <string>

#include "platform/standins/platform_documents.h"
#include "platform/standins/store_standin.h"
#include "soak/daemon_process.h"

namespace dotterellug::soak {

// A daemon as a process of its own, from its first moments on.
class DaemonFixture : public ::testing::Test {
 protected:
  DaemonFixture() {
    const auto process = static_cast<unsigned>(::getpid());
    place_ = {"d1",
              "127." + std::to_string(20 + process % 200) + "." +
                  std::to_string(process / 200 % 250) + ".77",
              "a", store_.Address()};
    folder_ = std::filesystem::temp_directory_path() /
              ("dotterellug_daemon_" + std::to_string(process));
    std::filesystem::create_directories(folder_);
    settings_ = folder_ / "d1.json";
    daemon_ = std::make_unique<DaemonProcess>(
        DaemonPlan{DOTTERELLUGD, platform::SettingsEnvironment(settings_),
                   folder_ / "d1.log"});
  }
  ~DaemonFixture() override {
    daemon_.reset();
    std::filesystem::remove_all(folder_);
  }

  auto WriteSettings() -> void {
    std::ofstream(settings_) << platform::MakeSettingsFile(place_);
  }
  // Lets the store work for a time, or until `done`.
  auto RunFor(
      Duration time, const std::function<bool()>& done = [] { return false; })
      -> bool {
    const auto end = MonotonicNow() + time;
    while (!done() && MonotonicNow() < end) {
      loop_.restart();
      loop_.run_for(std::chrono::milliseconds(10));
    }
    return done();
  }
  // Whether connections to `address` are accepted.
  auto Accepts(const SocketAddress& address) -> bool {
    namespace ip = boost::asio::ip;
    ip::tcp::socket socket(loop_);
    boost::system::error_code error;
    socket.connect({ip::make_address(address.host), address.port}, error);
    return !error;
  }
  auto Listens() -> bool { return Accepts(place_.Callers()); }
  auto Ended() -> bool { return !daemon_->Running(); }

  static constexpr Duration kLongest = std::chrono::seconds(10);

  boost::asio::io_context loop_;
  platform::StoreStandin store_{loop_, 1};
  platform::DaemonPlace place_;
  std::filesystem::path folder_;
  std::string settings_;
  std::unique_ptr<DaemonProcess> daemon_;
};

}  // namespace dotterellug::soak
