#pragma once

namespace dotterellug {

// Whether a response can have this status: RFC 9110, 15 calls values outside
// this range invalid.
constexpr auto IsValidStatus(int status) -> bool {
  return status >= 100 && status <= 599;
}

}  // namespace dotterellug
