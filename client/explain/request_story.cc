#include "client/explain/request_story.h"

#include <algorithm>
#include <map>
#include <set>

#include "client/explain/process_clocks.h"

namespace dotterellug {
namespace {

// How far before a request's first line its own daemon's state is shown.
constexpr std::int64_t kStateBeforeMs = 3000;
// The same for loads and for the upstreams that it was sent to: a load takes
// some seconds.
constexpr std::int64_t kOrdersBeforeMs = 10'000;
// The same for a restore of the store: what it lost is written again, or given
// up, within this time.
constexpr std::int64_t kRestoreBeforeMs = 6000;
// How far after its last line: what explains a failure is often noticed later.
constexpr std::int64_t kAfterMs = 2000;
// Requests at the same upstream that fail within this time of one another have
// the same cause.
constexpr std::int64_t kTogetherMs = 1500;
// The time over which an account's tokens are compared with its limit.
constexpr std::int64_t kLimitWindowMs = 8000;
// Below this part of its limit an account was refused for want of grants and
// not for its own use.
constexpr double kUsedPart = 0.7;
// A pause between events beyond which a stream counts as late; the shortest of
// the known deployments.
constexpr std::int64_t kLongPauseMs = 300;

auto StateEvents() -> const std::set<std::string>& {
  static const std::set<std::string> events{
      "started",       "stopping",        "stopped",         "reloaded",
      "store_lost",    "store_regained",  "hub_chosen",      "loop_stalled",
      "clock_changed", "config_in_force", "upstream_source", "store_epoch"};
  return events;
}

// Causes for which the upstream is to blame, and not the caller or a limit.
auto UpstreamCauses() -> const std::set<std::string>& {
  static const std::set<std::string> causes{
      "upstream_broke_off", "no_connection",      "silent",
      "deadline",           "deadline_in_stream", "upstream_error"};
  return causes;
}

auto Count(std::int64_t count, const std::string& what) -> std::string {
  return std::to_string(count) + " " + what + (count == 1 ? "" : "s");
}

auto Details(const LogLine& line) -> std::string {
  static const std::set<std::string> shown{"time", "instance", "up_ms", "event",
                                           "request"};
  std::string text;
  for (const auto& [name, value] : line.fields.items()) {
    if (shown.count(name) > 0) continue;
    if (!text.empty()) text += " ";
    text += name + "=";
    text += value.is_string() ? value.get<std::string>() : value.dump();
  }
  return text;
}

class StoryTeller {
 public:
  StoryTeller(const LogCollection& logs, const std::string& request,
              std::vector<const LogLine*> own)
      : logs_(logs),
        request_(request),
        own_(std::move(own)),
        clocks_(logs.lines, *own_.front()) {
    for (const auto* line : own_) {
      if (line->event == "request_ended") ended_ = line;
      for (const auto* field : {"upstream", "from", "to"}) {
        const auto upstream = line->Text(field);
        if (!upstream.empty()) upstreams_.insert(upstream);
      }
      if (!line->Text("upstream").empty()) {
        last_upstream_ = line->Text("upstream");
      }
    }
    begin_ms_ = clocks_.At(*own_.front());
    end_ms_ = clocks_.At(*own_.back());
    if (ended_ != nullptr) {
      begin_ms_ = std::min(begin_ms_, end_ms_ - ended_->Number("took_ms"));
      model_ = ended_->Text("model");
    }
  }

  auto Tell() const -> RequestStory {
    RequestStory story;
    for (const auto& line : logs_.lines) {
      if (!Belongs(line)) continue;
      story.entries.push_back({clocks_.At(line) - begin_ms_, line.instance,
                               line.event, Details(line)});
    }
    std::stable_sort(
        story.entries.begin(), story.entries.end(),
        [](const auto& a, const auto& b) { return a.at_ms < b.at_ms; });
    story.cause = ended_ == nullptr ? Unfinished() : Cause();
    return story;
  }

 private:
  auto OwnProcess(const LogLine& line) const -> bool {
    const auto* own = own_.front();
    return line.instance == own->instance && line.process == own->process;
  }

  // Whether the line is within the request's time, extended on both sides.
  auto Near(const LogLine& line, std::int64_t before, std::int64_t after) const
      -> bool {
    const auto at = clocks_.At(line);
    return at >= begin_ms_ - before && at <= end_ms_ + after;
  }

