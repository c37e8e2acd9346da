#include "upstream/exchange/upstream_exchange.h"

#include <curl/curl.h>

#include <algorithm>
#include <optional>
#include <string_view>
#include <utility>

#include "core/text/ascii_case.h"
#include "upstream/exchange/response_head_reader.h"

namespace dotterellug {
namespace {

constexpr Duration kCancelPoll = std::chrono::milliseconds(25);
constexpr auto kConnectTimeoutMs = 1000L;

auto Name(const UpstreamTarget& target) -> std::string {
  return target.host + ":" + std::to_string(target.port);
}

// libcurl wants one initialisation before any thread uses it.
auto InitializeCurl() -> void {
  static const auto result = curl_global_init(CURL_GLOBAL_DEFAULT);
  static_cast<void>(result);
}

}  // namespace

auto UpstreamHead::Header(std::string_view name) const -> std::string {
  for (const auto& header : headers) {
    if (EqualsIgnoringCase(header.name, name)) return header.value;
  }
  return {};
}

class UpstreamExchange::Implementation {
 public:
  explicit Implementation(UpstreamTarget target) : target_(std::move(target)) {
    InitializeCurl();
    multi_ = curl_multi_init();
    easy_ = curl_easy_init();
    // One connection, so that an exchange never runs on another one.
    curl_multi_setopt(multi_, CURLMOPT_MAXCONNECTS, 1L);
  }
  Implementation(const Implementation&) = delete;
  auto operator=(const Implementation&) -> Implementation& = delete;
  ~Implementation() {
    Detach();
    curl_easy_cleanup(easy_);
    curl_multi_cleanup(multi_);
    curl_slist_free_all(header_list_);
  }

  auto Begin(const UpstreamCall& call, Duration timeout,
             const CancelCheck& cancelled) -> Result<UpstreamHead> {
    const bool reused = std::exchange(used_, true);
    Reset();
    Prepare(call);
    const auto deadline = MonotonicNow() + timeout;
    while (!head_.Complete()) {
      if (auto step = Step(deadline, cancelled); !step) {
        return tl::unexpected(step.error());
      }
      if (finished_) break;
    }
    delivery_ = Delivery::kAnswered;
    // Upstreams echo the id of the attempt; another one means that the
    // response was meant for somebody else. Without an id, a reused connection
    // may deliver an earlier response once more.
    const auto echoed = head_.Head().Header("X-Request-Id");
    const bool other = echoed.empty() ? reused : echoed != call.attempt.Value();
    if (!call.attempt.Empty() && other) {
      failed_ = true;
      delivery_ = Delivery::kUnknown;
      return Fail(ErrorKind::kProtocol,
                  "upstream " + Name(target_) + " answered request '" + echoed +
                      "' instead of " + call.attempt.Value(),
                  "the connection is closed; retry if the call is idempotent");
    }
    return head_.Head();
  }

  auto Read(Duration timeout, const CancelCheck& cancelled)
      -> Result<BodyProgress> {
    const auto deadline = MonotonicNow() + timeout;
    while (body_.empty() && !finished_) {
      if (auto step = Step(deadline, cancelled); !step) {
        return tl::unexpected(step.error());
      }
    }
    if (!body_.empty()) return BodyProgress(BodyPart{std::exchange(body_, {})});
    if (!EndIsKnown()) {
      failed_ = true;
      return Fail(ErrorKind::kOutcomeUnknown,
                  "upstream " + Name(target_) +
                      " sent a body without length or chunked coding",
                  "let the upstream send a Content-Length");
    }
    return BodyProgress(BodyFinished{});
  }

  auto State() const -> Delivery { return delivery_; }
  auto Reusable() const -> bool { return finished_ && !failed_; }
  auto Target() const -> const UpstreamTarget& { return target_; }

 private:
  auto Detach() -> void {
    if (attached_) curl_multi_remove_handle(multi_, easy_);
    attached_ = false;
  }

  auto Reset() -> void {
    Detach();
    curl_easy_reset(easy_);
    curl_slist_free_all(std::exchange(header_list_, nullptr));
    head_ = {};
    body_.clear();
    finished_ = failed_ = false;
    body_bytes_ = 0;
    fault_.reset();
    delivery_ = Delivery::kNotSent;
  }

