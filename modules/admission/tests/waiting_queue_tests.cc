#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <iostream>
#include <string>
#include <vector>

#include "admission/admission.h"
#include "pool_simulation.h"

namespace dotterellug {
namespace {

using std::chrono::milliseconds;

auto At(std::int64_t ms) -> Timestamp { return Timestamp(milliseconds(ms)); }

// A request that arrives at 0, can start until `latest_start_ms` and occupies a
// slot for a second.
auto Waiting(const std::string& account, int priority,
             std::int64_t latest_start_ms, std::int64_t work_ms = 1000)
    -> WaitingRequest {
  WaitingRequest request;
  request.account = ClientAccountId(account);
  request.priority = priority;
  request.latest_start = At(latest_start_ms);
  request.give_up = At(latest_start_ms + 2000);
  request.work = milliseconds(work_ms);
  return request;
}

auto Tickets(const WaitingQueue& queue, Timestamp now)
    -> std::vector<std::int64_t> {
  std::vector<std::int64_t> tickets;
  for (const auto& turn : queue.Order(now)) {
    tickets.push_back(turn.ticket.Value());
  }
  return tickets;
}

// Guards against urgent requests behind patient ones, and against late requests
// that take capacity from requests that can still be in time.
TEST(WaitingQueueTest, OrdersByTargetMissedThenPriorityThenLatestStart) {
  WaitingQueue queue;
  queue.Add(Waiting("a", 2, 5000));
  queue.Add(Waiting("a", 0, 900));
  queue.Add(Waiting("a", 0, 500));
  queue.Add(Waiting("a", 0, 100));
  EXPECT_EQ(Tickets(queue, At(50)), (std::vector<std::int64_t>{4, 3, 2, 1}));
  EXPECT_EQ(Tickets(queue, At(200)), (std::vector<std::int64_t>{3, 2, 1, 4}));
}

// Guards against an order by latest start alone.
TEST(WaitingQueueTest, PriorityComesBeforeLatestStart) {
  WaitingQueue queue;
  queue.Add(Waiting("a", 2, 400));
  queue.Add(Waiting("a", 0, 900));
  EXPECT_EQ(Tickets(queue, At(0)), (std::vector<std::int64_t>{2, 1}));
}

// Guards against an account that sends much and whose requests mostly start
// without a wait, so that its turns in the queue alone do not bound it.
TEST(WaitingQueueTest, AccountsServedMuchLatelyGoBehindOthers) {
  WaitingQueue queue;
  for (int i = 0; i < 4; ++i) queue.RecordStart(Waiting("many", 1, 500), At(0));
  queue.Add(Waiting("many", 1, 500));
  queue.Add(Waiting("few", 1, 900));
  EXPECT_EQ(Tickets(queue, At(100)), (std::vector<std::int64_t>{2, 1}));
  // What was served long ago no longer counts.
  queue.RecordStart(Waiting("other", 1, 40'000), At(30'000));
  queue.Add(Waiting("many", 1, 40'000));
  queue.Add(Waiting("few", 1, 41'000));
  EXPECT_EQ(Tickets(queue, At(30'000)).front(), 3);
}

// Guards against long requests before short ones that are as urgent.
TEST(WaitingQueueTest, OrdersEqualsByShorterWork) {
  WaitingQueue queue;
  queue.Add(Waiting("a", 0, 500, 1500));
  queue.Add(Waiting("a", 0, 500, 250));
  EXPECT_EQ(Tickets(queue, At(0)), (std::vector<std::int64_t>{2, 1}));
}

// Guards against an account whose many earlier requests go before the few of
// another one.
TEST(WaitingQueueTest, AccountsOfOnePriorityTakeTurnsByWork) {
  WaitingQueue queue;
  for (int i = 0; i < 4; ++i) queue.Add(Waiting("many", 1, 500, 1000));
  queue.Add(Waiting("few", 1, 900, 1000));
  queue.Add(Waiting("few", 1, 900, 1000));
  EXPECT_EQ(Tickets(queue, At(0)),
            (std::vector<std::int64_t>{1, 5, 2, 6, 3, 4}));
}

// Guards against starvation: while urgent requests arrive without end, the
// first request of each level behind them starts within its work divided by
// the share of the level, plus one request.
TEST(WaitingQueueTest, LevelsBehindOthersGetTheirLeastShare) {
  WaitingQueue queue;
  const auto patient = queue.Add(Waiting("b", 2, 1'000'000));
  const auto late = queue.Add(Waiting("c", 0, -1));
  double patient_after = -1;
  double late_after = -1;
  std::int64_t now = 0;
  for (int started = 1; started < 100; ++started) {
    queue.Add(Waiting("a", 0, now + 500));
    const auto next = queue.Order(At(now)).front().ticket;
    if (next == patient) patient_after = started;
    if (next == late) late_after = started;
    auto request = Waiting("a", 0, now + 500);
    if (next == patient) request = Waiting("b", 2, 1'000'000);
    if (next == late) request = Waiting("c", 0, -1);
    queue.Remove(next);
    queue.RecordStart(request, At(now));
    now += 10;
  }
  EXPECT_GT(patient_after, 1);
  EXPECT_LE(patient_after, 1 / WaitingQueue::kLeastShare + 2);
  EXPECT_GT(late_after, 1);
  EXPECT_LE(late_after, 1 / WaitingQueue::kLeastLateShare + 2);
}

// Guards against requests that are held although their turn comes too late, and
// against refusals of requests that would be served in time.
TEST(WaitingQueueTest, RefusesOnArrivalWhatWouldWaitInVain) {
  WaitingQueue queue;
  // One slot: a request of 100 ms starts every 100 ms.
  for (int i = 0; i < 20; ++i) queue.Add(Waiting("a", 0, 100'000, 100));
  std::int64_t now = 0;
  for (int i = 0; i < 10; ++i) {
    queue.Remove(queue.Order(At(now)).front().ticket);
    queue.RecordStart(Waiting("a", 0, 100'000, 100), At(now));
    now += 100;
  }
  // A second of work waits ahead of what is as urgent.
  const auto in_time = Waiting("a", 0, 200'000, 100);
  EXPECT_EQ(queue.Decide(in_time, At(now)), WaitDecision::kOnTime);
  auto late = Waiting("a", 2, now + 500, 100);
  late.give_up = At(now + 30'000);
  EXPECT_EQ(queue.Decide(late, At(now)), WaitDecision::kLate);
  late.give_up = At(now + 1000);
  EXPECT_EQ(queue.Decide(late, At(now)), WaitDecision::kRefuse);
  // More urgent than all that waits.
  const auto urgent = Waiting("b", -1, now + 50, 100);
  EXPECT_EQ(queue.Decide(urgent, At(now)), WaitDecision::kOnTime);
}

// Guards against refusals after a short stall, when less arrives than is
// served, so that the backlog of late requests is soon gone.
TEST(WaitingQueueTest, HoldsLateRequestsWhileLessArrivesThanIsServed) {
  for (const int arrivals : {1, 4}) {
    WaitingQueue queue;
    for (int i = 0; i < 30; ++i) queue.Add(Waiting("a", 0, 100'000, 100));
    std::int64_t now = 0;
    // Two slots, of which the arrivals need one, or twice as many as there are.
    for (int i = 0; i < 20; ++i) {
      for (int j = 0; j < 2; ++j) {
        queue.Remove(queue.Order(At(now)).front().ticket);
        queue.RecordStart(Waiting("a", 0, 100'000, 100), At(now));
      }
      for (int j = 0; j < arrivals; ++j) {
        queue.RecordArrival(Waiting("a", 0, 100'000, 100), At(now));
        queue.Add(Waiting("a", 0, 100'000, 100));
      }
      now += 100;
    }
    auto late = Waiting("a", 0, now - 1, 100);
    late.give_up = At(now + 1000);
    EXPECT_EQ(queue.Decide(late, At(now)),
              arrivals == 1 ? WaitDecision::kLate : WaitDecision::kRefuse);
  }
}

// Guards against searches for an upstream that cannot succeed, and against
// patient requests that take what an urgent one waits for.
TEST(BlockedRequestsTest, SkipsWhatWouldFindNoCapacityEither) {
  auto urgent = Waiting("a", 1, 1000);
  urgent.upstream_wait = milliseconds(200);
  auto patient = Waiting("a", 2, 4000);
  patient.upstream_wait = milliseconds(400);
  BlockedRequests blocked;
  EXPECT_FALSE(blocked.Contains(urgent, At(0)));
  blocked.Add(urgent, At(0));
  EXPECT_TRUE(blocked.Contains(urgent, At(0)));
  EXPECT_TRUE(blocked.Contains(patient, At(0)));
  auto other = patient;
  other.kind = "another model";
  EXPECT_FALSE(blocked.Contains(other, At(0)));
  // A late request blocks none that can be in time.
  BlockedRequests by_late;
  by_late.Add(urgent, At(2000));
  EXPECT_FALSE(by_late.Contains(patient, At(2000)));
}

auto Constant(double rate) -> std::function<double(double)> {
  return [rate](double) { return rate; };
}

auto Burst(double rate, double from, double to, double times)
    -> std::function<double(double)> {
  return [=](double t) { return t >= from && t < to ? rate * times : rate; };
}

// Live chat, short tagging requests and patient drafts, as measured on a day of
// high load. `load` is the offered work as a part of the slots.
auto ThreeClasses(double load, int slots) -> std::vector<SimulatedClass> {
  const auto unit = load * slots / 13 / 0.25;
  SimulatedClass chat{"chat",
                      0,
                      milliseconds(500),
                      milliseconds(12'000),
                      milliseconds(1500),
                      milliseconds(50),
                      {}};
  SimulatedClass tag{"tag",
                     1,
                     milliseconds(600),
                     milliseconds(3000),
                     milliseconds(250),
                     milliseconds(250),
                     {}};
  SimulatedClass draft{"draft",
                       2,
                       milliseconds(4000),
                       milliseconds(15'000),
                       milliseconds(1500),
                       milliseconds(50),
                       {}};
  chat.accounts["a"] = Constant(unit);
  tag.accounts["a"] = Constant(unit);
  draft.accounts["a"] = Constant(unit);
  return {chat, tag, draft};
}

auto Percent(std::int64_t part, std::int64_t whole) -> double {
  return whole == 0
             ? 0
             : 100.0 * static_cast<double>(part) / static_cast<double>(whole);
}

auto Print(const std::string& title, const PoolSimulation& simulation,
           const std::vector<std::string>& names) -> void {
  std::cout << title << ":\n";
  for (const auto& name : names) {
    const auto outcome = simulation.Outcome(name);
    std::cout << "  " << name << ": arrived " << outcome.arrived << ", in time "
              << Percent(outcome.in_time, outcome.arrived) << "%, late "
              << Percent(outcome.late, outcome.arrived) << "%, refused "
              << Percent(outcome.refused, outcome.arrived) << "%, left "
              << Percent(outcome.left, outcome.arrived)
              << "%, longest hold of refused ms "
              << ToSeconds(outcome.longest_hold_of_refused) * 1000 << "\n";
  }
}

struct Comparison {
  PoolSimulation arrival;
  PoolSimulation admission;
};

// Plays the same load with both orders and prints both results.
auto Compare(const std::string& title,
             const std::vector<SimulatedClass>& classes, double seconds,
             int stopped = 0) -> Comparison {
  Comparison both{{SimulatedOrder::kArrival, 4, 12, 16},
                  {SimulatedOrder::kAdmission, 4, 12, 16}};
  std::vector<std::string> names;
  names.reserve(classes.size());
  for (const auto& kind : classes) names.push_back(kind.name);
  for (auto* simulation : {&both.arrival, &both.admission}) {
    if (stopped > 0) simulation->StopEngines(stopped, 5, 15);
    simulation->Run(classes, seconds);
  }
  Print(title + ", order of arrival", both.arrival, names);
  Print(title + ", order of admission", both.admission, names);
  return both;
}

// Guards against urgent requests that are late behind a burst of patient ones.
TEST(WaitingQueueLoadTest, BurstOfTheLeastUrgentClass) {
  auto classes = ThreeClasses(0.8, 12 * 16);
  classes[2].accounts["a"] = Burst(classes[2].accounts["a"](0), 5, 13, 3.0);
  const auto both = Compare("burst of drafts", classes, 20);
  const auto chat = both.admission.Outcome("chat");
  EXPECT_GE(Percent(chat.in_time, chat.arrived), 97);
  EXPECT_GE(chat.in_time, both.arrival.Outcome("chat").in_time);
  EXPECT_GE(both.admission.Outcome("draft").in_time * 100,
            both.arrival.Outcome("draft").in_time * 75);
}

// Guards against a queue of late requests in front of those in time while all
// classes together ask for more than the capacity.
TEST(WaitingQueueLoadTest, PoolShortByAThirdForTenSeconds) {
  const auto both = Compare("a third of the engines gone",
                            ThreeClasses(0.95, 12 * 16), 20, 4);
  const auto chat = both.admission.Outcome("chat");
  EXPECT_GE(Percent(chat.in_time, chat.arrived), 90);
  EXPECT_GT(chat.in_time, both.arrival.Outcome("chat").in_time);
}

// Guards against urgent requests that are all late when they alone exceed the
// capacity.
TEST(WaitingQueueLoadTest, UrgentClassAloneExceedsTheCapacity) {
  auto classes = ThreeClasses(0.9, 12 * 16);
  classes[0].accounts["a"] = Burst(classes[0].accounts["a"](0), 5, 13, 3.0);
  const auto both = Compare("burst of chats", classes, 20);
  const auto chat = both.admission.Outcome("chat");
  EXPECT_GT(chat.in_time, both.arrival.Outcome("chat").in_time);
}

// Guards against other accounts that lose requests because one account sends
// 7.5 times its usual load.
TEST(WaitingQueueLoadTest, OneAccountAtSevenAndAHalfTimesItsUsual) {
  auto classes = ThreeClasses(0.85, 12 * 16);
  auto& chat = classes[0];
  const auto rate = chat.accounts["a"](0);
  chat.accounts.clear();
  for (const auto* account : {"b", "c", "d", "e"}) {
    chat.accounts[account] = Constant(rate / 5);
  }
  chat.accounts["many"] = Burst(rate / 5, 5, 13, 7.5);
  const auto both = Compare("one account at 7.5 times", classes, 20);
  for (const auto* account : {"b", "c", "d", "e"}) {
    const auto before = both.arrival.Outcome("chat", account);
    const auto after = both.admission.Outcome("chat", account);
    std::cout << "  account " << account << ": in time "
              << Percent(before.in_time, before.arrived) << "% and "
              << Percent(after.in_time, after.arrived) << "%\n";
    EXPECT_GE(Percent(after.in_time, after.arrived), 85);
    EXPECT_GT(after.in_time, before.in_time);
  }
  const auto many = both.admission.Outcome("chat", "many");
  std::cout << "  account many: in time " << Percent(many.in_time, many.arrived)
            << "%\n";
  EXPECT_GE(Percent(many.in_time + many.late, many.arrived), 30);
}

// Guards against queues at engines beyond their bound, because many daemons
// with the same old report of the load choose the same engines.
TEST(WaitingQueueLoadTest, BurstOfTheLeastUrgentClassAtTwentyDaemons) {
  auto classes = ThreeClasses(0.8, 12 * 16);
  classes[2].accounts["a"] = Burst(classes[2].accounts["a"](0), 5, 13, 3.0);
  double in_time[2] = {0, 0};
  for (const bool spreads : {false, true}) {
    PoolSimulation simulation(SimulatedOrder::kAdmission, 20, 12, 16);
    simulation.SetSpreads(spreads);
    simulation.Run(classes, 20);
    Print(spreads ? "20 daemons, spread over busy engines"
                  : "20 daemons, each the engine with the least load",
          simulation, {"chat", "tag", "draft"});
    const auto chat = simulation.Outcome("chat");
    in_time[spreads ? 1 : 0] = Percent(chat.in_time, chat.arrived);
  }
  PoolSimulation arrival(SimulatedOrder::kArrival, 20, 12, 16);
  arrival.Run(classes, 20);
  Print("20 daemons, order of arrival", arrival, {"chat", "tag", "draft"});
  EXPECT_GE(in_time[1], 90);
  EXPECT_GT(in_time[1], in_time[0]);
}

// Guards against callers that all come back at the same time, and against more
// returning requests than the capacity that becomes available.
TEST(ReturnScheduleTest, CallersReturnAtAPartOfTheDrainRate) {
  ReturnSchedule schedule;
  ReturnSchedule::Refused refused;
  refused.work = milliseconds(1500);
  refused.backlog = milliseconds(500);
  refused.work_per_second = 16;
  refused.longest = std::chrono::seconds(60);
  Random random(1);
  constexpr int kRefused = 100;
  std::vector<double> returns;
  returns.reserve(kRefused);
  for (int i = 0; i < kRefused; ++i) {
    returns.push_back(
        ToSeconds(schedule.Next(refused, random.Uniform(), At(0))));
  }
  std::sort(returns.begin(), returns.end());
  EXPECT_GT(returns.front(), 0.3);
  // 16 slots of 1.5 s serve 10.7 requests a second, of which half may be
  // returning ones.
  for (std::size_t i = 6; i < returns.size(); ++i) {
    EXPECT_GT(returns[i] - returns[i - 6], 0.75);
  }
}

// Guards against delays that callers would not honour, and against a schedule
// that gives such delays to all later callers.
TEST(ReturnScheduleTest, DelaysStayWithinWhatCallersAccept) {
  ReturnSchedule schedule;
  ReturnSchedule::Refused refused;
  refused.work = milliseconds(1500);
  refused.backlog = std::chrono::seconds(20);
  refused.work_per_second = 1;
  refused.longest = std::chrono::seconds(2);
  for (int i = 0; i < 50; ++i) {
    const auto delay = schedule.Next(refused, 0.02 * i, At(0));
    EXPECT_LE(delay, refused.longest);
    EXPECT_GE(delay, refused.longest / 2);
  }
}

// Guards against a caller that is refused again on its return, and against
// callers that come back at once to be taken in.
TEST(ReturnScheduleTest, RecognisesCallersThatReturnInTime) {
  ReturnSchedule schedule;
  ReturnSchedule::Refused refused;
  refused.id = RequestId("r1");
  refused.longest = std::chrono::seconds(5);
  const auto delay = schedule.Next(refused, 0.5, At(0));
  EXPECT_FALSE(schedule.TakeReturn(RequestId("r2"), At(0) + delay));
  EXPECT_TRUE(schedule.TakeReturn(RequestId("r1"), At(0) + delay));
  EXPECT_FALSE(schedule.TakeReturn(RequestId("r1"), At(0) + delay));
  schedule.Next(refused, 0.5, At(0));
  EXPECT_FALSE(schedule.TakeReturn(RequestId("r1"), At(10)));
}

// Guards against returning callers that are refused a second time because all
// come back after the same second, while the overload lasts.
TEST(ReturnScheduleTest, ScheduledReturnsAreServedMoreOftenInOverload) {
  auto classes = ThreeClasses(0.9, 12 * 16);
  classes[0].accounts["a"] = Burst(classes[0].accounts["a"](0), 5, 13, 3.0);
  std::int64_t served[2] = {0, 0};
  int index = 0;
  for (const auto how : {PoolSimulation::Return::kAfterASecond,
                         PoolSimulation::Return::kScheduled}) {
    PoolSimulation simulation(SimulatedOrder::kAdmission, 4, 12, 16);
    simulation.SetReturn(how);
    simulation.Run(classes, 20);
    const bool scheduled = how == PoolSimulation::Return::kScheduled;
    Print(scheduled ? "burst of chats, returns scheduled"
                    : "burst of chats, returns after a second",
          simulation, {"chat", "tag", "draft"});
    const auto chat = simulation.Outcome("chat");
    std::cout << "  chats served on return " << chat.served_on_return << "\n";
    served[index++] = chat.in_time + chat.late;
  }
  EXPECT_GE(served[1], served[0]);
}

}  // namespace
}  // namespace dotterellug
