#include "peer/request/http_exchange.h"

#include <curl/curl.h>
#include <strings.h>

#include <algorithm>
#include <chrono>
#include <cstring>
#include <mutex>
#include <string_view>

#include "peer/request/request_head.h"

namespace dotterellug {

namespace {

struct Transfer {
  std::string_view unsent;
  std::size_t max_response_bytes = 0;
  HttpExchangeResult result;
};

auto ReadBody(char* buffer, std::size_t size, std::size_t count, void* context)
    -> std::size_t {
  auto* transfer = static_cast<Transfer*>(context);
  const auto length = std::min(size * count, transfer->unsent.size());
  std::memcpy(buffer, transfer->unsent.data(), length);
  transfer->unsent.remove_prefix(length);
  return length;
}

auto WriteBody(char* data, std::size_t size, std::size_t count, void* context)
    -> std::size_t {
  auto* transfer = static_cast<Transfer*>(context);
  auto& body = transfer->result.body;
  if (body.size() + size * count > transfer->max_response_bytes) return 0;
  body.append(data, size * count);
  return size * count;
}

auto TakeHeader(std::string_view line, std::string_view name,
                std::string* value) -> void {
  if (line.size() <= name.size() || line[name.size()] != ':') return;
  if (strncasecmp(line.data(), name.data(), name.size()) != 0) return;
  line.remove_prefix(name.size() + 1);
  const auto begin = line.find_first_not_of(" \t");
  const auto end = line.find_last_not_of(" \t\r\n");
  if (begin == std::string_view::npos) return;
  *value = line.substr(begin, end - begin + 1);
}

auto WriteHeader(char* data, std::size_t size, std::size_t count, void* context)
    -> std::size_t {
  auto* transfer = static_cast<Transfer*>(context);
  const std::string_view line(data, size * count);
  TakeHeader(line, kHeadHeader, &transfer->result.head);
  TakeHeader(line, kMacHeader, &transfer->result.mac);
  return size * count;
}

// Milliseconds, at least 1, because libcurl takes 0 as no limit.
auto Milliseconds(Duration limit) -> long {  // NOLINT(google-runtime-int)
  const auto count =
      std::chrono::duration_cast<std::chrono::milliseconds>(limit).count();
  return std::max<std::int64_t>(count, 1);
}

auto InitialiseCurl() -> void {
  static std::once_flag once;
  std::call_once(once, [] { curl_global_init(CURL_GLOBAL_DEFAULT); });
}

}  // namespace

struct HttpExchange::State {
  CURL* curl = nullptr;
  curl_slist* headers = nullptr;

  auto SetHeaders(const std::string& head, const std::string& mac) -> void {
    curl_slist_free_all(headers);
    headers = nullptr;
    Add(std::string(kHeadHeader) + ": " + head);
    Add(std::string(kMacHeader) + ": " + mac);
    Add("Content-Type: application/json");
    // Without this libcurl waits for "100 Continue" before a large body.
    Add("Expect:");
    curl_easy_setopt(curl, CURLOPT_HTTPHEADER, headers);
  }

 private:
  auto Add(const std::string& line) -> void {
    headers = curl_slist_append(headers, line.c_str());
  }
};

HttpExchange::HttpExchange() : state_(std::make_unique<State>()) {
  InitialiseCurl();
  state_->curl = curl_easy_init();
  auto* curl = state_->curl;
  curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(curl, CURLOPT_PROXY, "");
  curl_easy_setopt(curl, CURLOPT_PROTOCOLS_STR, "http");
  curl_easy_setopt(curl, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
  curl_easy_setopt(curl, CURLOPT_TCP_NODELAY, 1L);
  curl_easy_setopt(curl, CURLOPT_MAXCONNECTS, 1L);
  curl_easy_setopt(curl, CURLOPT_POST, 1L);
  // A read function without a seek function keeps libcurl from sending a
  // request again on a new connection when a reused one was closed.
  curl_easy_setopt(curl, CURLOPT_READFUNCTION, ReadBody);
  curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, WriteBody);
  curl_easy_setopt(curl, CURLOPT_HEADERFUNCTION, WriteHeader);
}

HttpExchange::~HttpExchange() {
  curl_easy_cleanup(state_->curl);
  curl_slist_free_all(state_->headers);
}

auto HttpExchange::Post(const SocketAddress& address, const std::string& head,
                        const std::string& mac, const std::string& body,
                        std::size_t max_response_bytes, Duration limit)
    -> HttpExchangeResult {
  auto* curl = state_->curl;
  Transfer transfer;
  transfer.unsent = body;
  transfer.max_response_bytes = max_response_bytes;
  state_->SetHeaders(head, mac);
  const auto url = "http://" + address.Text() + "/";
  curl_easy_setopt(curl, CURLOPT_URL, url.c_str());
  curl_easy_setopt(curl, CURLOPT_POSTFIELDSIZE_LARGE,
                   static_cast<curl_off_t>(body.size()));
  curl_easy_setopt(curl, CURLOPT_READDATA, &transfer);
  curl_easy_setopt(curl, CURLOPT_WRITEDATA, &transfer);
  curl_easy_setopt(curl, CURLOPT_HEADERDATA, &transfer);
  curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, Milliseconds(limit));
  const auto code = curl_easy_perform(curl);
  if (code == CURLE_OK) {
    transfer.result.kind = HttpExchangeResult::Kind::kResponse;
    return transfer.result;
  }
  long sent_bytes = 0;  // NOLINT(google-runtime-int): type of libcurl
  curl_easy_getinfo(curl, CURLINFO_REQUEST_SIZE, &sent_bytes);
  const auto untouched = transfer.unsent.size() == body.size();
  transfer.result.kind = sent_bytes == 0 && untouched
                             ? HttpExchangeResult::Kind::kNotSent
                             : HttpExchangeResult::Kind::kInDoubt;
  transfer.result.failure = curl_easy_strerror(code);
  return transfer.result;
}

}  // namespace dotterellug
