#include "client/files/key_file.h"

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <filesystem>
#include <fstream>

#include "document/keys/caller_key_text.h"

namespace dotterellug {

namespace {

auto WriteFailure(const std::string& path) -> tl::unexpected<Error> {
  return Fail(ErrorKind::kInvalidArgument,
              "cannot write key file \"" + path + "\": " + std::strerror(errno),
              "choose a path that can be written and does not exist");
}

}  // namespace

auto ReadKeyFile(const std::string& path)
    -> Result<std::optional<std::string>> {
  std::error_code status;
  if (!std::filesystem::exists(path, status)) return std::nullopt;
  std::ifstream file(path);
  std::string text;
  std::getline(file, text);
  if (ParseCallerKey(text)) return text;
  // The content is not shown; it may be another secret.
  return Fail(ErrorKind::kInvalidArgument,
              "key file \"" + path + "\" exists and holds no caller key",
              "choose a path that does not exist");
}

auto WriteKeyFile(const std::string& path, const std::string& text)
    -> Result<void> {
  const int file = open(path.c_str(), O_WRONLY | O_CREAT | O_EXCL | O_CLOEXEC,
                        S_IRUSR | S_IWUSR);
  if (file < 0) return WriteFailure(path);
  const auto line = text + "\n";
  const auto written = write(file, line.data(), line.size());
  const bool synced = fsync(file) == 0;
  const bool closed = close(file) == 0;
  if (written != static_cast<ssize_t>(line.size()) || !synced || !closed) {
    return WriteFailure(path);
  }
  return {};
}

}  // namespace dotterellug
