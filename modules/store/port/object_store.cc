#include "store/port/object_store.h"

#include <algorithm>
#include <cctype>
#include <nlohmann/json.hpp>
#include <string_view>

#include "core/text/utf8.h"

namespace dotterellug {
namespace {

constexpr std::size_t kMaxNameLength = 512;

auto IsNameCharacter(unsigned char character) -> bool {
  constexpr std::string_view kPunctuation = "._:/-";
  return std::isalnum(character) != 0 ||
         kPunctuation.find(static_cast<char>(character)) !=
             std::string_view::npos;
}

auto CheckPrefix(const std::string& prefix) -> Result<void> {
  if (prefix.size() <= kMaxNameLength &&
      std::all_of(prefix.begin(), prefix.end(), IsNameCharacter)) {
    return {};
  }
  return Fail(ErrorKind::kInvalidArgument,
              "object name \"" + prefix + "\" is not allowed",
              "use up to 512 letters, digits and . _ : / -");
}

auto CheckName(const std::string& name) -> Result<void> {
  if (!name.empty()) return CheckPrefix(name);
  return Fail(ErrorKind::kInvalidArgument, "object name is empty",
              "name the object");
}

auto CheckValue(const std::string& name, const std::string& value)
    -> Result<void> {
  if (value.size() > static_cast<std::size_t>(kMaxObjectBytes.Value())) {
    return Fail(ErrorKind::kTooLarge,
                "value of " + name + " has " + std::to_string(value.size()) +
                    " bytes, at most " +
                    std::to_string(kMaxObjectBytes.Value()) + " are allowed",
                "split it over several objects");
  }
  if (IsUtf8(value)) return {};
  return Fail(ErrorKind::kInvalidArgument,
              "value of " + name + " is not valid UTF-8",
              "encode binary data as text");
}

}  // namespace

auto ObjectStore::Get(const std::string& name) -> Result<ObjectRecord> {
  const auto checked = CheckName(name);
  if (!checked) return tl::unexpected<Error>(checked.error());
  return std::visit([&](auto& store) { return store.Get(name); }, store_);
}

auto ObjectStore::Put(const std::string& name, const std::string& value,
                      ObjectVersion expected) -> Result<ObjectVersion> {
  const auto checked =
      CheckName(name).and_then([&] { return CheckValue(name, value); });
  if (!checked) return tl::unexpected<Error>(checked.error());
  return std::visit(
      [&](auto& store) { return store.Put(name, value, expected); }, store_);
}

auto ObjectStore::Remove(const std::string& name, ObjectVersion expected)
    -> Result<ObjectVersion> {
  const auto checked = CheckName(name);
  if (!checked) return tl::unexpected<Error>(checked.error());
  if (expected == kAbsent) {
    return Fail(ErrorKind::kInvalidArgument,
                "removal of " + name + " expects that it does not exist",
                "read the object and pass its version");
  }
  return std::visit([&](auto& store) { return store.Remove(name, expected); },
                    store_);
}

auto ObjectStore::List(const std::string& prefix) -> Result<ListResult> {
  const auto checked = CheckPrefix(prefix);
  if (!checked) return tl::unexpected<Error>(checked.error());
  return std::visit([&](auto& store) { return store.List(prefix); }, store_);
}

auto ObjectStore::Watch(const std::string& prefix, WatchPosition after,
                        Duration max_wait) -> Result<WatchResult> {
  const auto checked = CheckPrefix(prefix);
  if (!checked) return tl::unexpected<Error>(checked.error());
  return std::visit(
      [&](auto& store) { return store.Watch(prefix, after, max_wait); },
      store_);
}

}  // namespace dotterellug