  auto Belongs(const LogLine& line) const -> bool {
    if (line.Text("request") == request_) return true;
    if (line.event == "order" || line.event == "order_done") {
      return !model_.empty() && line.Text("model") == model_ &&
             Near(line, kOrdersBeforeMs, kAfterMs);
    }
    if (line.event == "order_lease_held" || line.event == "order_lease_lost") {
      return Near(line, kOrdersBeforeMs, kAfterMs);
    }
    if (!OwnProcess(line)) return false;
    if (line.event == "upstream" || line.event == "upstream_suspected") {
      return upstreams_.count(line.Text("upstream")) > 0 &&
             Near(line, kOrdersBeforeMs, kAfterMs);
    }
    if (line.event == "account_limit") return &line == Limit();
    return StateEvents().count(line.event) > 0 &&
           Near(line, kStateBeforeMs, kAfterMs);
  }

  // The account's limit in force at the end of the request, as its own daemon
  // knew it; null if none was noted.
  auto Limit() const -> const LogLine* {
    const LogLine* limit = nullptr;
    if (ended_ == nullptr) return limit;
    for (const auto& line : logs_.lines) {
      if (OwnProcess(line) && line.event == "account_limit" &&
          line.Text("account") == ended_->Text("account") &&
          line.up_ms <= ended_->up_ms) {
        limit = &line;
      }
    }
    return limit;
  }

  // The last line of `event` at the own daemon within the request's time and
  // `before`.
  auto LastOwn(const std::string& event, std::int64_t before) const
      -> const LogLine* {
    const LogLine* last = nullptr;
    for (const auto& line : logs_.lines) {
      if (OwnProcess(line) && line.event == event && Near(line, before, 0)) {
        last = &line;
      }
    }
    return last;
  }

  auto Before(const LogLine& line) const -> std::string {
    const auto ms = end_ms_ - clocks_.At(line);
    if (ms >= 0) return std::to_string(ms) + " ms before";
    return std::to_string(-ms) + " ms after";
  }

  // What the logs say about the upstream around the end of the request.
  auto UpstreamEvidence(const std::string& upstream) const -> std::string {
    std::int64_t others = 0;
    std::int64_t late = 0;
    std::string entry;
    for (const auto& line : logs_.lines) {
      if (line.Text("upstream") != upstream) continue;
      if (std::abs(clocks_.At(line) - end_ms_) > kTogetherMs) continue;
      if (line.event == "request_ended" && line.Text("request") != request_ &&
          UpstreamCauses().count(line.Text("cause")) > 0) {
        ++others;
      }
      if (line.event == "request_ended" && line.Text("request") != request_ &&
          Late(line)) {
        ++late;
      }
      // That it leaves or is gone says more than that it appeared.
      if (line.event == "upstream" &&
          (entry.empty() || line.Text("state") != "live")) {
        entry =
            "its entry was noted as " + line.Text("state") + " " + Before(line);
      }
    }
    auto text = "; " + Count(others, "other request") +
                " failed at it within " + std::to_string(kTogetherMs) + " ms";
    if (late > 0) {
      text += "; " + Count(late, "other caller") +
              " left it or were answered late, as from an engine with too much "
              "work";
    }
    text += LoadEvidence(upstream);
    if (!entry.empty()) text += "; " + entry;
    return text + OwnEvidence();
  }

  // A request whose caller left, or that was answered after its goal or with a
  // long pause.
  static auto Late(const LogLine& line) -> bool {
    const auto goal = line.Number("goal_ms", -1);
    return line.Text("cause") == "caller_left" ||
           (goal > 0 && line.Number("first_ms") > goal) ||
           line.Number("longest_pause_ms") > kLongPauseMs;
  }

  // How full the upstream was when the request was sent there.
  auto LoadEvidence(const std::string& upstream) const -> std::string {
    for (const auto* line : own_) {
      if (line->event != "request_sent" || line->Text("upstream") != upstream) {
        continue;
      }
      const auto requests =
          line->Number("own_requests") + line->Number("other_requests");
      return "; it had " + Count(requests, "request") + " for " +
             std::to_string(line->Number("slots")) + " slots when it was sent";
    }
    return "";
  }

  // What disturbed the own daemon during the request.
  auto OwnEvidence() const -> std::string {
    std::string text;
    if (const auto* stalled = LastOwn("loop_stalled", 0)) {
      text += "; the daemon itself stood still for " +
              std::to_string(stalled->Number("stalled_ms")) + " ms";
    }
    const auto* epoch = LastOwn("store_epoch", kRestoreBeforeMs);
    if (epoch != nullptr && epoch->Number("restored") != 0) {
      text += "; the store was restored from a backup (epoch " +
              std::to_string(epoch->Number("after")) + ", noticed " +
              Before(*epoch) +
              "), so what was written shortly before may have been missing";
    }
    if (LastOwn("stopping", 0) != nullptr) {
      text += "; the daemon was being stopped";
    }
    return text;
  }

