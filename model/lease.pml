/*
 * Leases of one entry VM under two control leaders. Time advances for all timers together. Revision 2 puts an
 * upstream into the state draining.
 *
 * Invariants:
 *   ConfigInForce        once revision 2 is reported as in force, the entry VM never serves revision 1.
 *   LeavingGetsNoWork    the same fact seen from the upstream: no new work after in force.
 *   NeverReverts         the entry VM never serves an older revision than it served before, also across a restart.
 *
 * Mutants, each of which must violate an invariant:
 *   NO_GRACE            a new leader ignores leases that its predecessor granted.
 *   LEASE_FROM_RECEIPT  the VM counts its lease from the receipt of the reply.
 *   NO_BARRIER          a deposed leader grants leases without asking a quorum.
 *   LAPSED_RENEWS       a lapsed lease is renewed with a view older than the current revision.
 */

#define LEASE 2
#define MAX_TIME 7
#define MAX_INSTANCE 3

byte now = 0;

/* Leaders: 1 leads first; 2 may take over. */
byte leader = 1;
byte leaseEnd[3];               /* index 1 and 2: end of the lease or of the grace period by that leader's record */
byte appliedAt[3];              /* revision that the VM has reported to that leader */
bool granted[3];                /* that leader has granted a lease to the current instance */

/* Replicated state. */
byte accepted = 1;
byte instance = 1;              /* current instance of the VM; 0 after it was removed */
byte lastInstance = 1;
byte lagging = 1;               /* revision of a control member that lags behind */
bool inForce = false;

/* The entry VM. */
byte vmInstance = 1;            /* 0: must join */
byte vmRevision = 1;
byte vmLeaseEnd = 0;
byte highestServed = 0;

/* One renewal in the network. */
bool requested = false;
byte sentAt;
byte sentRevision;
byte sentInstance;
bool replied = false;

/* A lease that is not running at this leader begins only on the current revision. */
#ifdef LAPSED_RENEWS
#define MAY_GRANT true
#else
#define MAY_GRANT ((granted[leader] && now < leaseEnd[leader]) || sentRevision == accepted)
#endif

active proctype System() {
  do
  /* Time passes. */
  :: atomic { now < MAX_TIME -> now++ }

  /* The VM asks for a renewal; the request may be lost. */
  :: atomic {
       vmInstance != 0 && !requested && !replied ->
       requested = true; sentAt = now; sentRevision = vmRevision; sentInstance = vmInstance
     }
  :: atomic { requested -> requested = false }

  /* A leader grants it to the current instance. Only the current leader passes the read barrier. */
#ifdef NO_BARRIER
  :: atomic { requested && leader == 2 -> requested = false; replied = true }
#endif
  :: atomic {
       requested && sentInstance == instance && MAY_GRANT ->
       requested = false; replied = true;
       leaseEnd[leader] = now + LEASE; appliedAt[leader] = sentRevision; granted[leader] = true
     }
  :: atomic { requested && sentInstance != instance -> requested = false; vmInstance = 0; vmLeaseEnd = 0 }

  /* The VM receives the grant, or it is lost. */
  :: atomic {
       replied -> replied = false;
       if
#ifdef LEASE_FROM_RECEIPT
       :: vmInstance == sentInstance -> vmLeaseEnd = now + LEASE
#else
       :: vmInstance == sentInstance -> vmLeaseEnd = sentAt + LEASE
#endif
       :: vmInstance != sentInstance -> skip
       fi
     }
  :: atomic { replied -> replied = false }

  /* The VM fetches the view with a quorum read. */
  :: atomic { vmInstance != 0 && vmRevision < accepted -> vmRevision = accepted }

  /* An operator's change is accepted. */
  :: atomic { accepted == 1 -> accepted = 2 }
  :: atomic { lagging < accepted -> lagging = accepted }

  /* The other leader takes over. The grace period covers every lease of its predecessor. */
  :: atomic {
       leader == 1 -> leader = 2;
       appliedAt[2] = 0;
#ifdef NO_GRACE
       leaseEnd[2] = 0
#else
       leaseEnd[2] = now + LEASE
#endif
     }

  /* The leader removes an instance whose lease has lapsed through the log. */
  :: atomic { instance != 0 && leaseEnd[leader] <= now -> instance = 0 }

  /* The leader reports revision 2 as in force. */
  :: atomic {
       accepted == 2 && !inForce && (appliedAt[leader] == 2 || leaseEnd[leader] <= now) -> inForce = true
     }

  /* The VM serves a request under its lease. */
  :: atomic {
       vmInstance != 0 && now < vmLeaseEnd ->
       assert(!(inForce && vmRevision < 2));
       assert(vmRevision >= highestServed);
       highestServed = vmRevision
     }

  /* The VM crashes: no lease; renewals in the network belong to the old instance. */
  :: atomic { vmInstance != 0 -> vmInstance = 0; vmLeaseEnd = 0; requested = false; replied = false }

  /* The VM joins as a new instance. Its first view may come from a member that lags behind: the first lease begins
     only on the current revision. */
  :: atomic {
       vmInstance == 0 && lastInstance < MAX_INSTANCE ->
       lastInstance++;
       instance = lastInstance; vmInstance = lastInstance;
       requested = false; replied = false;
       leaseEnd[leader] = now + LEASE; appliedAt[leader] = 0; granted[leader] = false;
       vmRevision = lagging
     }
  :: atomic { timeout -> break }
  od
}
