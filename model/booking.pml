/*
 * One booking key, two entry VMs that receive the request and its resends, one owner VM that can crash and restart as a
 * new instance, and one upstream.
 *
 * Invariants:
 *   AtMostOnce   the upstream runs the booking at most once.
 *   NotRunIsTrue an attempt that is reported as not run has not run and never will.
 *   DoneIsTrue   a booking that is reported as done has run.
 *
 * Mutants, each of which must violate an invariant:
 *   NO_TOMBSTONE     resolving an attempt that was never received leaves no tombstone, so a delayed copy still runs.
 *   NO_FENCE         an owner accepts attempts that were granted to an earlier instance.
 *   RESOLVE_ANY      a resend resolves the attempt with a newer owner instance instead of the one it was granted to.
 *   LOST_IS_NOT_RUN  a connection that is lost after the send is reported as not run.
 *   REGRANT_UNKNOWN  a booking whose last attempt has an unknown outcome is granted again.
 */

#define MAX_ATTEMPT 3
#define MAX_INSTANCE 3
#define ENTRIES 2

mtype = { NONE, OPEN, DONE, NOT_RUN, UNKNOWN };
mtype = { EMPTY, RUNNING, FINISHED, REFUSED };
mtype = { NO_REPLY, RAN, NOT_STARTED, LOST };

/* Replicated record of the booking key. */
mtype state = NONE;
byte attempt = 0;
byte granted = 0;               /* owner instance that the latest attempt is granted to */

/* Owner VM. A crash loses the table of attempts. */
byte instance = 1;
mtype table[MAX_ATTEMPT + 1] = EMPTY;

/* Network: one copy of each attempt between entry VM and owner, which may be delayed without bound or lost. */
bool copyInFlight[MAX_ATTEMPT + 1];
byte copyInstance[MAX_ATTEMPT + 1]; /* instance that the copy is addressed to */
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
  byte ownAttempt;
  byte ownInstance;             /* owner instance that this attempt was granted to */
  byte tries = 0;
  mtype result;

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
       ownAttempt = attempt;
       state = OPEN;
       granted = instance;
       ownInstance = granted
    :: state == OPEN -> ownAttempt = attempt; goto resolve
    :: state == DONE -> assert(runs == 1); goto end
    :: else -> goto end
    fi
  };
  /* A crash here leaves an open attempt that was never sent. */
  if
  :: goto end
  :: skip
  fi;
  atomic { copyInFlight[ownAttempt] = true; copyInstance[ownAttempt] = ownInstance };
  /* A crash here leaves the attempt in flight. */
  if
  :: goto end
  :: atomic { reply[ownAttempt] != NO_REPLY -> result = reply[ownAttempt] }
  :: atomic { result = LOST }   /* connection lost or deadline exceeded */
  fi;
  atomic {
    if
    :: result == RAN -> record(ownAttempt, DONE)
    :: result == NOT_STARTED -> record(ownAttempt, NOT_RUN); reportNotRun(ownAttempt)
#ifdef LOST_IS_NOT_RUN
    :: result == LOST -> record(ownAttempt, NOT_RUN); reportNotRun(ownAttempt)
#else
    :: result == LOST -> record(ownAttempt, UNKNOWN)
#endif
    fi
  };
  goto again;

resolve:
  atomic {
    if
    :: state != OPEN || attempt != ownAttempt -> goto again
#ifdef RESOLVE_ANY
    :: state == OPEN && attempt == ownAttempt ->
#else
    :: state == OPEN && attempt == ownAttempt && granted != instance -> record(ownAttempt, UNKNOWN); goto end
    :: state == OPEN && attempt == ownAttempt && granted == instance ->
#endif
       if
       :: table[ownAttempt] == RUNNING -> goto end
       :: table[ownAttempt] == FINISHED -> record(ownAttempt, DONE); goto again
       :: table[ownAttempt] == REFUSED -> record(ownAttempt, NOT_RUN); reportNotRun(ownAttempt); goto again
       :: table[ownAttempt] == EMPTY ->
#ifndef NO_TOMBSTONE
          table[ownAttempt] = REFUSED;
#endif
          record(ownAttempt, NOT_RUN); reportNotRun(ownAttempt);
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
       /* An attempt arrives. */
       select(a : 1 .. MAX_ATTEMPT);
       if
       :: copyInFlight[a] ->
          copyInFlight[a] = false;
          if
#ifdef NO_FENCE
          :: true ->
#else
          :: copyInstance[a] != instance -> reply[a] = LOST
          :: copyInstance[a] == instance ->
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
       /* The upstream runs or rejects an attempt that the owner has forwarded. */
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
       /* The owner crashes and restarts with an empty table; replies in flight are lost. */
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
