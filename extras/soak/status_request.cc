#include "soak/status_request.h"

#include <memory>
#include <utility>

#include "eventhttp/eventhttp.h"

namespace dotterellug::soak {

auto RequestStatus(boost::asio::io_context& loop, const SocketAddress& server,
                   const std::string& request, std::function<void(int)> then)
    -> void {
  const auto connection =
      std::make_shared<eventhttp::ClientConnection>(loop, server);
  const auto status = std::make_shared<int>(0);
  eventhttp::ExchangeHandlers handlers;
  handlers.on_head = [status](eventhttp::ResponseHead& head) {
    *status = head.status;
    return eventhttp::HeadVerdict::kAccept;
  };
  handlers.on_body = [](std::string_view) {};
  handlers.on_end = [connection, status, then = std::move(then)](
                        eventhttp::ExchangeEnd) { then(*status); };
  connection->Exchange(request, std::move(handlers));
}

}  // namespace dotterellug::soak
