#include "client/files/document_files.h"

#include <filesystem>
#include <fstream>
#include <iterator>

namespace dotterellug {

namespace {

auto FileOf(const std::filesystem::path& folder, Section section)
    -> std::filesystem::path {
  return folder / (std::string(NameOf(section)) + ".yaml");
}

class FileCollector {
 public:
  FileCollector() { files_.paths.resize(kAllSections.size()); }

  auto Add(const std::string& path) -> Result<bool> {
    std::error_code status;
    if (std::filesystem::is_directory(path, status)) {
      AddFolder(path);
      return true;
    }
    const std::filesystem::path file(path);
    const auto section = FindSection(file.stem().string());
    if (!section) {
      return Fail(ErrorKind::kInvalidArgument,
                  "\"" + path + "\" is not named after a section",
                  "name it accounts.yaml, models.yaml, zones.yaml, limits.yaml "
                  "or upstreams.yaml; use --settings for daemon settings");
    }
    auto& known = files_.paths[Index(*section)];
    if (!known.empty() && known != path) {
      return Fail(ErrorKind::kInvalidArgument,
                  "two files for section " + std::string(NameOf(*section)),
                  "name one");
    }
    known = path;
    if (folder_.empty()) folder_ = FolderOf(file);
    return true;
  }

  auto Read() -> Result<DocumentFiles> {
    AddFolder(folder_);
    for (const auto section : kAllSections) {
      const auto& path = files_.paths[Index(section)];
      if (path.empty()) continue;
      auto text = ReadTextFile(path);
      if (!text) return tl::unexpected<Error>(text.error());
      files_.texts.Set(section, std::move(*text));
    }
    return std::move(files_);
  }

 private:
  static auto Index(Section section) -> std::size_t {
    return static_cast<std::size_t>(section);
  }

  static auto FolderOf(const std::filesystem::path& file)
      -> std::filesystem::path {
    return file.has_parent_path() ? file.parent_path()
                                  : std::filesystem::path(".");
  }

  // Adds the sections of the folder that have no file yet.
  auto AddFolder(const std::filesystem::path& folder) -> void {
    if (folder.empty()) return;
    if (folder_.empty()) folder_ = folder;
    for (const auto section : kAllSections) {
      auto& path = files_.paths[Index(section)];
      std::error_code status;
      const auto file = FileOf(folder, section);
      if (path.empty() && std::filesystem::exists(file, status)) {
        path = file.string();
      }
    }
  }

  std::filesystem::path folder_;
  DocumentFiles files_;
};

}  // namespace

auto ReadTextFile(const std::string& path) -> Result<std::string> {
  std::ifstream file(path, std::ios::binary);
  std::string text(kSectionLimits.max_bytes + 1, '\0');
  file.read(text.data(), static_cast<std::streamsize>(text.size()));
  if (!file && !file.eof()) {
    return Fail(ErrorKind::kNotFound, "cannot read \"" + path + "\"",
                "check the path and the permissions");
  }
  // A text that is too long stays so, and the parser reports it.
  text.resize(static_cast<std::size_t>(file.gcount()));
  return text;
}

auto ReadDocumentFiles(const std::vector<std::string>& paths)
    -> Result<DocumentFiles> {
  FileCollector collector;
  for (const auto& path : paths) {
    const auto added = collector.Add(path);
    if (!added) return tl::unexpected<Error>(added.error());
  }
  auto files = collector.Read();
  if (!files) return files;
  for (const auto& path : files->paths) {
    if (!path.empty()) return files;
  }
  return Fail(ErrorKind::kNotFound, "no section file in \"" + paths[0] + "\"",
              "name a folder with accounts.yaml, models.yaml, zones.yaml, "
              "limits.yaml and upstreams.yaml");
}

}  // namespace dotterellug
