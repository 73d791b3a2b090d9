/*
 * One booking key, two entry VMs that take (re)sends of the request, one owner VM that can crash and come back as a
 * new instance, and one upstream.
 *
 * Invariants:
 *   AtMostOnce   the upstream runs the booking at most once.
 *   NotRunIsTrue an attempt that was reported as not run has not run and never will.
 *   DoneIsTrue   a booking that is reported as done has run.
 *
 * Mutants, each of which must violate an invariant:
 *   NO_TOMBSTONE     resolving an attempt that was never received leaves no mark, so a late copy still runs.
 *   NO_FENCE         an owner accepts attempts that were granted to an earlier instance.
 *   RESOLVE_ANY      a resend takes the answer of a newer owner instance for that of the granted instance.
 *   LOST_IS_NOT_RUN  a lost connection after the send counts as not run.
 *   REGRANT_UNKNOWN  an attempt with an unknown outcome is granted again.
 */

#define MAX_ATTEMPT 3
#define MAX_INSTANCE 3
#define ENTRIES 2

mtype = { NONE, OPEN, DONE, NOT_RUN, UNKNOWN };
mtype = { EMPTY, RUNNING, FINISHED, REFUSED };
mtype = { NO_REPLY, RAN, NOT_STARTED, LOST };

/* Replicated record of the key. */
mtype state = NONE;
byte attempt = 0;
byte granted = 0;               /* owner instance that the open attempt is granted to */

/* Owner VM. The table is lost in a crash. */
byte instance = 1;
mtype table[MAX_ATTEMPT + 1] = EMPTY;

/* Network: one copy of each attempt between entry VM and owner, delayed without bound or lost. */
bool inflight[MAX_ATTEMPT + 1];
byte addressed[MAX_ATTEMPT + 1]; /* instance that the copy is addressed to */
mtype reply[MAX_ATTEMPT + 1] = NO_REPLY;

/* History variables. */
byte runs = 0;
bool ran[MAX_ATTEMPT + 1];
bool toldNotRun[MAX_ATTEMPT + 1];

inline record(a, outcome) {
  if
  :: state == OPEN && attempt == a -> state = outcome
  :: else -> skip
  fi
}

inline reportNotRun(a) {
  toldNotRun[a] = true;
  assert(!ran[a])
}

proctype Entry() {
  byte mine;
  byte mineInstance;            /* owner instance that the attempt was granted to */
  byte tries = 0;
  mtype got;

again:
  if
  :: tries >= 2 -> goto end
  :: else -> tries++
  fi;
  atomic {
    if
    :: (state == NONE || state == NOT_RUN
#ifdef REGRANT_UNKNOWN
        || state == UNKNOWN
#endif
       ) && attempt < MAX_ATTEMPT ->
       attempt++;
       mine = attempt;
       state = OPEN;
       granted = instance;
       mineInstance = granted
    :: state == OPEN -> mine = attempt; goto resolve
    :: state == DONE -> assert(runs == 1); goto end
    :: else -> goto end
    fi
  };
  /* A crash here leaves an open intent that was never sent. */
  if
  :: goto end
  :: skip
  fi;
  atomic { inflight[mine] = true; addressed[mine] = mineInstance };
  /* A crash here leaves the copy in the network. */
  if
  :: goto end
  :: atomic { reply[mine] != NO_REPLY -> got = reply[mine] }
  :: atomic { got = LOST }      /* connection lost or deadline passed */
  fi;
  atomic {
    if
    :: got == RAN -> record(mine, DONE)
    :: got == NOT_STARTED -> record(mine, NOT_RUN); reportNotRun(mine)
#ifdef LOST_IS_NOT_RUN
    :: got == LOST -> record(mine, NOT_RUN); reportNotRun(mine)
#else
    :: got == LOST -> record(mine, UNKNOWN)
#endif
    fi
  };
  goto again;

resolve:
  atomic {
    if
    :: state != OPEN || attempt != mine -> goto again
#ifdef RESOLVE_ANY
    :: state == OPEN && attempt == mine ->
#else
    :: state == OPEN && attempt == mine && granted != instance -> record(mine, UNKNOWN); goto end
    :: state == OPEN && attempt == mine && granted == instance ->
#endif
       if
       :: table[mine] == RUNNING -> goto end
       :: table[mine] == FINISHED -> record(mine, DONE); goto again
       :: table[mine] == REFUSED -> record(mine, NOT_RUN); reportNotRun(mine); goto again
       :: table[mine] == EMPTY ->
#ifndef NO_TOMBSTONE
          table[mine] = REFUSED;
#endif
          record(mine, NOT_RUN); reportNotRun(mine);
          goto again
       fi
    fi
  };
end:
  skip
}

proctype Owner() {
  byte a;
  do
  :: atomic {
       /* A copy arrives. */
       select(a : 1 .. MAX_ATTEMPT);
       if
       :: inflight[a] ->
          inflight[a] = false;
          if
#ifdef NO_FENCE
          :: true ->
#else
          :: addressed[a] != instance -> reply[a] = LOST
          :: addressed[a] == instance ->
#endif
             if
             :: table[a] == EMPTY -> table[a] = RUNNING
             :: else -> reply[a] = NOT_STARTED
             fi
          fi
       :: else -> skip
       fi
     }
  :: atomic {
       /* The upstream runs or refuses a running attempt. */
       select(a : 1 .. MAX_ATTEMPT);
       if
       :: table[a] == RUNNING ->
          if
          :: !ran[a] -> runs++; ran[a] = true; assert(runs <= 1); assert(!toldNotRun[a])
          :: !ran[a] -> table[a] = REFUSED; reply[a] = NOT_STARTED
          :: ran[a] -> table[a] = FINISHED; reply[a] = RAN
          fi
       :: else -> skip
       fi
     }
  :: atomic {
       /* The owner crashes and returns with an empty table; replies in the network are lost. */
       instance < MAX_INSTANCE ->
       instance++;
       for (a : 1 .. MAX_ATTEMPT) { table[a] = EMPTY; if :: reply[a] != NO_REPLY -> reply[a] = LOST :: else -> skip fi }
     }
  :: atomic { timeout -> break }
  od
}

init {
  atomic {
    run Owner();
    run Entry();
    run Entry()
  }
}
