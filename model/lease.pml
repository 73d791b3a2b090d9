/*
 * Leases of one entry VM under two successive control leaders. All clocks advance together. Revision 2 sets an upstream
 * to draining.
 *
 * Invariants:
 *   ConfigInForce        once revision 2 is reported as in force, the entry VM never serves a request with revision 1.
 *   LeavingGetsNoWork    the same as seen by the upstream: it gets no new requests once revision 2 is in force.
 *   NeverReverts         the entry VM never serves an older revision than before, not even after a restart.
 *
 * Mutants, each of which must violate an invariant:
 *   NO_GRACE            a new leader ignores the leases that its predecessor granted.
 *   LEASE_FROM_RECEIPT  the VM starts its lease when it receives the reply instead of when it sent the request.
 *   NO_BARRIER          a deposed leader grants leases without a read barrier (confirmation by a quorum).
 *   LAPSED_RENEWS       an expired lease is renewed although the VM's view is older than the current revision.
 */

#define LEASE 2
#define MAX_TIME 7
#define MAX_INSTANCE 3

byte now = 0;

/* Leaders: 1 is the first leader; 2 may take over. */
byte leader = 1;
byte leaseEnd[3];               /* by leader: end of the lease or of the grace period as that leader knows it */
byte reportedRevision[3];       /* by leader: revision that the VM has reported to that leader */
bool granted[3];                /* by leader: that leader has granted a lease to the current instance */

/* Replicated state. */
byte accepted = 1;
byte instance = 1;              /* current instance of the VM; 0 after its removal */
byte lastInstance = 1;
byte laggingRevision = 1;       /* revision of a control member that is not up-to-date */
bool inForce = false;

/* Entry VM. */
byte vmInstance = 1;            /* 0: not joined */
byte vmRevision = 1;
byte vmLeaseEnd = 0;
byte highestServed = 0;

/* The renewal in flight, at most one. */
bool requested = false;
byte sentAt;
byte sentRevision;
byte sentInstance;
bool replied = false;

/* A leader renews a lease that it has granted and that has not expired; it grants a new one only if the VM reports the
   current revision. */
#ifdef LAPSED_RENEWS
#define MAY_GRANT true
#else
#define MAY_GRANT ((granted[leader] && now < leaseEnd[leader]) || sentRevision == accepted)
#endif

active proctype System() {
  do
  /* Time passes. */
  :: atomic { now < MAX_TIME -> now++ }

  /* The VM requests a renewal; the request may be lost. */
  :: atomic {
       vmInstance != 0 && !requested && !replied ->
       requested = true; sentAt = now; sentRevision = vmRevision; sentInstance = vmInstance
     }
  :: atomic { requested -> requested = false }

  /* A leader grants the renewal to the current instance. Only the current leader passes the read barrier. */
#ifdef NO_BARRIER
  :: atomic { requested && leader == 2 -> requested = false; replied = true }
#endif
  :: atomic {
       requested && sentInstance == instance && MAY_GRANT ->
       requested = false; replied = true;
       leaseEnd[leader] = now + LEASE; reportedRevision[leader] = sentRevision; granted[leader] = true
     }
  :: atomic { requested && sentInstance != instance -> requested = false; vmInstance = 0; vmLeaseEnd = 0 }

  /* The VM receives the reply, or the reply is lost. */
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

  /* The VM fetches the view with a linearizable read. */
  :: atomic { vmInstance != 0 && vmRevision < accepted -> vmRevision = accepted }

  /* An operator's change is committed. */
  :: atomic { accepted == 1 -> accepted = 2 }
  :: atomic { laggingRevision < accepted -> laggingRevision = accepted }

  /* The other leader takes over. Its grace period outlasts every lease that its predecessor granted. */
  :: atomic {
       leader == 1 -> leader = 2;
       reportedRevision[2] = 0;
#ifdef NO_GRACE
       leaseEnd[2] = 0
#else
       leaseEnd[2] = now + LEASE
#endif
     }

  /* The leader removes an instance whose lease has expired, through the replicated log. */
  :: atomic { instance != 0 && leaseEnd[leader] <= now -> instance = 0 }

  /* The leader reports revision 2 as in force. */
  :: atomic {
       accepted == 2 && !inForce && (reportedRevision[leader] == 2 || leaseEnd[leader] <= now) -> inForce = true
     }

  /* The VM serves a request under its lease. */
  :: atomic {
       vmInstance != 0 && now < vmLeaseEnd ->
       assert(!(inForce && vmRevision < 2));
       assert(vmRevision >= highestServed);
       highestServed = vmRevision
     }

  /* The VM crashes and loses its lease. Renewals in flight belong to the old instance and are dropped. */
  :: atomic { vmInstance != 0 -> vmInstance = 0; vmLeaseEnd = 0; requested = false; replied = false }

  /* The VM joins as a new instance. Its first view may come from a member that is not up-to-date, so the first lease is
     granted only on the current revision. */
  :: atomic {
       vmInstance == 0 && lastInstance < MAX_INSTANCE ->
       lastInstance++;
       instance = lastInstance; vmInstance = lastInstance;
       requested = false; replied = false;
       leaseEnd[leader] = now + LEASE; reportedRevision[leader] = 0; granted[leader] = false;
       vmRevision = laggingRevision
     }
  :: atomic { timeout -> break }
  od
}
