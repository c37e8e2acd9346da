#include "quarantine/table/prompt_quarantine.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace dotterellug::quarantine {
namespace {

auto IsEarlier(const UpstreamCrash& a, const UpstreamCrash& b) -> bool {
  return a.at < b.at;
}

// Removes the crash that follows another one most closely, so that those that
// are kept go on counting as separate ones. Returns its process.
auto RemoveDensestCrash(std::vector<UpstreamCrash>& crashes)
    -> UpstreamProcess {
  auto densest = std::next(crashes.begin());
  for (auto crash = densest; crash != crashes.end(); ++crash) {
    const auto gap = crash->at - std::prev(crash)->at;
    if (gap < densest->at - std::prev(densest)->at) densest = crash;
  }
  auto process = densest->process;
  crashes.erase(densest);
  return process;
}

auto BegunCount(const PartEvidence& evidence) -> std::int64_t {
  return std::count_if(evidence.crashes.begin(), evidence.crashes.end(),
                       [](const auto& crash) { return crash.answer_begun; });
}

}  // namespace

auto PromptQuarantine::Counts(const PartEvidence& evidence,
                              const UpstreamCrash& crash) const -> bool {
  if (crash.refuted) return false;
  return !evidence.worked_at ||
         *evidence.worked_at < crash.at - options_.working_time;
}

auto PromptQuarantine::HasCountingCrash(const PartEvidence& evidence) const
    -> bool {
  return std::any_of(
      evidence.crashes.begin(), evidence.crashes.end(),
      [&](const auto& crash) { return Counts(evidence, crash); });
}

auto PromptQuarantine::Emplace(const PromptPartId& part, std::int64_t depth)
    -> Entry* {
  const auto found = entries_.find(part);
  if (found != entries_.end()) {
    auto& known_depth = found->second.evidence.depth;
    known_depth = std::max(known_depth, depth);
    return &found->second;
  }
  if (entries_.size() >= options_.max_parts) {
    // A part that works makes room first, then the one with the least evidence.
    const auto least = std::min_element(
        entries_.begin(), entries_.end(), [&](const auto& a, const auto& b) {
          const auto key = [&](const Entry& entry) {
            return std::make_tuple(
                entry.quarantined, HasCountingCrash(entry.evidence),
                entry.evidence.crashes.size(), entry.changed_at);
          };
          return key(a.second) < key(b.second);
        });
    const auto& entry = least->second;
    const bool suspected =
        HasCountingCrash(entry.evidence) && entry.evidence.crashes.size() > 1;
    if (entry.quarantined || suspected) return nullptr;
    entries_.erase(least);
  }
  auto& entry = entries_[part];
  entry.evidence.part = part;
  entry.evidence.depth = depth;
  return &entry;
}

auto PromptQuarantine::AddCrash(Entry& entry, const UpstreamCrash& crash,
                                Timestamp now) -> void {
  auto& crashes = entry.evidence.crashes;
  const auto known = std::find_if(
      crashes.begin(), crashes.end(),
      [&](const auto& other) { return other.process == crash.process; });
  if (known != crashes.end()) {
    // Ages grow on the way, so the same crash arrives with slightly different
    // times; the earliest is the best.
    const bool earlier = crash.at < known->at;
    known->at = std::min(known->at, crash.at);
    const bool news = (crash.refuted && !known->refuted) ||
                      (crash.answer_begun && !known->answer_begun);
    known->refuted = known->refuted || crash.refuted;
    known->answer_begun = known->answer_begun || crash.answer_begun;
    if (news) Touch(entry, now);
    if (earlier) std::stable_sort(crashes.begin(), crashes.end(), IsEarlier);
    return;
  }
  const auto place =
      std::upper_bound(crashes.begin(), crashes.end(), crash, IsEarlier);
  crashes.insert(place, crash);
  if (crashes.size() > options_.max_crashes &&
      RemoveDensestCrash(crashes) == crash.process) {
    return;
  }
  Touch(entry, now);
}

