#include "frontend/http/caller_connection.h"

#include <sys/socket.h>

#include <cerrno>

namespace dotterellug {

auto CallerConnection::IsClosed() const -> bool {
  char byte = 0;
  const auto received =
      ::recv(descriptor_, &byte, 1, MSG_PEEK | MSG_DONTWAIT | MSG_NOSIGNAL);
  if (received > 0) return false;
  if (received == 0) return true;
  return errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR;
}

}  // namespace dotterellug
