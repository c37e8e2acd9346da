/* Ownership and shares: terms, barrier, registration, fencing, decreases.
 *
 * Processes 0 and 1 are members and may own the shard; process 2 registers
 * while the model runs. The whole limit is 2 units; what a live member holds
 * and what an acting owner has in its pool can be spent at any time.
 *
 * Messages are slots that stay filled after a delivery: a message may arrive
 * late, repeatedly, in another order than sent, or never. A process that takes
 * no step is paused. A store response is lost when the process takes another
 * step instead of continuing; the next read then shows the effect.
 *
 * Each macro NO_... leaves one guard out; an assertion must then fail. */

#define WHOLE 2
#define AT(o, m) ((o) * 3 + (m))
#ifndef MAXTERM
#define MAXTERM 2
#endif
#ifndef MAXDEATHS
#define MAXDEATHS 1
#endif
#ifndef MAXCHANGES
#define MAXCHANGES 1
#endif

/* Store object owner/<shard>. */
byte store_owner = 0;
byte store_term = 1;
bool store_member[3];

/* Members: acknowledged term, share, last change applied in that term. */
bool alive[3];
bool registered[3];
byte term[3];
byte share[3];
byte applied[3];
byte read_term[3];

/* Owners: term owned (0: none), whether the barrier is complete, free pool. */
byte owned[2];
bool acting[2];
byte pool[2];

/* Table of owner o for member m, and the last change sent. */
bool reported[6];
byte held[6];
byte sequence[6];
bool unanswered[6];
byte change_share[6];
byte change_term[6];

byte deaths = 0;

#define SPENDABLE(m) (alive[m] -> share[m] : 0)
#define POOL(o) (alive[o] && acting[o] -> pool[o] : 0)
#define SUM_HOLDS \
  (SPENDABLE(0) + SPENDABLE(1) + SPENDABLE(2) + POOL(0) + POOL(1) <= WHOLE)

/* What nobody holds is free. The table can count more than the whole: a member
 * that reported and died may have been reclaimed by the former owner as well,
 * which gave its share away before it acknowledged. Adding a dead member's
 * share to the pool would then count it twice. */
inline recount(o) {
  pool[o] = (held[AT(o, 0)] + held[AT(o, 1)] + held[AT(o, 2)] <= WHOLE ->
             WHOLE - held[AT(o, 0)] - held[AT(o, 1)] - held[AT(o, 2)] : 0)
}

inline stop_owning(o) {
  owned[o] = 0;
  acting[o] = false;
  pool[o] = 0
}

inline acknowledge(m, t) {
  term[m] = t;
  applied[m] = 0;
  if
  :: m < 2 ->
     if
     :: owned[m] != 0 && owned[m] < t -> stop_owning(m)
     :: else
     fi
  :: else
  fi
}

inline clear_table(o) {
  c = 0;
  do
  :: c < 3 ->
     reported[AT(o, c)] = false;
     held[AT(o, c)] = 0;
     sequence[AT(o, c)] = 0;
     unanswered[AT(o, c)] = false;
     c++
  :: else -> break
  od;
  c = 0
}

#define READY(o, m) (!store_member[m] || reported[AT(o, m)] || !alive[m])

