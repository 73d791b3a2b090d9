/*
 * The replicated log: elections, appends and commits of three members that can crash and whose disks can be wiped. A
 * request and its reply are one atomic step; a lost message is a step that does not happen.
 *
 * Invariants:
 *   ElectionSafety    at most one leader per term.
 *   DurableCommit     a committed entry is in the log of every later leader.
 *
 * Mutants, each of which must violate an invariant:
 *   VOTE_NOT_SYNCED   a member that crashes forgets its vote.
 *   COUNT_OLD_TERM    a leader commits an entry of an earlier term by counting replicas.
 *   ACK_BEFORE_SYNC   a member acknowledges an entry before it is synced, so that a crash can lose it.
 *   EMPTY_VOTES       a member whose disk was wiped continues to vote under its old identity.
 *   UNCONFIRMED_CHANGE  the leader promotes a learner to a voter before the other voter has the change.
 *   NO_LOG_CHECK      a member votes for a candidate whose log is less up-to-date than its own.
 */

#define N 3
#ifndef MAX_TERM
#define MAX_TERM 4
#endif
#define MAX_LEN 2

typedef Member {
  byte term;
  byte voted;                   /* 0: none; otherwise candidate + 1 */
  byte length;
  byte log[MAX_LEN];            /* term of each entry */
  byte synced;                  /* entries that survive a crash */
  byte commit;
  bool isLeader;
  bool voter;                   /* false: learner, which has no vote */
};

Member m[N];
byte leaderOf[MAX_TERM + 1];    /* 0: none; otherwise member + 1 */
byte committedTerm[MAX_LEN];    /* 0: not committed */
byte wipes = 0;

#define stepDown(x, t) m[x].term = t; m[x].voted = 0; m[x].isLeader = false

#define LAST(x) (m[x].length == 0 -> 0 : m[x].log[m[x].length - 1])
#define UP_TO_DATE(c, v) (LAST(c) > LAST(v) || (LAST(c) == LAST(v) && m[c].length >= m[v].length))
#ifdef NO_LOG_CHECK
#define LOG_OK(c, v) true
#else
#define LOG_OK(c, v) UP_TO_DATE(c, v)
#endif

/* A leader counts replicas only of entries of its own term. */
#ifdef COUNT_OLD_TERM
#define MAY_COUNT(c) true
#else
#define MAY_COUNT(c) (m[c].log[m[c].length - 1] == m[c].term)
#endif

/* The other voter w has the leader's log up to the change. */
#ifdef UNCONFIRMED_CHANGE
#define CONFIRMS(w, c) true
#else
#define CONFIRMS(w, c) (m[w].term == m[c].term && m[w].length == m[c].length && LAST(w) == LAST(c))
#endif

/* CAN_VOTE reports whether v grants its vote to candidate c in the new term t. */
#define CAN_VOTE(v, c, t) (m[v].voter && (m[v].term < t || (m[v].term == t && (m[v].voted == 0 || m[v].voted == c + 1))) && LOG_OK(c, v))

active proctype System() {
  byte c, v, i;
  m[0].voter = true; m[1].voter = true; m[2].voter = true;
  do
  /* Member c campaigns in the next term and gets the vote of one other voter; two of three are a quorum. */
  :: atomic {
       select(c : 0 .. 2); select(v : 0 .. 2);
       if
       :: c != v && m[c].voter && m[c].term < MAX_TERM && CAN_VOTE(v, c, m[c].term + 1) ->
          i = m[c].term + 1;
          stepDown(c, i); m[c].voted = c + 1;
          if
          :: m[v].term < i -> stepDown(v, i)
          :: else -> skip
          fi;
          m[v].voted = c + 1;
          if
          :: assert(leaderOf[i] == 0 || leaderOf[i] == c + 1);
             leaderOf[i] = c + 1; m[c].isLeader = true;
             m[c].synced = m[c].length;
             i = 0;
             do
             :: i < MAX_LEN ->
                assert(committedTerm[i] == 0 || (m[c].length > i && m[c].log[i] == committedTerm[i]));
                i++
             :: else -> break
             od
          :: skip               /* the vote reply is lost */
          fi
       :: else -> skip
       fi;
       i = 0; c = 0; v = 0
     }

  /* Member c campaigns without getting a vote, which only increments its own term. */
  :: atomic {
       select(c : 0 .. 2);
       if
       :: m[c].voter && m[c].term < MAX_TERM && !m[c].isLeader -> stepDown(c, m[c].term + 1); m[c].voted = c + 1
       :: else -> skip
       fi;
       c = 0
     }

  /* A leader appends one entry. */
  :: atomic {
       select(c : 0 .. 2);
       if
       :: m[c].isLeader && m[c].length < MAX_LEN ->
          m[c].log[m[c].length] = m[c].term; m[c].length++; m[c].synced = m[c].length
       :: else -> skip
       fi;
       c = 0
     }

  /* Leader c replicates its whole log to v, which syncs and acknowledges it; c then commits the log. */
  :: atomic {
       select(c : 0 .. 2); select(v : 0 .. 2);
       if
       :: c != v && m[c].isLeader && m[v].term <= m[c].term && m[c].length > 0 ->
          if
          :: m[v].term < m[c].term -> stepDown(v, m[c].term)
          :: else -> skip
          fi;
          for (i : 0 .. MAX_LEN - 1) { m[v].log[i] = m[c].log[i] };
          m[v].length = m[c].length;
#ifdef ACK_BEFORE_SYNC
          if
          :: m[v].synced > m[v].length -> m[v].synced = m[v].length
          :: else -> skip
          fi;
#else
          m[v].synced = m[v].length;
#endif
          if
          :: m[v].voter && MAY_COUNT(c) ->
             for (i : 0 .. MAX_LEN - 1) {
               if
               :: i < m[c].length ->
                  assert(committedTerm[i] == 0 || committedTerm[i] == m[c].log[i]);
                  committedTerm[i] = m[c].log[i]
               :: else -> skip
               fi
             };
             m[c].commit = m[c].length
          :: else -> skip
          fi;
          /* A learner that has synced the log is promoted to a voter, by a change that the other voter has. */
          if
          :: !m[v].voter && m[c].commit == m[c].length && CONFIRMS(3 - c - v, c) -> m[v].voter = true
          :: else -> skip
          fi
       :: else -> skip
       fi;
       i = 0; c = 0; v = 0
     }

  /* A member crashes: it loses its unsynced entries and its leadership. */
  :: atomic {
       select(c : 0 .. 2);
       m[c].isLeader = false;
       m[c].length = m[c].synced;
       i = m[c].length;
       do
       :: i < MAX_LEN -> m[c].log[i] = 0; i++
       :: else -> break
       od;
       m[c].commit = 0;
#ifdef VOTE_NOT_SYNCED
       m[c].voted = 0;
#endif
       i = 0; c = 0
     }

  /* The disk of a member is wiped while all three members are voters. The member has no vote until it is promoted. */
  :: atomic {
       wipes < 2 && m[0].voter && m[1].voter && m[2].voter ->
       select(c : 0 .. 2);
       wipes++;
       m[c].isLeader = false; m[c].length = 0; m[c].synced = 0; m[c].commit = 0;
       m[c].term = 0; m[c].voted = 0;
       for (i : 0 .. MAX_LEN - 1) { m[c].log[i] = 0 };
#ifndef EMPTY_VOTES
       m[c].voter = false;
#endif
       i = 0; c = 0
     }
  od
}

