#include "telemetry/events/end_log.h"

#include <unistd.h>

#include <array>
#include <csignal>
#include <exception>
#include <string_view>

#include "telemetry/events/event_log.h"

namespace dotterellug {
namespace {

// The handlers' own stack, since that of the process may be exhausted.
constexpr std::size_t kStackBytes = 65'536;

struct EndLog {
  int descriptor;
  std::string instance;
  std::array<char, kStackBytes> stack{};
};

// Set before the handlers are, and never released.
const EndLog* end_log = nullptr;

auto ExceptionText() -> std::string {
  const auto current = std::current_exception();
  if (!current) return "no exception";
  try {
    std::rethrow_exception(current);
  } catch (const std::exception& error) {
    return error.what();
  } catch (...) {
    return "an exception of another type than std::exception";
  }
}

[[noreturn]] auto OnTerminate() -> void {
  EventLog log(end_log->descriptor, end_log->instance);
  log.Write(EventRank::kState, "ended_by_exception")
      .Add("error", ExceptionText());
  log.Flush(MonotonicNow());
  std::abort();
}

auto OnFault(int number) -> void {
  constexpr std::string_view kBegin =
      "{\"event\":\"ended_by_signal\",\"signal\":";
  const std::array<char, 4> end{static_cast<char>('0' + number / 10),
                                static_cast<char>('0' + number % 10), '}',
                                '\n'};
  // Nothing can be done about a part that is not written.
  for (const auto& part : {kBegin, std::string_view(end.data(), end.size())}) {
    [[maybe_unused]] const auto count =
        ::write(end_log->descriptor, part.data(), part.size());
  }
  // Has its default effect when this handler returns.
  ::raise(number);
}

}  // namespace

auto LogAbnormalEnds(int descriptor, const std::string& instance) -> void {
  auto* const log = new EndLog{descriptor, instance};
  end_log = log;
  std::set_terminate(OnTerminate);
  stack_t stack{};
  stack.ss_sp = log->stack.data();
  stack.ss_size = log->stack.size();
  // Without it, only a fault on an exhausted stack has no line.
  ::sigaltstack(&stack, nullptr);
  for (const int number : {SIGSEGV, SIGBUS, SIGILL, SIGFPE, SIGABRT}) {
    struct sigaction before {};
    if (::sigaction(number, nullptr, &before) != 0) continue;
    if (before.sa_handler != SIG_DFL) continue;
    struct sigaction action {};
    action.sa_handler = OnFault;
    action.sa_flags = static_cast<int>(SA_RESETHAND | SA_ONSTACK);
    ::sigaction(number, &action, nullptr);
  }
}

}  // namespace dotterellug
