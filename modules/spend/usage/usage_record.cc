#include "spend/usage/usage_record.h"

namespace dotterellug {

auto Usage::operator+=(const Usage& other) -> Usage& {
  busy += other.busy;
  prompt_tokens += other.prompt_tokens;
  generated_tokens += other.generated_tokens;
  requests += other.requests;
  return *this;
}

auto Overhead::operator+=(const Overhead& other) -> Overhead& {
  idle += other.idle;
  cold += other.cold;
  return *this;
}

}  // namespace dotterellug
