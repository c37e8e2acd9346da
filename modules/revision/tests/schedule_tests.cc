// State-machine tests: two or more editors, whose calls to the store are
// interleaved by a seeded schedule, under faults alone and two at once.

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <condition_variable>
#include <cstdlib>
#include <mutex>
#include <thread>

#include "core/random/random.h"
#include "revision/revision.h"

namespace dotterellug {
namespace {

// RapidCheck reads its seed once, from the environment. A fixed seed makes
// every run give the same verdict; RC_PARAMS can be set to try another.
const int kSeedIsSet = setenv("RC_PARAMS", "seed=20240601 max_success=150", 0);

// Lets one of several threads run at a time. The next one is chosen by seed at
// each store call, once all live threads have stopped at one.
class Scheduler {
 public:
  Scheduler(std::uint64_t seed, std::size_t threads)
      : random_(seed), waiting_(threads, false), live_(threads) {}

  auto Yield(std::size_t thread) -> void {
    std::unique_lock lock(mutex_);
    waiting_[thread] = true;
    ++stopped_;
    Choose();
    turn_.wait(lock, [&] { return running_ == thread; });
  }

  auto Finish() -> void {
    const std::lock_guard lock(mutex_);
    --live_;
    running_ = kNone;
    Choose();
  }

 private:
  static constexpr std::size_t kNone = static_cast<std::size_t>(-1);

  auto Choose() -> void {
    if (live_ == 0 || stopped_ < live_) return;
    auto skip = random_.Below(stopped_);
    std::size_t next = 0;
    while (!waiting_[next] || skip-- > 0) ++next;
    waiting_[next] = false;
    --stopped_;
    running_ = next;
    turn_.notify_all();
  }

  std::mutex mutex_;
  std::condition_variable turn_;
  Random random_;
  std::vector<bool> waiting_;
  std::size_t live_;
  std::size_t stopped_ = 0;
  std::size_t running_ = kNone;
};

struct Attempted {
  Edit edit;
  Result<CommitOutcome> outcome;
};

struct Plan {
  std::uint64_t seed = 0;
  // Sections that each editor changes, one edit after the other.
  std::vector<std::vector<int>> editors;
  std::vector<FaultRule> faults;
};

auto Accept(const SectionTexts&) -> Result<void> { return {}; }

// An operator with a connection of its own.
class Editor {
 public:
  Editor(std::shared_ptr<MemoryObjectBackend> backend, std::size_t index,
         Scheduler& scheduler)
      : index_(index),
        repository_(ObjectStore(MemoryObjectStore(
            std::move(backend), std::chrono::seconds(1), [this, &scheduler] {
              if (scheduled_) scheduler.Yield(index_);
            }))) {}

  auto Run(const std::vector<int>& sections) -> void {
    for (const auto section : sections) {
      const auto base = repository_.ReadHead();
      if (!base) continue;
      const auto id =
          std::to_string(index_) + "-" + std::to_string(attempted_.size());
      const Edit edit{EditId(id), *base,
                      "editor",   "",
                      WallTime{}, {{SectionName(std::to_string(section)), id}}};
      attempted_.push_back({edit, repository_.Commit(edit, Accept)});
    }
  }

  // Repeats the edits whose outcome is not final, without faults.
  auto Resolve() -> void {
    scheduled_ = false;
    for (auto& attempted : attempted_) {
      if (attempted.outcome) continue;
      attempted.outcome = repository_.Commit(attempted.edit, Accept);
    }
  }

  auto Edits() const -> const std::vector<Attempted>& { return attempted_; }

 private:
  std::size_t index_;
  bool scheduled_ = true;
  RevisionRepository repository_;
  std::vector<Attempted> attempted_;
};

// Reads the head under the same faults and records what comes in force.
class Follower {
 public:
  explicit Follower(const std::shared_ptr<MemoryObjectBackend>& backend)
      : watch_(ObjectStore(MemoryObjectStore(backend))) {}

  auto Poll() -> void {
    const auto before = state_.Current().number;
    const auto head = watch_.Next(Duration{0});
    if (head && *head && state_.OnStoreAnswer(**head) == OfferResult::kFetch) {
      state_.Adopt(**head);
    }
    RC_ASSERT(state_.Current().number >= before);
  }
  auto Current() const -> RevisionRef { return state_.Current(); }

