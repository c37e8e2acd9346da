#include "core/process/sibling_program.h"

#include <unistd.h>

#include <cerrno>
#include <filesystem>
#include <system_error>

namespace dotterellug {

auto ReplaceBySibling(const std::string& name,
                      const std::vector<std::string>& arguments) -> Error {
  std::error_code error;
  const auto own = std::filesystem::read_symlink("/proc/self/exe", error);
  if (error) {
    return {ErrorKind::kInternal,
            "the running program's folder is not known: " + error.message(),
            "mount /proc"};
  }
  const auto path = (own.parent_path() / name).string();
  std::vector<char*> argv;
  argv.push_back(const_cast<char*>(path.c_str()));
  for (const auto& argument : arguments) {
    argv.push_back(const_cast<char*>(argument.c_str()));
  }
  argv.push_back(nullptr);
  ::execv(path.c_str(), argv.data());
  return {
      ErrorKind::kNotFound,
      "cannot start " + path + ": " + std::generic_category().message(errno),
      "install " + name + " of the same build in that folder"};
}

}  // namespace dotterellug
