#include <gtest/gtest.h>

#include <memory>
#include <optional>

#include "core/variant/overloaded.h"
#include "ownership/ownership.h"
#include "ownership/tests/simulation.h"

namespace dotterellug {
namespace {

const ShardId kShard{"budget-0"};

auto Member(const std::string& instance, int incarnation = 1) -> MemberId {
  return {InstanceId(instance), Incarnation(incarnation)};
}

auto Object(int version, const OwnerRecord& record) -> ObjectRecord {
  return {OwnerObjectName(kShard), ObjectVersion(version),
          EncodeOwnerRecord(record)};
}

template <typename T>
auto Find(const OwnershipActions& actions) -> std::optional<T> {
  for (const auto& action : actions) {
    if (const auto* found = std::get_if<T>(&action)) return *found;
  }
  return std::nullopt;
}

// Guards against a record that loses members or incarnations on its way through
// the store, and against a crash on foreign text.
TEST(OwnerRecordTest, SurvivesEncodingAndRejectsOtherText) {
  OwnerRecord record{Member("a", 3), Term(7), {}, {}};
  record.AddMember(Member("b", 1));
  record.AddMember(Member("a", 3));
  record.AddMember(Member("b", 2));
  const auto parsed = ParseOwnerRecord(EncodeOwnerRecord(record));
  ASSERT_TRUE(parsed);
  EXPECT_EQ(*parsed, record);
  EXPECT_EQ(parsed->departed, std::vector<MemberId>{Member("b", 1)});
  for (const auto* text : {"", "[]", "{\"term\":\"x\"}", "{\"term\":1}"}) {
    EXPECT_EQ(ParseOwnerRecord(text).error().kind, ErrorKind::kProtocol);
  }
}

// Guards against following a term before the registration is in the store.
TEST(ShardAgentTest, AcknowledgesNothingBeforeRegistration) {
  ShardAgent agent(kShard, Member("a"));
  EXPECT_TRUE(agent.OnAnnouncement({kShard, Term(4), Member("b")}).empty());
  const OwnerRecord record{Member("b"), Term(4), {Member("b")}, {}};
  const auto actions = agent.OnRead(Object(2, record));
  EXPECT_FALSE(Find<AcknowledgeTerm>(actions));
  const auto write = Find<WriteObject>(actions);
  ASSERT_TRUE(write);
  EXPECT_EQ(write->expected, ObjectVersion(2));
  const auto after =
      agent.OnRead({write->name, ObjectVersion(3), write->value});
  ASSERT_TRUE(Find<AcknowledgeTerm>(after));
  EXPECT_EQ(Find<AcknowledgeTerm>(after)->term, Term(4));
}

// Guards against a takeover that is forgotten, or done twice, when the
// response to its write is lost.
TEST(ShardAgentTest, RecognisesItsTakeoverAfterALostResponse) {
  ShardAgent agent(kShard, Member("a"));
  const OwnerRecord record{
      Member("b"), Term(4), {Member("a"), Member("b")}, {}};
  agent.OnRead(Object(3, record));
  const auto write = Find<WriteObject>(agent.TakeOver());
  ASSERT_TRUE(write);
  EXPECT_TRUE(Find<ReadObject>(agent.OnWrite(WriteOutcome::kUnknown)));
  const auto gained =
      agent.OnRead({write->name, ObjectVersion(4), write->value});
  ASSERT_TRUE(Find<OwnershipGained>(gained));
  EXPECT_EQ(agent.OwnedTerm(), Term(5));
  EXPECT_TRUE(Find<AnnounceTerm>(gained));
  EXPECT_TRUE(
      agent.OnRead({write->name, ObjectVersion(4), write->value}).empty());
  EXPECT_TRUE(agent.OnRead(Object(3, record)).empty());
  EXPECT_EQ(agent.StaleReads(), 1);
}

// Guards against an owner that acts before a silent member has acknowledged or
// is confirmed gone.
TEST(ShardAgentTest, ActsOnlyAfterTheBarrier) {
  ShardAgent agent(kShard, Member("a"));
  const OwnerRecord record{
      Member("b"), Term(4), {Member("a"), Member("b"), Member("c")}, {}};
  agent.OnRead(Object(3, record));
  const auto write = Find<WriteObject>(agent.TakeOver());
  agent.OnRead({write->name, ObjectVersion(4), write->value});
  agent.OnAcknowledgement(Member("a"), Term(5));
  agent.OnAcknowledgement(Member("b"), Term(4));
  agent.OnAcknowledgement(Member("c"), Term(5));
  EXPECT_FALSE(agent.MayAct());
  const auto completed =
      Find<BarrierCompleted>(agent.OnMemberTerminated(Member("b")));
  ASSERT_TRUE(completed);
  EXPECT_FALSE(completed->reports_may_be_missing);
  EXPECT_TRUE(agent.MayAct());
  const auto forget = Find<WriteObject>(agent.ForgetDeparted());
  ASSERT_TRUE(forget);
  EXPECT_FALSE(ParseOwnerRecord(forget->value)->HasMember(Member("b")));
}

// Guards against two holders of a placement lease when their clocks differ in
// rate, and against a renewal counted from its response.
TEST(PlacementLeaseTest, HolderStopsBeforeTheSuccessorStarts) {
  const auto length = std::chrono::seconds(10);
  for (const double holder_rate : {0.975, 1.0, 1.025}) {
    for (const double successor_rate : {0.975, 1.0, 1.025}) {
      LeaseHolder holder(length);
      LeaseObserver successor(length);
      const auto at = [](double true_seconds, double rate) {
        return Timestamp(FromSeconds(true_seconds * rate));
      };
      holder.BeginRenewal(at(100, holder_rate));
      successor.Observe(ObjectVersion(1), at(100, successor_rate));
      successor.Observe(ObjectVersion(2), at(100.001, successor_rate));
      holder.ConfirmRenewal();
      EXPECT_TRUE(holder.MayAct(at(109, holder_rate)));
      for (double time = 100; time < 130; time += 0.01) {
        ASSERT_FALSE(holder.MayAct(at(time, holder_rate)) &&
                     successor.MayTakeOver(at(time, successor_rate)))
            << time;
      }
      EXPECT_TRUE(successor.MayTakeOver(at(112, successor_rate)));
      successor.Observe(ObjectVersion(1), at(112, successor_rate));
      EXPECT_TRUE(successor.MayTakeOver(at(112, successor_rate)));
    }
  }
}

// A fleet of agents over a faulty store and network. It counts the owners whose
// command a member obeys in a step order that contradicts the terms.
struct AgentFleetVariant {
  bool barrier = true;
  bool conditional_writes = true;
};

class AgentFleet {
 public:
  AgentFleet(std::uint64_t seed, AgentFleetVariant variant)
      : random_(seed),
        network_(&random_, 10, 10),
        store_(&network_, &random_),
        variant_(variant) {
    store_.checks_versions = variant.conditional_writes;
    for (int i = 0; i < 4; ++i) Start(i);
  }