 private:
  HeadWatch watch_;
  RevisionFollower state_{{}};
};

auto RunEditors(const Plan& plan, std::vector<std::unique_ptr<Editor>>& editors,
                Scheduler& scheduler) -> void {
  std::vector<std::thread> threads;
  for (std::size_t i = 0; i < editors.size(); ++i) {
    threads.emplace_back([&, i] {
      scheduler.Yield(i);
      editors[i]->Run(plan.editors[i]);
      scheduler.Finish();
    });
  }
  for (auto& thread : threads) thread.join();
}

using Chain = std::vector<Revision>;  // oldest first

auto FindInChain(const Chain& chain, const EditId& edit)
    -> std::vector<std::size_t> {
  std::vector<std::size_t> found;
  for (std::size_t i = 0; i < chain.size(); ++i) {
    if (chain[i].edit == edit) found.push_back(i);
  }
  return found;
}

auto TextDigest(const Chain& chain, RevisionNumber number,
                const SectionName& section) -> ContentDigest {
  if (number == RevisionNumber(0)) return ContentDigest{};
  const auto& sections = chain[number.Value() - 1].sections;
  const auto found = sections.find(section);
  return found == sections.end() ? ContentDigest{} : found->second.digest;
}

// Checks one edit whose outcome is final against the committed revisions.
auto CheckEdit(const Chain& chain, const Attempted& attempted) -> void {
  RC_ASSERT(attempted.outcome.has_value());
  const auto& [section, text] = *attempted.edit.sections.begin();
  const auto base = attempted.edit.base.number;
  const auto found = FindInChain(chain, attempted.edit.id);
  if (std::holds_alternative<EditConflict>(*attempted.outcome)) {
    RC_ASSERT(found.empty());
    bool changed = false;
    for (auto i = base.Value(); i < static_cast<int>(chain.size()); ++i) {
      changed = changed || TextDigest(chain, RevisionNumber(i + 1), section) !=
                               TextDigest(chain, base, section);
    }
    RC_ASSERT(changed);
    return;
  }
  RC_ASSERT(found.size() == 1U);
  const auto& revision = chain[found[0]];
  const auto& committed = std::get<Committed>(*attempted.outcome);
  RC_ASSERT(committed.revision.number == revision.number);
  RC_ASSERT(revision.sections.at(section).digest == DigestOf(*text));
  // Nobody else's change of the section was overwritten.
  RC_ASSERT(TextDigest(chain, revision.parent.number, section) ==
            TextDigest(chain, base, section));
  // All other sections are those of the parent.
  for (const auto& [name, ref] : revision.sections) {
    if (name == section) continue;
    RC_ASSERT(TextDigest(chain, revision.parent.number, name) == ref.digest);
  }
}

auto CheckPlan(const Plan& plan) -> void {
  const auto backend = std::make_shared<MemoryObjectBackend>();
  for (const auto& rule : plan.faults) backend->AddFault(rule);
  Scheduler scheduler(plan.seed, plan.editors.size());
  std::vector<std::unique_ptr<Editor>> editors;
  for (std::size_t i = 0; i < plan.editors.size(); ++i) {
    editors.push_back(std::make_unique<Editor>(backend, i, scheduler));
  }
  Follower follower(backend);
  RunEditors(plan, editors, scheduler);
  follower.Poll();
  // Half of the late writes meet editors that repeat their edits before, the
  // other half after they have taken effect.
  if (plan.seed % 2 == 0) backend->DeliverLate();
  backend->ClearFaults();
  for (auto& editor : editors) editor->Resolve();
  backend->DeliverLate();
  for (int i = 0; i < 3; ++i) follower.Poll();

  RevisionRepository reader{ObjectStore(MemoryObjectStore(backend))};
  auto chain = *reader.History(1000);
  std::reverse(chain.begin(), chain.end());
  for (std::size_t i = 0; i < chain.size(); ++i) {
    RC_ASSERT(chain[i].number.Value() == static_cast<std::int64_t>(i) + 1);
  }
  for (const auto& editor : editors) {
    for (const auto& attempted : editor->Edits()) CheckEdit(chain, attempted);
  }
  RC_ASSERT(follower.Current() == *reader.ReadHead());
}

auto GenerateFault() -> FaultRule {
  FaultRule rule;
  rule.fault = *rc::gen::element(FaultKind::kRefused, FaultKind::kOutage,
                                 FaultKind::kLostAfter, FaultKind::kLate,
                                 FaultKind::kStale, FaultKind::kCompacted,
                                 FaultKind::kSlow);
  rule.operation = *rc::gen::element<std::optional<OperationKind>>(
      std::nullopt, OperationKind::kGet, OperationKind::kPut,
      OperationKind::kWatch, OperationKind::kList);
  rule.prefix = *rc::gen::element<std::string>("", kHeadObject);
  rule.skip = *rc::gen::inRange(0, 12);
  rule.count = *rc::gen::inRange(1, 6);
  rule.delay = std::chrono::seconds(2);
  rule.lag = *rc::gen::inRange(1, 5);
  return rule;
}

auto GeneratePlan(int faults) -> Plan {
  Plan plan;
  plan.seed = *rc::gen::arbitrary<std::uint64_t>();
  const auto editors = *rc::gen::inRange(2, 5);
  for (int i = 0; i < editors; ++i) {
    plan.editors.push_back(*rc::gen::container<std::vector<int>>(
        *rc::gen::inRange(1, 4), rc::gen::inRange(0, 3)));
  }
  for (int i = 0; i < faults; ++i) plan.faults.push_back(GenerateFault());
  return plan;
}

// Guards against edits that are lost, doubled or reported wrongly when editors
// race.
TEST(RevisionScheduleTest, RacingEditors) {
  EXPECT_TRUE(rc::check([] { CheckPlan(GeneratePlan(0)); }));
}

// Guards against the same under one kind of store fault.
TEST(RevisionScheduleTest, RacingEditorsUnderOneFault) {
  EXPECT_TRUE(rc::check([] { CheckPlan(GeneratePlan(1)); }));
}

// Guards against the same under two kinds of store faults at once.
TEST(RevisionScheduleTest, RacingEditorsUnderTwoFaults) {
  EXPECT_TRUE(rc::check([] { CheckPlan(GeneratePlan(2)); }));
}

}  // namespace
}  // namespace dotterellug