  auto RepeatEvidence() const -> std::string {
    std::string text;
    for (const auto* line : own_) {
      if (line->event != "repeat") continue;
      text += "; before that, upstream " + line->Text("from") +
              " was given up: " + line->Text("cause");
      if (line->Text("to").empty()) text += ", and no other could take it";
    }
    return text;
  }

  auto OverLimit() const -> std::string {
    const auto account = ended_->Text("account");
    std::int64_t tokens = 0;
    for (const auto& line : logs_.lines) {
      const auto age = end_ms_ - clocks_.At(line);
      if (line.event == "request_ended" && line.Text("account") == account &&
          age >= 0 && age <= kLimitWindowMs) {
        tokens += line.Number("tokens");
      }
    }
    const auto* limit = Limit();
    auto text = "refused: account " + account + " had no tokens left";
    if (limit == nullptr) return text + "; its limit is not in these logs";
    const auto rate = limit->Number("per_second");
    text += "; its limit is " + std::to_string(rate) +
            " a second and a burst of " +
            std::to_string(limit->Number("burst")) + " since configuration " +
            std::to_string(limit->Number("config")) +
            ", and its requests that ended in the " +
            std::to_string(kLimitWindowMs / 1000) + " s before took " +
            std::to_string(tokens);
    const auto allowed = static_cast<double>(rate * kLimitWindowMs) / 1000;
    if (static_cast<double>(tokens) >= allowed * kUsedPart) return text;
    text += ", which is less";
    const auto* hub = LastOwn("hub_chosen", kStateBeforeMs);
    if (hub != nullptr && !hub->Text("before").empty()) {
      text += "; the hub that grants tokens had changed from " +
              hub->Text("before") + " to " + hub->Text("hub") + " " +
              Before(*hub);
    } else if (const auto* started = LastOwn("started", kStateBeforeMs)) {
      text += "; the daemon had started " + Before(*started);
    } else {
      text += "; requests that are still running are not in the sum";
    }
    return text + OwnEvidence();
  }

  auto NotLoaded() const -> std::string {
    const auto adapter = ended_->Text("adapter");
    const auto name = adapter.empty() ? model_ : model_ + "/" + adapter;
    auto text = "no usable upstream held " + name + " within " +
                std::to_string(ended_->Number("took_ms")) + " ms";
    const LogLine* order = nullptr;
    const LogLine* done = nullptr;
    const LogLine* lease = nullptr;
    for (const auto& line : logs_.lines) {
      if (!Near(line, kOrdersBeforeMs, kAfterMs)) continue;
      if (line.event == "order_lease_lost" ||
          line.event == "order_lease_held") {
        if (lease == nullptr || clocks_.At(line) >= clocks_.At(*lease)) {
          lease = &line;
        }
      }
      if (line.Text("model") != model_ || line.Text("op") != "load") continue;
      const auto ordered_adapter = line.Text("adapter");
      if (!ordered_adapter.empty() && ordered_adapter != adapter) continue;
      if (line.event == "order") order = &line;
      if (line.event == "order_done") done = &line;
    }
    if (order == nullptr) {
      text += "; no load of it was ordered";
    } else {
      text += "; a load was ordered at " + order->Text("upstream") + " " +
              Before(*order) + " (" + order->Text("outcome") + ")";
    }
    if (done != nullptr) {
      text +=
          " and ended " + Before(*done) + " (" + done->Text("outcome") + ")";
    }
    if (lease != nullptr && lease->event == "order_lease_lost") {
      text += "; " + lease->instance + " had lost the right to order " +
              Before(*lease) + " and nobody had taken it over";
    }
    return text;
  }

  auto CallerLeft() const -> std::string {
    auto text = "the caller closed its connection after " +
                std::to_string(ended_->Number("took_ms")) + " ms";
    const LogLine* last = nullptr;
    for (const auto* line : own_) {
      if (line->event == "request_sent" || line->event == "request_waits") {
        last = line;
      }
    }
    if (last == nullptr) return text + OwnEvidence();
    const auto ms = std::to_string(end_ms_ - clocks_.At(*last));
    if (last->event == "request_waits") {
      return text + ", " + ms +
             " ms of which it waited: " + last->Text("reason") + OwnEvidence();
    }
    text += ", " + ms + " ms of which upstream " + last->Text("upstream") +
            " had it";
    if (ended_->Number("first_ms", -1) < 0) text += " without an answer";
    return text + UpstreamEvidence(last->Text("upstream"));
  }