proctype Owner(byte o) {
  byte m = 0;
  byte c = 0;
end:
  do
  /* Takeover: the conditional update succeeds on the present record. */
  :: d_step { alive[o] && registered[o] && owned[o] == 0 &&
              store_term < MAXTERM && store_owner != o ->
       store_owner = o;
       store_term++;
       clear_table(o);
       acknowledge(o, store_term);
       owned[o] = store_term;
       reported[AT(o, o)] = true;
       held[AT(o, o)] = share[o]
     }
  /* Barrier complete: what nobody holds is free. */
  :: d_step { alive[o] && owned[o] != 0 && !acting[o] &&
#ifndef NO_BARRIER
              READY(o, 0) && READY(o, 1) && READY(o, 2) &&
#endif
              true ->
       acting[o] = true;
       recount(o);
       assert(SUM_HOLDS)
     }
  :: m = (m + 1) % 3
  /* Announcement and acknowledgement. */
  :: d_step { alive[o] && owned[o] != 0 && alive[m] && registered[m] &&
              term[m] < owned[o] -> acknowledge(m, owned[o]) }
  /* The member's report arrives; its holding is still the same. */
  :: d_step { alive[o] && owned[o] != 0 && alive[m] && term[m] == owned[o] &&
              !reported[AT(o, m)] ->
       reported[AT(o, m)] = true;
       held[AT(o, m)] = share[m]
     }
  /* An increase counts as held before it is sent. */
  :: d_step { alive[o] && acting[o] && pool[o] > 0 && reported[AT(o, m)] &&
              !unanswered[AT(o, m)] && sequence[AT(o, m)] < MAXCHANGES ->
       pool[o]--;
       held[AT(o, m)]++;
       sequence[AT(o, m)]++;
       unanswered[AT(o, m)] = true;
       change_share[AT(o, m)] = held[AT(o, m)];
       change_term[AT(o, m)] = owned[o]
     }
  /* A decrease counts when it is acknowledged. */
  :: d_step { alive[o] && acting[o] && held[AT(o, m)] > 0 &&
              reported[AT(o, m)] && !unanswered[AT(o, m)] &&
              sequence[AT(o, m)] < MAXCHANGES ->
       sequence[AT(o, m)]++;
       unanswered[AT(o, m)] = true;
       change_share[AT(o, m)] = held[AT(o, m)] - 1;
       change_term[AT(o, m)] = owned[o];
#ifdef NO_DECREASE_ACK
       pool[o]++;
       held[AT(o, m)]--;
       assert(SUM_HOLDS);
#endif
       skip
     }
  :: d_step { alive[o] && owned[o] != 0 && unanswered[AT(o, m)] && alive[m] &&
              term[m] == owned[o] && applied[m] == sequence[AT(o, m)] ->
       unanswered[AT(o, m)] = false;
       if
       :: change_share[AT(o, m)] < held[AT(o, m)] ->
          held[AT(o, m)] = change_share[AT(o, m)];
          recount(o)
       :: else
       fi;
       assert(SUM_HOLDS)
     }
  /* A member is confirmed gone. */
  :: d_step { alive[o] && acting[o] && !alive[m] && reported[AT(o, m)] ->
#ifdef NO_RECOUNT
       pool[o] = pool[o] + held[AT(o, m)];
       held[AT(o, m)] = 0;
#else
       held[AT(o, m)] = 0;
       recount(o);
#endif
       reported[AT(o, m)] = false;
       unanswered[AT(o, m)] = false;
       assert(SUM_HOLDS)
     }
  od
}

#ifdef NO_TERM_CHECK
#define OBEYS(m, t) true
#else
#define OBEYS(m, t) (t == term[m])
#endif

#define SUCCESSOR_ACTS(t) \
  ((alive[0] && acting[0] && owned[0] > t) || \
   (alive[1] && acting[1] && owned[1] > t))

proctype Member(byte m) {
  byte o = 0;
end:
  do
  :: o = 1 - o
  /* A change arrives. */
  :: d_step { alive[m] && change_term[AT(o, m)] != 0 &&
              OBEYS(m, change_term[AT(o, m)]) &&
              (change_term[AT(o, m)] != term[m] ||
               sequence[AT(o, m)] > applied[m]) ->
       /* One owner's commands at a time. */
       assert(!SUCCESSOR_ACTS(change_term[AT(o, m)]));
       share[m] = change_share[AT(o, m)];
       applied[m] = sequence[AT(o, m)];
       assert(SUM_HOLDS)
     }
  /* Registration is a conditional update of the record that was read. */
  :: d_step { alive[m] && !registered[m] ->
       read_term[m] = store_term;
#ifdef NO_REGISTRATION
       if
       :: term[m] < read_term[m] -> acknowledge(m, read_term[m])
       :: else
       fi;
#endif
       skip
     }
  :: d_step { alive[m] && !registered[m] && read_term[m] == store_term ->
       store_member[m] = true;
       registered[m] = true;
       if
       :: store_term > term[m] -> acknowledge(m, store_term)
       :: else
       fi
     }
  :: d_step { alive[m] && deaths < MAXDEATHS ->
       deaths++;
       alive[m] = false;
       if
       :: m < 2 -> stop_owning(m)
       :: else
       fi
     }
  od
}

init {
  d_step {
    alive[0] = true; alive[1] = true; alive[2] = true;
    store_member[0] = true; store_member[1] = true;
    registered[0] = true; registered[1] = true;
    term[0] = 1; term[1] = 1;
    /* Process 0 owns the shard; process 1 holds one of the two units. */
    owned[0] = 1; acting[0] = true; pool[0] = 1;
    reported[AT(0, 0)] = true; reported[AT(0, 1)] = true;
    share[1] = 1; held[AT(0, 1)] = 1
  }
  atomic {
    run Owner(0); run Owner(1);
    run Member(0); run Member(1); run Member(2)
  }
}
