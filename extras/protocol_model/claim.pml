/* One claim key, called by claimants 1 and 2, with possible owners 0 and 1 and
 * a third member 2. A write to the log is a slot that may take effect late,
 * also after its owner died; a store outage is that store steps do not happen.
 * Reads may be stale. At most one claimant may run.
 *
 * Each macro NO_... leaves one guard out; the assertion must then fail. */

#ifndef MAXDEATHS
#define MAXDEATHS 2
#endif
#ifndef MAXWRITES
#define MAXWRITES 4
#endif

/* The log: version, the claim in it (0: none), and the one before. */
byte version = 1;
byte log_claim = 0;
byte old_claim = 0;

bool alive[3] = true;
byte term[3] = 1;    /* acknowledged terms */
byte kept[3] = 0;    /* copies kept for owners */
bool told[3] = false; /* acknowledged the takeover with its copies */

byte owned[2] = 0;
bool active_owner[2] = false;
bool fenced[2] = false;
bool has_read[2] = false;
byte seen[2] = 0;    /* version last read */
byte claim[2] = 0;   /* claim in the owner's table */
bool durable[2] = false;
bool unknown[2] = false;

/* Write slot of each owner: 0 none, 1 in flight, 2 done. */
byte write_state[2] = 0;
byte write_expected[2] = 0;
byte write_claim[2] = 0;

bool ran[3] = false;
byte runs = 0;
byte deaths = 0;
bool taken_over = false;

inline adopt(o) {
  /* What the log contains replaces what was not granted yet. */
  if
  :: log_claim != 0 && !durable[o] -> claim[o] = log_claim; durable[o] = true
  :: else
  fi
}

proctype Owner(byte o) {
  byte m;
end:
  do
  /* Read of the log, after the barrier; fresh, or one version old. */
  :: d_step { alive[o] && active_owner[o] && write_state[o] != 1 ->
       has_read[o] = true; seen[o] = version; adopt(o) }
  :: d_step { alive[o] && active_owner[o] && !has_read[o] && version > 1 ->
       has_read[o] = true; seen[o] = version - 1;
       if
       :: old_claim != 0 && !durable[o] -> claim[o] = old_claim; durable[o] = true
       :: else
       fi }
  /* Conditional write of the table; also the fence when there is no claim. */
  :: d_step { alive[o] && active_owner[o] && has_read[o] &&
              write_state[o] == 0 && version < MAXWRITES &&
              (!fenced[o] || (claim[o] != 0 && !durable[o])) ->
       write_state[o] = 1; write_expected[o] = seen[o];
       write_claim[o] = claim[o] }
  /* The response; when it is lost, the owner stays without it. */
  :: d_step { alive[o] && active_owner[o] && write_state[o] == 2 ->
       write_state[o] = 0;
       fenced[o] = true;
       seen[o] = write_expected[o] + 1;
       if
       :: write_claim[o] == claim[o] && claim[o] != 0 -> durable[o] = true
       :: else
       fi }
  :: d_step { alive[o] && active_owner[o] && write_state[o] == 3 ->
       write_state[o] = 0; seen[o] = version; adopt(o) }
  /* Outage mode. */
  :: atomic { alive[o] && active_owner[o] && has_read[o] &&
#ifndef NO_FENCE
              fenced[o] &&
#endif
              claim[o] != 0 && !durable[o] ->
       select(m : 0 .. 2);
       if
       :: m != o && alive[m] &&
#ifndef NO_TERM_CHECK
          term[m] == owned[o] &&
#endif
          true ->
          kept[o] = claim[o];
#ifndef NO_COUNTERSIGNATURE
          kept[m] = claim[o];
#endif
          durable[o] = true
       :: else
       fi }
  od
}

/* Claims and grants; grants are delivered any number of times. */
proctype Claimant(byte c) {
  byte o = 0;
end:
  do
  :: o = 1 - o
  :: d_step { alive[o] && active_owner[o] && has_read[o] && claim[o] == 0 &&
              !unknown[o] && version < MAXWRITES -> claim[o] = c }
  :: d_step { alive[o] && active_owner[o] && claim[o] == c && durable[o] &&
#ifdef NO_CLAIMANT_ONCE
              runs < 2 ->
#else
              !ran[c] ->
#endif
       ran[c] = true; runs++; assert(runs <= 1) }
  od
}

proctype Store() {
  byte o = 0;
end:
  do
  :: o = 1 - o
  :: d_step { write_state[o] == 1 &&
#ifdef NO_CONDITIONAL_WRITE
              true
#else
              write_expected[o] == version
#endif
              ->
       old_claim = log_claim;
       log_claim = write_claim[o];
       version++;
       write_state[o] = 2 }
#ifndef NO_CONDITIONAL_WRITE
  :: d_step { write_state[o] == 1 && write_expected[o] != version ->
       write_state[o] = 3 }
#endif
  od
}

/* Process 1 takes the shard over. */
#define READY(m) (told[m] || !alive[m])

proctype Takeover() {
  byte m;
  byte missing;
end:
  do
  :: d_step { alive[1] && !taken_over ->
       taken_over = true; term[1] = 2; owned[1] = 2; told[1] = true;
       claim[1] = kept[1]; durable[1] = (kept[1] != 0) }
  /* A member acknowledges with its copies; the former owner stops. */
  :: atomic { taken_over && alive[1] && !active_owner[1] ->
       m = 0;
       if
       :: m = 0
       :: m = 2
       fi;
       if
       :: alive[m] && !told[m] ->
          term[m] = 2;
          told[m] = true;
          if
          :: kept[m] != 0 -> claim[1] = kept[m]; durable[1] = true
          :: else
          fi;
          if
          :: m == 0 -> active_owner[0] = false
          :: else
          fi
       :: else
       fi }
  :: d_step { taken_over && alive[1] && !active_owner[1] &&
#ifndef NO_BARRIER
              READY(0) && READY(2) &&
#endif
              true ->
       missing = (told[0] -> 0 : 1) + (told[2] -> 0 : 1);
#ifndef NO_UNKNOWN
       unknown[1] = (missing >= 2);
#endif
       active_owner[1] = true; has_read[1] = false; fenced[1] = false }
  :: d_step { deaths < MAXDEATHS && alive[0] -> alive[0] = false; deaths++ }
  :: d_step { deaths < MAXDEATHS && alive[2] -> alive[2] = false; deaths++ }
  od
}

init {
  d_step {
    owned[0] = 1; active_owner[0] = true; has_read[0] = true;
    fenced[0] = true; seen[0] = 1
  }
  atomic {
    run Owner(0); run Owner(1); run Store(); run Takeover();
    run Claimant(1); run Claimant(2)
  }
}