  auto FromConfiguration(const std::string& what) const -> std::string {
    auto text = "refused by configuration " +
                std::to_string(ended_->Number("config")) + ": " + what;
    if (const auto* config = LastOwn("config_in_force", kOrdersBeforeMs)) {
      text += "; this configuration had come into force " + Before(*config);
    }
    return text;
  }

  // A request that was answered: whether and why it was late.
  auto Answered() const -> std::string {
    const auto first = ended_->Number("first_ms", -1);
    const auto goal = ended_->Number("goal_ms", -1);
    const auto pause = ended_->Number("longest_pause_ms");
    const auto waited = ended_->Number("waited_ms");
    if (goal > 0 && first > goal) {
      auto text = "answered late: the first part came after " +
                  std::to_string(first) + " ms, the goal is " +
                  std::to_string(goal) + " ms";
      if (waited * 2 > first) {
        text += "; " + std::to_string(waited) + " ms of it it waited";
        for (const auto* line : own_) {
          if (line->event == "request_waits") {
            text += ": " + line->Text("reason");
          }
        }
        return text + OwnEvidence();
      }
      return text + "; upstream " + last_upstream_ + " had it" +
             RepeatEvidence() + UpstreamEvidence(last_upstream_);
    }
    if (pause > kLongPauseMs) {
      return "answered with a pause of " + std::to_string(pause) +
             " ms between two events of upstream " + last_upstream_ +
             RepeatEvidence() + UpstreamEvidence(last_upstream_);
    }
    return "answered in time";
  }

  auto Cause() const -> std::string {
    const auto cause = ended_->Text("cause");
    const auto status = std::to_string(ended_->Number("status"));
    const auto took = std::to_string(ended_->Number("took_ms")) + " ms";
    const auto at = "upstream " + last_upstream_;
    if (cause.empty()) return Answered();
    if (cause == "over_limit") return OverLimit();
    if (cause == "model_not_loaded") return NotLoaded();
    if (cause == "caller_left" || cause == "caller_left_waiting") {
      return CallerLeft() + RepeatEvidence();
    }
    if (cause == "unknown_key") {
      return FromConfiguration("no account has its key");
    }
    if (cause == "no_key") return FromConfiguration("the route needs a key");
    if (cause == "no_route") {
      return FromConfiguration("no route matches its host and path");
    }
    if (cause == "not_configured") {
      return "refused: the daemon knew no configuration yet" + OwnEvidence();
    }
    if (cause == "process_stopped") return ProcessStopped(took);
    if (cause == "no_time_before_stop") {
      return "refused after " + took +
             ": its daemon was being stopped and had too little time left for "
             "it";
    }
    if (cause == "quarantined_prompt_part") return QuarantinedPart();
    if (cause == "malformed") {
      return "refused: the request cannot be understood";
    }
    if (cause == "upstreams_full") {
      return "refused after " + took +
             ": all upstreams that could take it were full, cold or had failed "
             "it before" +
             RepeatEvidence() + OwnEvidence();
    }
    if (cause == "no_capacity_in_time") {
      return "refused after " + took +
             ": so many requests of its pool waited for capacity that it would "
             "have been refused or far too late after its wait" +
             RepeatEvidence() + OwnEvidence();
    }
    if (cause == "upstream_rate_used_up") {
      return "refused after " + took +
             ": the upstreams that could take it state a rate of requests, and "
             "no more were allowed in time" +
             RepeatEvidence() + OwnEvidence();
    }
    if (cause == "upstreams_paused") {
      return "refused after " + took +
             ": the upstreams that could take it had rejected requests of this "
             "daemon and asked to be left alone" +
             RepeatEvidence() + OwnEvidence();
    }
    if (cause == "no_upstream") {
      return "refused: its pool has no upstream that may get work" +
             OwnEvidence();
    }
    if (cause == "upstream_answer") {
      return at + " answered " + status + ", which was passed on" +
             RepeatEvidence() + UpstreamEvidence(last_upstream_);
    }
    if (cause == "upstream_broke_off") {
      return at + " broke off its answer after " + took + RepeatEvidence() +
             UpstreamEvidence(last_upstream_);
    }
    if (cause == "no_connection") {
      return "no connection to " + at + RepeatEvidence() +
             UpstreamEvidence(last_upstream_);
    }
    if (cause == "deadline" || cause == "deadline_in_stream" ||
        cause == "silent" || cause == "no_time_left") {
      auto text = "its time was over after " + took;
      if (!last_upstream_.empty()) text += "; " + at + " had it last";
      return text + RepeatEvidence() + UpstreamEvidence(last_upstream_);
    }
    return "ended after " + took + " with cause " + cause + RepeatEvidence() +
           UpstreamEvidence(last_upstream_);
  }

