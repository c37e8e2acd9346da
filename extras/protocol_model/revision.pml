/* Configuration revisions: two editors, the head object, two daemons.
 * Responses are lost, reads are stale, peer messages are repeated and
 * reordered. A daemon's revision never reverts, no committed edit is lost and
 * none is applied twice. Each macro NO_... leaves one guard out. */

#define MAXREVISION 4

byte head = 0;          /* revision number in config/head */
byte edit_of[5];        /* edit id of each revision on the chain */
byte count[3];          /* times that edit 1 or 2 is on the chain */
bool committed[3];      /* the editor was told, or found, that it is in force */
byte in_force[2];       /* revision of each daemon */
byte writes = 0;

proctype Editor(byte id) {
  byte base = 0;
  bool uncertain = false;
  do
  :: d_step { !committed[id] -> base = head;
#ifndef NO_RECOGNITION
       if
       :: uncertain && count[id] > 0 -> committed[id] = true
       :: else
       fi;
#endif
       uncertain = false }
  /* The update of the head; its response arrives or is lost. */
  :: atomic { !committed[id] && !uncertain && writes < MAXREVISION &&
#ifdef NO_CONDITIONAL_WRITE
              true
#else
              head == base
#endif
              ->
       d_step {
         writes++;
         /* An unconditional update replaces what came after the base. */
         do
         :: head > base ->
            count[edit_of[head]] = count[edit_of[head]] - 1;
            head--
         :: else -> break
         od;
         head = base + 1;
         edit_of[head] = id;
         count[id]++;
         assert(count[id] <= 1);
         assert(!committed[3 - id] || count[3 - id] == 1)
       };
       if
       :: committed[id] = true
       :: uncertain = true
       fi }
  :: committed[id] -> break
  :: writes >= MAXREVISION -> break
  od
}

/* A daemon learns a revision from the store, maybe from a stale read, or from
 * the other daemon, maybe from an old message. */
proctype Daemon(byte d) {
  byte heard = 0;
  byte before;
end:
  do
  :: heard = head
  :: heard > 0 -> heard--
  :: heard = in_force[1 - d]
  :: d_step { true ->
       before = in_force[d];
       if
#ifdef NO_MONOTONIC
       :: true -> in_force[d] = heard
#else
       :: heard > in_force[d] -> in_force[d] = heard
       :: else
#endif
       fi;
       assert(in_force[d] >= before) }
  od
}

init {
  atomic { run Editor(1); run Editor(2); run Daemon(0); run Daemon(1) }
}
