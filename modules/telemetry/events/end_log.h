#pragma once

#include <string>

namespace dotterellug {

// Has this process write a last line to `descriptor` when it ends by an
// exception that nobody catches (`ended_by_exception`, with its text) or by a
// fault or an abort (`ended_by_signal`, with the number only, since nothing
// else can be formatted there). It still ends in the same way. Signals that
// have a handler already, such as a sanitizer's, are left alone. Call once.
auto LogAbnormalEnds(int descriptor, const std::string& instance) -> void;

}  // namespace dotterellug