auto PromptQuarantine::SetWorked(Entry& entry, Timestamp worked_at,
                                 Timestamp now) -> void {
  auto& known = entry.evidence.worked_at;
  // A part without crashes against it needs no news that it works.
  if (!HasCountingCrash(entry.evidence)) return;
  if (known && *known >= worked_at) return;
  known = worked_at;
  Touch(entry, now);
}

auto PromptQuarantine::RecordCrash(const std::vector<PromptPartId>& parts,
                                   const UpstreamProcess& process,
                                   bool answer_begun, Timestamp now) -> void {
  std::int64_t depth = 0;
  for (const auto& part : parts) {
    const auto worked_at = working_.LastWorked(part);
    const bool works = worked_at && *worked_at >= now - options_.working_time;
    if (!works) {
      if (auto* entry = Emplace(part, depth)) {
        AddCrash(*entry, {process, now, answer_begun}, now);
        if (worked_at) SetWorked(*entry, *worked_at, now);
      }
    }
    ++depth;
  }
}

auto PromptQuarantine::RecordWorking(const std::vector<PromptPartId>& parts,
                                     Timestamp now) -> void {
  for (const auto& part : parts) {
    working_.Record(part, now);
    const auto found = entries_.find(part);
    if (found == entries_.end()) continue;
    const auto& entry = found->second;
    const bool trial = entry.quarantined && entry.evidence.trials > 0;
    if (trial) DismissCrashes(entry.evidence, now);
    SetWorked(found->second, now, now);
  }
}

auto PromptQuarantine::DismissCrashes(const PartEvidence& evidence,
                                      Timestamp now) -> void {
  Processes processes;
  for (const auto& crash : evidence.crashes) processes.insert(crash.process);
  for (auto& [part, entry] : entries_) {
    for (auto& crash : entry.evidence.crashes) {
      if (crash.refuted || processes.count(crash.process) == 0) continue;
      crash.refuted = true;
      Touch(entry, now);
    }
  }
}

auto PromptQuarantine::Release(const PromptPartId& part, Timestamp now)
    -> void {
  const auto found = entries_.find(part);
  if (found != entries_.end()) DismissCrashes(found->second.evidence, now);
  RecordWorking({part}, now);
}

auto PromptQuarantine::FindQuarantined(
    const std::vector<PromptPartId>& parts) const -> const PartEvidence* {
  if (quarantined_count_ == 0) return nullptr;
  for (const auto& part : parts) {
    const auto found = entries_.find(part);
    if (found != entries_.end() && found->second.quarantined) {
      return &found->second.evidence;
    }
  }
  return nullptr;
}

auto PromptQuarantine::RecordRejection(const PromptPartId& part, Timestamp now)
    -> void {
  const auto found = entries_.find(part);
  if (found != entries_.end()) found->second.evidence.rejected_at = now;
}

auto PromptQuarantine::TrialDueAt(const PromptPartId& part) const
    -> std::optional<Timestamp> {
  const auto found = entries_.find(part);
  if (found == entries_.end() || !found->second.quarantined) {
    return std::nullopt;
  }
  const auto& evidence = found->second.evidence;
  const auto trial = static_cast<std::size_t>(evidence.trials);
  if (trial >= options_.trial_delays.size()) return std::nullopt;
  return evidence.crashes.back().at + options_.trial_delays[trial];
}

auto PromptQuarantine::TrialDue(const PromptPartId& part, Timestamp now) const
    -> bool {
  const auto due_at = TrialDueAt(part);
  return due_at && now >= *due_at;
}

auto PromptQuarantine::CountTrial(const PromptPartId& part, Timestamp now)
    -> void {
  const auto found = entries_.find(part);
  if (found == entries_.end()) return;
  ++found->second.evidence.trials;
  Touch(found->second, now);
}

auto PromptQuarantine::TimeUntilReview(const PromptPartId& part,
                                       Timestamp now) const -> Duration {
  const auto due_at = TrialDueAt(part);
  if (!due_at) return options_.idle_ttl;
  return std::max<Duration>(*due_at - now, Duration::zero());
}