  auto QuarantinedPart() const -> std::string {
    auto part = ended_->Text("prompt_part");
    const LogLine* decision = nullptr;
    for (const auto& line : logs_.lines) {
      if (line.event != "prompt_part_quarantined") continue;
      if (!OwnProcess(line) || clocks_.At(line) > end_ms_) continue;
      if (!part.empty() && line.Text("prompt_part") != part) continue;
      decision = &line;
    }
    if (decision != nullptr && part.empty()) {
      part = decision->Text("prompt_part");
    }
    auto text = "rejected: its prompt has the part " + part +
                ", under which upstreams ended when they began to answer";
    if (decision == nullptr) {
      return text + "; the decision is not in these logs";
    }
    text += " (" + decision->Text("crashed_upstreams") + "); the part was " +
            "quarantined " + Before(*decision);
    std::int64_t attempts = 0;
    for (const auto& line : logs_.lines) {
      if (line.event != "upstream_broke_off") continue;
      const auto parts = "," + line.Text("prompt_parts") + ",";
      if (parts.find("," + part + ",") != std::string::npos) ++attempts;
    }
    return text + "; " + Count(attempts, "attempt") +
           " with it broke off in these logs";
  }

  auto ProcessStopped(const std::string& took) const -> std::string {
    auto text = "its daemon was stopped " + took + " after it arrived";
    if (last_upstream_.empty()) {
      text += ", while it waited in the daemon";
      const auto* waits = LastOwn("request_waits", 0);
      if (waits != nullptr) text += " (" + waits->Text("reason") + ")";
    } else if (ended_->Number("status") == 0) {
      text += ", within the answer of upstream " + last_upstream_;
    } else {
      text += ", before upstream " + last_upstream_ + " answered";
    }
    return text + RepeatEvidence() + UpstreamEvidence(last_upstream_);
  }

  // A request without an end in the logs.
  auto Unfinished() const -> std::string {
    const auto& own = *own_.front();
    std::int64_t last_up_ms = 0;
    bool restarted = false;
    bool stopping = false;
    for (const auto& line : logs_.lines) {
      if (line.instance != own.instance) continue;
      if (line.process > own.process) restarted = true;
      if (line.process != own.process) continue;
      last_up_ms = std::max(last_up_ms, line.up_ms);
      if (line.event == "stopping") stopping = true;
    }
    auto text = std::string("its end is not in the logs");
    const auto silent = std::to_string(last_up_ms - own_.back()->up_ms);
    if (restarted || stopping) {
      text += ": " + own.instance +
              (stopping ? " was stopped and its grace period ended"
                        : " ended without a stop, as by a kill,") +
              " while the request was in progress, at most " + silent +
              " ms after its last line";
    } else {
      text += ": it was still in progress when they end, or " + own.instance +
              " ended without a stop " + silent + " ms after its last line";
    }
    if (!last_upstream_.empty()) {
      text += "; upstream " + last_upstream_ + " had it";
    }
    return text;
  }

  const LogCollection& logs_;
  const std::string& request_;
  std::vector<const LogLine*> own_;
  ProcessClocks clocks_;
  const LogLine* ended_ = nullptr;
  std::set<std::string> upstreams_;
  std::string last_upstream_;
  std::string model_;
  std::int64_t begin_ms_ = 0;
  std::int64_t end_ms_ = 0;
};

}  // namespace

auto TellRequestStory(const LogCollection& logs, const std::string& request)
    -> Result<RequestStory> {
  std::vector<const LogLine*> own;
  std::int64_t dropped = 0;
  for (const auto& line : logs.lines) {
    if (line.event == "log_lines_dropped") ++dropped;
    if (line.Text("request") == request) own.push_back(&line);
  }
  if (own.empty()) {
    auto remedy = std::string(
        "give the logs of all instances; a request that reached no daemon has "
        "no line");
    if (dropped > 0) {
      remedy += ", and lines were dropped (log_lines_dropped)";
    }
    return Fail(ErrorKind::kNotFound,
                "no line names request " + request + " in " +
                    Count(static_cast<std::int64_t>(logs.lines.size()), "line"),
                remedy);
  }
  return StoryTeller(logs, request, std::move(own)).Tell();
}

}  // namespace dotterellug
