#pragma once

#include <string>
#include <string_view>
#include <utility>

#include "tl/expected.hpp"

namespace dotterellug {

// What went wrong, as far as a program can react to it.
enum class ErrorKind {
  kInvalidArgument,  // the input is wrong; repeating it does not help
  kNotFound,
  kConflict,        // a conditional update lost against another one
  kUnavailable,     // certainly not done; may be repeated
  kOutcomeUnknown,  // may have been done; read before repeating
  kTooLarge,
  kUnauthenticated,
  kForbidden,
  kExhausted,  // a limit or budget is used up
  kDeadlineExceeded,
  kCompacted,  // the watch position is too old; list again
  kProtocol,   // the peer broke the protocol
  kInternal,
};

// The kind's name in answers, logs and metric labels, such as
// "outcome_unknown".
auto ErrorKindName(ErrorKind kind) -> std::string_view;

// A failure. `message` says what failed and with which value; `remedy` says
// what the reader can do.
struct Error {
  ErrorKind kind = ErrorKind::kInternal;
  std::string message;
  std::string remedy;

  // Message and remedy in one line, for logs and command-line output.
  auto Text() const -> std::string;
};

template <typename T>
using Result = tl::expected<T, Error>;

// Shorthand for returning a failure from a function whose result is Result<T>.
inline auto Fail(ErrorKind kind, std::string message, std::string remedy)
    -> tl::unexpected<Error> {
  return tl::unexpected<Error>(
      Error{kind, std::move(message), std::move(remedy)});
}

}  // namespace dotterellug