auto PromptQuarantine::SuspectedElsewhere(
    const std::vector<PromptPartId>& parts,
    const UpstreamProcess& process) const -> bool {
  return std::any_of(parts.begin(), parts.end(), [&](const auto& part) {
    const auto found = entries_.find(part);
    if (found == entries_.end()) return false;
    const auto& evidence = found->second.evidence;
    return std::any_of(evidence.crashes.begin(), evidence.crashes.end(),
                       [&](const auto& crash) {
                         return !(crash.process == process) &&
                                Counts(evidence, crash);
                       });
  });
}

auto PromptQuarantine::Share(Timestamp now) const
    -> std::vector<SharedEvidence> {
  std::vector<const Entry*> chosen;
  for (const auto& [part, entry] : entries_) {
    const bool recent = now - entry.changed_at <= options_.share_time;
    if (entry.quarantined || recent) chosen.push_back(&entry);
  }
  std::sort(chosen.begin(), chosen.end(), [](const auto* a, const auto* b) {
    const auto key = [](const Entry& entry) {
      return std::make_tuple(
          !entry.quarantined, -BegunCount(entry.evidence),
          -static_cast<std::int64_t>(entry.evidence.crashes.size()),
          entry.evidence.part);
    };
    return key(*a) < key(*b);
  });
  if (chosen.size() > options_.max_shared_parts) {
    chosen.resize(options_.max_shared_parts);
  }
  std::vector<SharedEvidence> shared;
  shared.reserve(chosen.size());
  const auto age = [&](std::optional<Timestamp> at) -> std::optional<Duration> {
    if (!at) return std::nullopt;
    return now - *at;
  };
  for (const auto* entry : chosen) {
    const auto& evidence = entry->evidence;
    SharedEvidence message{evidence.part,
                           evidence.depth,
                           {},
                           age(evidence.worked_at),
                           age(evidence.rejected_at),
                           evidence.trials};
    for (const auto& crash : evidence.crashes) {
      message.crashes.push_back(
          {crash.process, now - crash.at, crash.answer_begun, crash.refuted});
    }
    shared.push_back(std::move(message));
  }
  return shared;
}

auto PromptQuarantine::IsExpired(const SharedEvidence& evidence) const -> bool {
  if (evidence.crashes.empty()) return true;
  const auto crash_age = evidence.crashes.back().age;
  const auto rejected_age = evidence.rejected_age.value_or(crash_age);
  return std::min(crash_age, rejected_age) > options_.idle_ttl;
}

auto PromptQuarantine::Merge(const std::vector<SharedEvidence>& evidence,
                             Timestamp now) -> void {
  for (const auto& message : evidence) {
    if (IsExpired(message)) continue;
    auto* entry = Emplace(message.part, message.depth);
    if (entry == nullptr) continue;
    for (const auto& crash : message.crashes) {
      AddCrash(
          *entry,
          {crash.process, now - crash.age, crash.answer_begun, crash.refuted},
          now);
    }
    if (message.worked_age) SetWorked(*entry, now - *message.worked_age, now);
    if (const auto worked_at = working_.LastWorked(message.part)) {
      SetWorked(*entry, *worked_at, now);
    }
    auto& known = entry->evidence;
    if (message.rejected_age) {
      const auto rejected_at = now - *message.rejected_age;
      known.rejected_at =
          std::max(known.rejected_at.value_or(rejected_at), rejected_at);
    }
    known.trials = std::max(known.trials, message.trials);
  }
}

auto PromptQuarantine::UnexplainedCrashes(const PartEvidence& evidence,
                                          const Processes& explained,
                                          Timestamp now) const -> int {
  int count = 0;
  std::optional<Timestamp> last;
  for (const auto& crash : evidence.crashes) {
    if (!Counts(evidence, crash)) continue;
    if (explained.count(crash.process) > 0) continue;
    if (now - crash.at < options_.settle_time) continue;
    if (last && crash.at - *last < options_.crash_spacing) continue;
    last = crash.at;
    ++count;
  }
  return count;
}

auto PromptQuarantine::Threshold(const PartEvidence& evidence) const -> int {
  return evidence.worked_at ? options_.crash_threshold_of_working_part
                            : options_.crash_threshold;
}

