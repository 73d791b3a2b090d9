/*
 * Formation of a control group from its seeds, recovery of a VM with an empty disk, replacement of a VM, and a register
 * that keeps the highest version written. VMs 0 to 2 are the seeds; VM 3 may replace VM 1. Elections and replication
 * are single steps here: log.pml checks them in detail. A log is represented by its length, the term of its last entry
 * and the version in effect after it. At most one VM loses its disk, as many as three voters tolerate.
 *
 * Invariants:
 *   AckedSurvives   a leader has every acknowledged entry when it is elected.
 *   HighestWins     a linearizable read returns no version below one that was acknowledged before.
 *
 * Mutants, each of which must violate an invariant:
 *   WIPED_FOUNDS    a seed that lost its disk bootstraps the group again when it restarts, as at the first start.
 *   VOTES_EMPTY     a VM that restarts with an empty disk votes under its old identity.
 *   ONE_ADMITS      a leader replaces a VM without the consent of a majority of the members.
 *   LAST_WINS       a lower version replaces a higher one.
 */

#define VMS 4
#define NONE 255
#define MAX_LOG 3
#define MAX_TERM 3
#define MAX_LOSSES 1
#define MAX_VERSION 2

/* Disks. */
byte length[VMS];               /* number of entries in the log of the VM */
byte lastTerm[VMS];             /* term of the last entry */
byte version[VMS];              /* version in effect after the last entry */
byte config[VMS];               /* latest configuration in the log; 0: the seeds, 1: VM 3 instead of VM 1 */
byte votedTerm[VMS];
bool member[VMS];               /* the VM has an identity that is a member of the group */

/* Environment. */
bool lost[VMS];                 /* the VM has lost its disk and has not rejoined yet */
byte losses = 0;

byte leader = NONE;
byte term = 0;
byte acked = 0;                 /* number of acknowledged entries */
byte ackedTerm = 0;             /* term of the last acknowledged entry */
byte ackedVersion = 0;
bool replaced = false;

/* VOTER reports whether the VM is a voter of configuration c. */
#define VOTER(vm, c) ((vm) == 0 || (vm) == 2 || ((vm) == 1 && (c) == 0) || ((vm) == 3 && (c) == 1))
/* BEHIND reports whether the log of candidate c is at least as up-to-date as that of the VM. */
#define BEHIND(vm, c) (lastTerm[vm] < lastTerm[c] || (lastTerm[vm] == lastTerm[c] && length[vm] <= length[c]))
#define CAN_VOTE(vm, c) (VOTER(vm, c) && member[vm])

/* reachable is the set of VMs that can communicate, chosen nondeterministically for each step. */
bool reachable[VMS];
byte count;
byte i;

inline chooseReachable() {
  i = 0;
  do
  :: i < VMS -> if :: reachable[i] = true :: reachable[i] = false fi; i++
  :: else -> break
  od
}

/* resetScratch resets the variables that are used only within a single step, so that they do not add states. */
inline resetScratch() {
  count = 0; vm = 0;
  reachable[0] = false; reachable[1] = false; reachable[2] = false; reachable[3] = false;
  i = 0
}

inline elect(c) {
  /* The candidate needs the votes of a majority of the latest configuration in its log. A voter grants at most one vote
     per term, and only to a candidate whose log is at least as up-to-date as its own. */
  count = 0; i = 0;
  do
  :: i < VMS ->
     if :: (i == c || reachable[i]) && CAN_VOTE(i, config[c]) && votedTerm[i] <= term && BEHIND(i, c) -> count++ :: else fi;
     i++
  :: else -> break
  od;
  if
  :: count >= 2 ->
     term++;
     i = 0;
     do
     :: i < VMS ->
        if :: (i == c || reachable[i]) && CAN_VOTE(i, config[c]) && BEHIND(i, c) -> votedTerm[i] = term :: else fi;
        i++
     :: else -> break
     od;
     leader = c;
     assert(lastTerm[c] > ackedTerm || (lastTerm[c] == ackedTerm && length[c] >= acked))    /* AckedSurvives */
  :: else
  fi
}

