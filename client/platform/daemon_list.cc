#include "client/platform/daemon_list.h"

#include <algorithm>

#include "yaml/faults/fault_list.h"

namespace dotterellug {

auto ParseDaemons(const std::string& text)
    -> Result<std::vector<SocketAddress>> {
  std::vector<SocketAddress> daemons;
  std::size_t begin = 0;
  while (begin <= text.size()) {
    const auto end = std::min(text.find(',', begin), text.size());
    const auto word = text.substr(begin, end - begin);
    const auto address = ParseSocketAddress(word);
    if (!address) {
      return Fail(
          ErrorKind::kInvalidArgument,
          "--daemons has \"" + Shorten(word) + "\", " + address.error().message,
          "write admin addresses separated by commas, such as "
          "127.0.0.1:25201,127.0.0.1:25202");
    }
    daemons.push_back(*address);
    begin = end + 1;
  }
  return daemons;
}

}  // namespace dotterellug