  auto Run(int steps) -> void {
    for (int step = 0; step < steps; ++step) {
      RandomFault();
      const auto index = static_cast<int>(random_.Below(4));
      if (random_.Below(6) == 0) Apply(index, Agent(index).Tick());
      if (random_.Below(25) == 0) Apply(index, Agent(index).TakeOver());
      network_.Step();
      network_.Step();
      CheckOwners();
    }
  }
  auto Violations() const -> int { return violations_; }
  auto Takeovers() const -> int { return takeovers_; }

 private:
  struct Process {
    int incarnation = 0;
    bool paused = false;
    std::shared_ptr<ShardAgent> agent;
  };

  auto Agent(int index) -> ShardAgent& { return *processes_[index].agent; }
  auto Start(int index) -> void {
    auto& process = processes_[index];
    const auto old = process.agent;
    ++process.incarnation;
    process.paused = false;
    process.agent = std::make_shared<ShardAgent>(
        kShard, Member(std::to_string(index), process.incarnation));
    if (!old) return;
    for (auto& [other, unused] : processes_) {
      Apply(other, Agent(other).OnMemberTerminated(old->Self()));
    }
  }
  auto RandomFault() -> void {
    const auto index = static_cast<int>(random_.Below(4));
    const auto fault = random_.Below(60);
    if (fault == 0) Start(index);
    if (fault == 1) processes_[index].paused = !processes_[index].paused;
    if (fault == 2) store_.available = !store_.available;
  }
  auto IndexOf(const MemberId& member) -> int {
    return std::stoi(member.instance.Value());
  }
  // Runs `handler` on the process that had this identity, if it still runs. A
  // paused process sees its messages when it resumes.
  auto Deliver(const MemberId& to,
               const std::function<OwnershipActions(ShardAgent&)>& handler)
      -> void {
    auto& process = processes_[IndexOf(to)];
    if (process.agent->Self() != to) return;
    if (process.paused) {
      network_.Send([this, to, handler] { Deliver(to, handler); });
      return;
    }
    Apply(IndexOf(to), handler(*process.agent));
  }
  auto Apply(int index, const OwnershipActions& actions) -> void {
    const auto self = Agent(index).Self();
    for (const auto& action : actions) {
      std::visit(
          Overloaded{[&](const ReadObject& read) {
                       store_.Read(read.name,
                                   [this, self](const ObjectRecord& object) {
                                     Deliver(self, [object](ShardAgent& agent) {
                                       return agent.OnRead(object);
                                     });
                                   });
                     },
                     [&](const WriteObject& write) {
                       store_.Write(write, [this, self](WriteOutcome outcome,
                                                        ObjectVersion) {
                         Deliver(self, [outcome](ShardAgent& agent) {
                           return agent.OnWrite(outcome);
                         });
                       });
                     },
                     [&](const AnnounceTerm& announce) {
                       if (!variant_.barrier) {
                         SendAcknowledgement(announce.to, self,
                                             announce.announcement.term);
                       }
                       network_.Send([this, announce] {
                         Deliver(announce.to, [announce](ShardAgent& agent) {
                           return agent.OnAnnouncement(announce.announcement);
                         });
                       });
                     },
                     [&](const AcknowledgeTerm& acknowledge) {
                       SendAcknowledgement(self, acknowledge.owner,
                                           acknowledge.term);
                     },
                     [&](const OwnershipGained&) { ++takeovers_; },
                     [&](const auto&) {}},
          action);
    }
  }
  auto SendAcknowledgement(const MemberId& from, const MemberId& owner,
                           Term term) -> void {
    network_.Send([this, from, owner, term] {
      Deliver(owner, [from, term](ShardAgent& agent) {
        return agent.OnAcknowledgement(from, term);
      });
    });
  }
  // An owner that may act is obeyed by no registered member that still follows
  // another owner of a lower term.
  auto CheckOwners() -> void {
    for (auto& [index, process] : processes_) {
      if (!process.agent->MayAct()) continue;
      for (auto& [other, member] : processes_) {
        if (other != index &&
            member.agent->OwnedTerm() == process.agent->OwnedTerm()) {
          ++violations_;
        }
        if (!member.agent->Registered()) continue;
        if (member.agent->Fence().Acknowledged() <
            *process.agent->OwnedTerm()) {
          ++violations_;
        }
      }
    }
  }