/* replicate copies the leader's log to the reachable voters of configuration c and counts the voters that have it. */
inline replicate(c) {
  count = 0; i = 0;
  do
  :: i < VMS ->
     if
     :: (i == leader || reachable[i]) && CAN_VOTE(i, c) && votedTerm[i] <= term ->
        votedTerm[i] = term; length[i] = length[leader]; lastTerm[i] = lastTerm[leader]; version[i] = version[leader]; config[i] = config[leader]; count++
     :: else
     fi;
     i++
  :: else -> break
  od
}

inline write(v) {
  length[leader] = length[leader] + 1;
  lastTerm[leader] = term;
#ifdef LAST_WINS
  version[leader] = v;
#else
  version[leader] = (v > version[leader] -> v : version[leader]);
#endif
  replicate(config[leader]);
  if
  :: count >= 2 ->
     acked = length[leader]; ackedTerm = lastTerm[leader];
     ackedVersion = (v > ackedVersion -> v : ackedVersion)
  :: else
  fi
}

inline read() {
  replicate(config[leader]);
  if
  :: count >= 2 -> assert(version[leader] >= ackedVersion)   /* HighestWins */
  :: else
  fi
}

inline replaceVM() {
  /* VM 3 replaces VM 1, which does not respond. The change is an entry in the log. */
  length[leader] = length[leader] + 1;
  lastTerm[leader] = term;
  config[leader] = 1;
#ifdef ONE_ADMITS
  count = 2;
#else
  replicate(0);
#endif
  if
  :: count >= 2 ->
     replaced = true;
     member[3] = true;
     acked = length[leader]; ackedTerm = lastTerm[leader];
     length[3] = length[leader]; lastTerm[3] = lastTerm[leader]; version[3] = version[leader];
     config[3] = 1; votedTerm[3] = term
  :: else
     /* The entry remains in the leader's log; a later leader may lack it. */
     skip
  fi
}

inline rejoin(vm) {
  /* A VM that lost its disk is added under a new identity by a membership change, after it has copied the log. */
  replicate(config[leader]);
  if
  :: count >= 2 ->
     length[vm] = length[leader]; lastTerm[vm] = lastTerm[leader]; version[vm] = version[leader]; config[vm] = config[leader]; votedTerm[vm] = term; member[vm] = true; lost[vm] = false
  :: else
  fi
}

init {
  byte vm;
  atomic { member[0] = true; member[1] = true; member[2] = true };
  do
  :: atomic { term < MAX_TERM -> chooseReachable();
       if
       :: vm = 0 :: vm = 1 :: vm = 2 :: vm = 3
       fi;
       if :: CAN_VOTE(vm, config[vm]) && !lost[vm] -> elect(vm) :: else fi; resetScratch() }
  :: atomic { leader != NONE && !lost[leader] && length[leader] < MAX_LOG && votedTerm[leader] == term -> chooseReachable();
       if :: write(1) :: write(2) fi; resetScratch() }
  :: atomic { leader != NONE && !lost[leader] && votedTerm[leader] == term -> chooseReachable(); read(); resetScratch() }
  :: atomic { leader != NONE && leader != 1 && !lost[leader] && !replaced && config[leader] == 0 && length[leader] < MAX_LOG &&
       votedTerm[leader] == term -> chooseReachable(); reachable[1] = false; reachable[3] = true; replaceVM(); resetScratch() }
  :: atomic { losses < MAX_LOSSES && !lost[0] && !lost[1] && !lost[2] && !lost[3] ->
       if :: vm = 0 :: vm = 1 :: vm = 2 fi;
       losses++;
       length[vm] = 0; lastTerm[vm] = 0; version[vm] = 0; votedTerm[vm] = 0; config[vm] = 0; lost[vm] = true;
       if :: leader == vm -> leader = NONE :: else fi;
#if defined(WIPED_FOUNDS) || defined(VOTES_EMPTY)
       /* The VM rejoins immediately, as if it had kept its disk. */
       lost[vm] = false;
#else
       member[vm] = false;
#endif
       resetScratch()
     }
  :: atomic { leader != NONE && !lost[leader] && votedTerm[leader] == term ->
       if :: lost[0] -> vm = 0 :: lost[1] -> vm = 1 :: lost[2] -> vm = 2 :: else -> vm = NONE fi;
       if :: vm != NONE && VOTER(vm, config[leader]) -> chooseReachable(); rejoin(vm) :: else fi; resetScratch() }
  :: break
  od
}
