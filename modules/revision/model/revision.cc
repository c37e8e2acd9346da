#include "revision/model/revision.h"

#include <nlohmann/json.hpp>

namespace dotterellug {
namespace {

using Json = nlohmann::json;

auto EncodeRef(const RevisionRef& ref) -> Json {
  return Json{{"number", ref.number.Value()}, {"object", ref.object}};
}

auto ParseRef(const Json& json) -> RevisionRef {
  return RevisionRef{RevisionNumber(json.at("number").get<std::int64_t>()),
                     json.at("object").get<std::string>()};
}

auto ParseSection(const Json& json) -> SectionRef {
  return SectionRef{ContentDigest(json.at("digest").get<std::string>()),
                    json.at("chunks").get<std::vector<std::string>>()};
}

// Parses `text` with `parse`, which may throw.
template <typename Parse>
auto ParseObject(const std::string& text, const char* what, Parse parse)
    -> Result<decltype(parse(Json()))> {
  try {
    return parse(Json::parse(text));
  } catch (const Json::exception& error) {
    return Fail(ErrorKind::kProtocol,
                std::string("cannot parse ") + what + ": " + error.what(),
                "check which program writes under config/");
  }
}

}  // namespace

auto EncodeRevision(const Revision& revision) -> std::string {
  Json sections = Json::object();
  for (const auto& [name, section] : revision.sections) {
    sections[name.Value()] =
        Json{{"digest", section.digest.Value()}, {"chunks", section.chunks}};
  }
  return Json{{"number", revision.number.Value()},
              {"edit", revision.edit.Value()},
              {"parent", EncodeRef(revision.parent)},
              {"author", revision.author},
              {"reason", revision.reason},
              {"time_ms", revision.time.time_since_epoch().count()},
              {"sections", sections}}
      .dump();
}

auto ParseRevision(const std::string& text) -> Result<Revision> {
  return ParseObject(text, "revision", [](const Json& json) {
    Revision revision;
    revision.number = RevisionNumber(json.at("number").get<std::int64_t>());
    revision.edit = EditId(json.at("edit").get<std::string>());
    revision.parent = ParseRef(json.at("parent"));
    revision.author = json.at("author").get<std::string>();
    revision.reason = json.at("reason").get<std::string>();
    revision.time = WallTime(
        std::chrono::milliseconds(json.at("time_ms").get<std::int64_t>()));
    for (const auto& [name, section] : json.at("sections").items()) {
      revision.sections[SectionName(name)] = ParseSection(section);
    }
    return revision;
  });
}

auto EncodeHead(const Head& head) -> std::string {
  return Json{{"revision", EncodeRef(head.revision)},
              {"edit", head.edit.Value()}}
      .dump();
}

auto ParseHead(const std::string& text) -> Result<Head> {
  return ParseObject(text, "head", [](const Json& json) {
    return Head{ParseRef(json.at("revision")),
                EditId(json.at("edit").get<std::string>())};
  });
}

}  // namespace dotterellug