auto PromptQuarantine::FindCause(const Processes& explained,
                                 const std::set<PromptPartId>& found,
                                 Timestamp now) const -> const Entry* {
  const Entry* cause = nullptr;
  std::tuple<bool, int, std::int64_t> best;
  for (const auto& [part, entry] : entries_) {
    if (found.count(part) > 0) continue;
    const auto& evidence = entry.evidence;
    const auto crashes = UnexplainedCrashes(evidence, explained, now);
    if (crashes < Threshold(evidence)) continue;
    // Of parts that occur together, the one that never worked is blamed, else
    // the one in more crashes, else the one that fewer requests have.
    const std::tuple<bool, int, std::int64_t> key(!evidence.worked_at, crashes,
                                                  evidence.depth);
    if (cause != nullptr && key <= best) continue;
    cause = &entry;
    best = key;
  }
  return cause;
}

auto PromptQuarantine::FindCauses(Timestamp now) const
    -> std::set<PromptPartId> {
  std::set<PromptPartId> causes;
  Processes explained;
  while (const auto* cause = FindCause(explained, causes, now)) {
    causes.insert(cause->evidence.part);
    for (const auto& crash : cause->evidence.crashes) {
      explained.insert(crash.process);
    }
  }
  return causes;
}

auto PromptQuarantine::CollectReviewed(Timestamp now) -> void {
  reviewed_.clear();
  for (const auto& [part, entry] : entries_) {
    for (const auto& crash : entry.evidence.crashes) {
      if (crash.refuted || now - crash.at > options_.review_time) continue;
      reviewed_.insert(crash.process);
    }
  }
}

auto PromptQuarantine::RecordAnswer(const UpstreamProcess& process,
                                    Timestamp sent_at, Timestamp now) -> void {
  if (reviewed_.empty() || reviewed_.count(process) == 0) return;
  for (auto& [part, entry] : entries_) {
    for (auto& crash : entry.evidence.crashes) {
      if (crash.refuted || !(crash.process == process)) continue;
      if (sent_at > crash.at) continue;
      if (now < crash.at + options_.refutation_delay) continue;
      crash.refuted = true;
      Touch(entry, now);
    }
  }
}

auto PromptQuarantine::Expire(Timestamp now) -> std::vector<QuarantineChange> {
  std::vector<QuarantineChange> changes;
  expired_at_ = now;
  for (auto entry = entries_.begin(); entry != entries_.end();) {
    const auto& evidence = entry->second.evidence;
    const bool quarantined = entry->second.quarantined;
    auto last = evidence.crashes.back().at;
    if (quarantined) last = std::max(last, evidence.rejected_at.value_or(last));
    const auto ttl = quarantined ? options_.idle_ttl : options_.crash_ttl;
    if (now - last <= ttl) {
      ++entry;
      continue;
    }
    if (quarantined) changes.push_back({evidence, false});
    entry = entries_.erase(entry);
  }
  return changes;
}

auto PromptQuarantine::Update(Timestamp now) -> std::vector<QuarantineChange> {
  std::vector<QuarantineChange> changes;
  if (entries_.empty()) {
    reviewed_.clear();
    return changes;
  }
  if (now - changed_at_ <= options_.review_time) {
    CollectReviewed(now);
    const auto causes = FindCauses(now);
    for (auto& [part, entry] : entries_) {
      const bool quarantined = causes.count(part) > 0;
      if (quarantined == entry.quarantined) continue;
      entry.quarantined = quarantined;
      Touch(entry, now);
      changes.push_back({entry.evidence, quarantined});
    }
  } else {
    reviewed_.clear();
  }
  if (now - expired_at_ >= options_.expiry_interval) {
    const auto expired = Expire(now);
    changes.insert(changes.end(), expired.begin(), expired.end());
  }
  quarantined_count_ = Quarantined().size();
  return changes;
}

auto PromptQuarantine::Quarantined() const -> std::vector<PartEvidence> {
  std::vector<PartEvidence> parts;
  for (const auto& [part, entry] : entries_) {
    if (entry.quarantined) parts.push_back(entry.evidence);
  }
  return parts;
}

}  // namespace dotterellug::quarantine