  auto AddHeader(const std::string& name, const std::string& value) -> void {
    // An empty value needs a semicolon, a colon would remove the header.
    const auto line = value.empty() ? name + ";" : name + ": " + value;
    header_list_ = curl_slist_append(header_list_, line.c_str());
  }

  auto Prepare(const UpstreamCall& call) -> void {
    request_body_ = call.body;
    max_body_bytes_ = call.max_body_bytes;
    const auto url = "http://" + Name(target_) + call.url;
    curl_easy_setopt(easy_, CURLOPT_URL, url.c_str());
    curl_easy_setopt(easy_, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy_, CURLOPT_NOPROXY, "*");
    curl_easy_setopt(easy_, CURLOPT_PATH_AS_IS, 1L);
    curl_easy_setopt(easy_, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
    curl_easy_setopt(easy_, CURLOPT_CONNECTTIMEOUT_MS, kConnectTimeoutMs);
    curl_easy_setopt(easy_, CURLOPT_CUSTOMREQUEST, call.method.c_str());
    if (call.method == "HEAD") curl_easy_setopt(easy_, CURLOPT_NOBODY, 1L);
    if (!request_body_.empty() || call.method == "POST") {
      curl_easy_setopt(easy_, CURLOPT_POSTFIELDS, request_body_.data());
      curl_easy_setopt(easy_, CURLOPT_POSTFIELDSIZE_LARGE,
                       static_cast<curl_off_t>(request_body_.size()));
    }
    // On a reused connection that the peer closes, libcurl sends the request
    // again by itself.
    curl_easy_setopt(easy_, CURLOPT_FRESH_CONNECT, call.repeatable ? 0L : 1L);
    curl_easy_setopt(easy_, CURLOPT_FORBID_REUSE, call.repeatable ? 0L : 1L);
    if (!call.attempt.Empty()) {
      AddHeader("X-Request-Id", call.attempt.Value());
    }
    AddHeader("Expect", "");
    for (const auto& header : call.headers) {
      AddHeader(header.name, header.value);
    }
    curl_easy_setopt(easy_, CURLOPT_HTTPHEADER, header_list_);
    curl_easy_setopt(easy_, CURLOPT_HEADERFUNCTION, &Implementation::OnHeader);
    curl_easy_setopt(easy_, CURLOPT_HEADERDATA, this);
    curl_easy_setopt(easy_, CURLOPT_WRITEFUNCTION, &Implementation::OnBody);
    curl_easy_setopt(easy_, CURLOPT_WRITEDATA, this);
    curl_multi_add_handle(multi_, easy_);
    attached_ = true;
  }

  // Transfers what is possible and waits for at most one event.
  auto Step(Timestamp deadline, const CancelCheck& cancelled) -> Result<void> {
    const bool had_head = head_.Complete();
    int running = 0;
    curl_multi_perform(multi_, &running);
    if (running == 0) return Finish();
    if (!body_.empty() || had_head != head_.Complete()) return {};
    const auto left = deadline - MonotonicNow();
    if (left <= Duration::zero() || (cancelled && cancelled())) {
      return TimedOut();
    }
    const auto wait = std::chrono::ceil<std::chrono::milliseconds>(
        std::min<Duration>(left, kCancelPoll));
    curl_multi_poll(multi_, nullptr, 0, static_cast<int>(wait.count()),
                    nullptr);
    return {};
  }

  auto Finish() -> Result<void> {
    CURLcode code = CURLE_RECV_ERROR;
    int left = 0;
    while (auto* message = curl_multi_info_read(multi_, &left)) {
      if (message->msg == CURLMSG_DONE) code = message->data.result;
    }
    Detach();
    // libcurl takes a connection closed inside the head for a complete
    // response without body.
    if (code == CURLE_OK && !head_.Complete()) code = CURLE_PARTIAL_FILE;
    if (code == CURLE_OK) {
      finished_ = true;
      return {};
    }
    failed_ = true;
    auto sent_bytes = 0L;
    curl_easy_getinfo(easy_, CURLINFO_REQUEST_SIZE, &sent_bytes);
    const std::string reason = curl_easy_strerror(code);
    if (delivery_ == Delivery::kNotSent && sent_bytes == 0) {
      return Fail(ErrorKind::kUnavailable,
                  "upstream " + Name(target_) + " cannot be reached: " + reason,
                  "retry on another upstream");
    }
    delivery_ = Delivery::kUnknown;
    if (fault_) return tl::unexpected(*fault_);
    return Fail(ErrorKind::kOutcomeUnknown,
                "connection to upstream " + Name(target_) + " broke: " + reason,
                "retry only if the call is idempotent");
  }

  auto TimedOut() -> tl::unexpected<Error> {
    failed_ = true;
    if (delivery_ == Delivery::kNotSent) delivery_ = Delivery::kUnknown;
    return Fail(ErrorKind::kDeadlineExceeded,
                "upstream " + Name(target_) + " sent nothing in time",
                "the connection is closed; check the upstream's health");
  }

  // A body that only the end of the connection ends looks the same when it is
  // cut off.
  auto EndIsKnown() const -> bool {
    const auto& head = head_.Head();
    const bool no_body = head.status == 204 || head.status == 304;
    return no_body || !head.Header("Content-Length").empty() ||
           !head.Header("Transfer-Encoding").empty();
  }

  // Ends the transfer from one of libcurl's callbacks.
  auto Stop(ErrorKind kind, const std::string& what) -> std::size_t {
    fault_ = Error{kind, "upstream " + Name(target_) + " sent " + what,
                   "the connection is closed; check the upstream"};
    return 0;
  }

  static auto OnHeader(char* data, std::size_t size, std::size_t count,
                       void* self) -> std::size_t {
    auto* exchange = static_cast<Implementation*>(self);
    const auto fault = exchange->head_.Add({data, size * count});
    if (!fault) return size * count;
    const auto kind = *fault == ResponseHeadFault::kTooLong
                          ? ErrorKind::kTooLarge
                          : ErrorKind::kProtocol;
    return exchange->Stop(kind, ResponseHeadFaultText(*fault));
  }

  static auto OnBody(char* data, std::size_t size, std::size_t count,
                     void* self) -> std::size_t {
    auto* exchange = static_cast<Implementation*>(self);
    exchange->body_bytes_ += size * count;
    if (exchange->body_bytes_ > exchange->max_body_bytes_) {
      return exchange->Stop(ErrorKind::kTooLarge, "a body that is too long");
    }
    exchange->body_.append(data, size * count);
    return size * count;
  }

  UpstreamTarget target_;
  CURLM* multi_ = nullptr;
  CURL* easy_ = nullptr;
  curl_slist* header_list_ = nullptr;
  bool attached_ = false;
  // Whether there was an exchange before.
  bool used_ = false;
  bool finished_ = false;
  bool failed_ = false;
  Delivery delivery_ = Delivery::kNotSent;
  ResponseHeadReader head_;
  std::size_t body_bytes_ = 0;
  std::size_t max_body_bytes_ = 0;
  // Why this side ended the transfer.
  std::optional<Error> fault_;
  std::string request_body_;
  std::string body_;
};

UpstreamExchange::UpstreamExchange(UpstreamTarget target)
    : implementation_(std::make_unique<Implementation>(std::move(target))) {}

UpstreamExchange::~UpstreamExchange() = default;

auto UpstreamExchange::Begin(const UpstreamCall& call, Duration timeout,
                             const CancelCheck& cancelled)
    -> Result<UpstreamHead> {
  return implementation_->Begin(call, timeout, cancelled);
}

auto UpstreamExchange::Read(Duration timeout, const CancelCheck& cancelled)
    -> Result<BodyProgress> {
  return implementation_->Read(timeout, cancelled);
}

auto UpstreamExchange::State() const -> Delivery {
  return implementation_->State();
}

auto UpstreamExchange::Reusable() const -> bool {
  return implementation_->Reusable();
}

auto UpstreamExchange::Target() const -> const UpstreamTarget& {
  return implementation_->Target();
}

}  // namespace dotterellug
