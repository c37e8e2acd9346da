#include "eventhttp/message/status_text.h"

#include <boost/beast/http/message.hpp>

namespace dotterellug::eventhttp {

auto StatusText(int status) -> std::string_view {
  const auto text = boost::beast::http::obsolete_reason(
      static_cast<boost::beast::http::status>(status));
  if (text.empty()) return "Status";
  return {text.data(), text.size()};
}

}  // namespace dotterellug::eventhttp
