/* Token transfers between two holders of one limit: burst 4, rate 2 per tick,
 * half of it each. The request has been made; the grant may be delivered late,
 * repeatedly or never. What can be spent at one moment must stay within the
 * burst. NO_TRANSFER_ID and NO_DECAY leave one guard out. */

#define BURST 4
#define CAPACITY 2
#define AMOUNT 2
#ifndef MAXTICKS
#define MAXTICKS 6
#endif

byte level[2] = CAPACITY;
byte borrowed = 0;
bool deducted = false;
bool requested = false;
bool taken = false;
byte age = 0;
byte ticks = 0;

#define CHECK assert(level[0] + level[1] + borrowed <= BURST)

/* The requester is holder 1. */
active proctype Transfer() {
end:
  do
  :: d_step { !requested -> requested = true; age = 0 }
  /* The giver deducts before it sends; a repeated request gets the same
   * answer without another deduction. */
  :: d_step { requested && !deducted && level[0] >= AMOUNT ->
       level[0] = level[0] - AMOUNT;
       deducted = true }
#ifdef NO_TRANSFER_ID
  :: d_step { deducted && borrowed + level[0] + level[1] <= BURST ->
#else
  :: d_step { deducted && !taken ->
#endif
       taken = true;
       if
#ifdef NO_DECAY
       :: true -> borrowed = borrowed + AMOUNT
#else
       :: 2 * age < AMOUNT -> borrowed = borrowed + AMOUNT - 2 * age
       :: else
#endif
       fi;
       CHECK }
  od
}

active proctype Time() {
end:
  do
  :: d_step { ticks < MAXTICKS ->
       ticks++;
       if
       :: requested && age < 2 -> age++
       :: else
       fi;
       if
       :: level[0] < CAPACITY -> level[0]++
       :: else
       fi;
       if
       :: level[1] < CAPACITY -> level[1]++
       :: else
       fi;
#ifndef NO_DECAY
       borrowed = (borrowed >= 2 -> borrowed - 2 : 0);
#endif
       CHECK }
  od
}

active proctype Spend() {
end:
  do
  :: d_step { level[0] > 0 -> level[0]-- }
  :: d_step { level[1] > 0 -> level[1]-- }
  :: d_step { borrowed > 0 -> borrowed-- }
  od
}