  Random random_;
  testing::SimulatedNetwork network_;
  testing::SimulatedStore store_;
  AgentFleetVariant variant_;
  std::map<int, Process> processes_;
  int violations_ = 0;
  int takeovers_ = 0;
};

// Guards against a member that obeys a former owner while the new one acts, and
// against two owners of one term, in schedules with loss, duplication, crash,
// pause and store outage. Without the barrier, and without the condition of
// the store's updates, the same schedules must show these faults.
TEST(ShardAgentTest, NoMemberObeysAFormerOwnerOnceTheNewOneActs) {
  int takeovers = 0;
  int violations_without_barrier = 0;
  int violations_without_condition = 0;
  for (std::uint64_t seed = 1; seed <= 1000; ++seed) {
    AgentFleet fleet(seed, {});
    fleet.Run(400);
    ASSERT_EQ(fleet.Violations(), 0) << "seed " << seed;
    takeovers += fleet.Takeovers();
    AgentFleet without_barrier(seed, {false, true});
    without_barrier.Run(400);
    violations_without_barrier += without_barrier.Violations();
    AgentFleet without_condition(seed, {true, false});
    without_condition.Run(400);
    violations_without_condition += without_condition.Violations();
  }
  EXPECT_GT(takeovers, 1000);
  EXPECT_GT(violations_without_barrier, 100);
  EXPECT_GT(violations_without_condition, 100);
}

}  // namespace
}  // namespace dotterellug
