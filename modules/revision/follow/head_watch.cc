#include "revision/follow/head_watch.h"

namespace dotterellug {
namespace {

auto ParseRef(const std::string& text) -> Result<std::optional<RevisionRef>> {
  const auto head = ParseHead(text);
  if (!head) return tl::unexpected<Error>(head.error());
  return std::optional<RevisionRef>(head->revision);
}

}  // namespace

auto HeadWatch::Next(Duration max_wait) -> Result<std::optional<RevisionRef>> {
  if (!position_) return ListHead();
  const auto changes = store_.Watch(kHeadObject, *position_, max_wait);
  if (!changes && changes.error().kind == ErrorKind::kCompacted) {
    position_.reset();
    return ListHead();
  }
  if (!changes) return tl::unexpected<Error>(changes.error());
  position_ = changes->position;
  for (auto it = changes->events.rbegin(); it != changes->events.rend(); ++it) {
    if (it->name == kHeadObject && !it->deleted) return ParseRef(it->value);
  }
  return std::nullopt;
}

auto HeadWatch::ListHead() -> Result<std::optional<RevisionRef>> {
  const auto list = store_.List(kHeadObject);
  if (!list) return tl::unexpected<Error>(list.error());
  position_ = list->position;
  for (const auto& object : list->objects) {
    if (object.name == kHeadObject) return ParseRef(object.value);
  }
  return std::nullopt;
}

}  // namespace dotterellug
