/*
 * Formation of a control group from seeds, return with an empty disk, replacement of a VM, and the register in which the
 * highest version wins. VMs 0 to 2 are the seeds; VM 3 may take the place of VM 1. Elections and replication are single
 * steps here: log.pml checks them in detail. A log is its length, the term of its last entry and the version in force
 * after it. One VM is lost, the most that three voters bear.
 *
 * Invariants:
 *   AckedSurvives   a leader holds every acknowledged entry when it is elected.
 *   HighestWins     a confirmed read returns no version below one that was acknowledged before.
 *
 * Mutants, each of which must violate an invariant:
 *   WIPED_FOUNDS    a seed that lost its disk founds again when it returns, as at the first start.
 *   VOTES_EMPTY     a VM that returns with an empty disk votes under its old identity.
 *   ONE_ADMITS      a leader replaces a VM without a majority of the members.
 *   LAST_WINS       a lower version replaces a higher one.
 */

#define VMS 4
#define NONE 255
#define MAX_LOG 3
#define MAX_TERM 3
#define MAX_LOSSES 1
#define MAX_VERSION 2

/* Disks. */
byte held[VMS];                 /* entries that the VM holds */
byte last[VMS];                 /* term of the last one */
byte tip[VMS];                  /* version in force after it */
byte config[VMS];               /* 0: the seeds; 1: VM 3 in the place of VM 1, as the VM knows it */
byte votedTerm[VMS];
bool member[VMS];               /* the VM has an identity that the group admitted */

/* The environment. */
bool lost[VMS];                 /* the VM is counted as lost */
byte losses = 0;

byte leader = NONE;
byte term = 0;
byte acked = 0;                 /* length of the log that was acknowledged */
byte ackedTerm = 0;             /* term of its last entry */
byte ackedVersion = 0;
bool replaced = false;

/* VOTER tells whether the VM is a voter of a configuration. */
#define VOTER(vm, c) ((vm) == 0 || (vm) == 2 || ((vm) == 1 && (c) == 0) || ((vm) == 3 && (c) == 1))
/* BEHIND tells whether the log of a voter is no newer than that of a candidate. */
#define BEHIND(vm, c) (last[vm] < last[c] || (last[vm] == last[c] && held[vm] <= held[c]))
#define CAN_VOTE(vm, c) (VOTER(vm, c) && member[vm])

/* reach is a set of VMs that can talk to each other; it is drawn anew for each step. */
bool reach[VMS];
byte count;
byte i;

inline drawReach() {
  i = 0;
  do
  :: i < VMS -> if :: reach[i] = true :: reach[i] = false fi; i++
  :: else -> break
  od
}

/* tidy resets what is used within a step only, so that it does not multiply the states. */
inline tidy() {
  count = 0; vm = 0;
  reach[0] = false; reach[1] = false; reach[2] = false; reach[3] = false;
  i = 0
}

inline elect(c) {
  /* The candidate needs the votes of a majority of the configuration that it knows; a voter grants its vote to a log
     that is at least as long as its own, once a term. */
  count = 0; i = 0;
  do
  :: i < VMS ->
     if :: (i == c || reach[i]) && CAN_VOTE(i, config[c]) && votedTerm[i] <= term && BEHIND(i, c) -> count++ :: else fi;
     i++
  :: else -> break
  od;
  if
  :: count >= 2 ->
     term++;
     i = 0;
     do
     :: i < VMS ->
        if :: (i == c || reach[i]) && CAN_VOTE(i, config[c]) && BEHIND(i, c) -> votedTerm[i] = term :: else fi;
        i++
     :: else -> break
     od;
     leader = c;
     assert(last[c] > ackedTerm || (last[c] == ackedTerm && held[c] >= acked))    /* AckedSurvives */
  :: else
  fi
}

/* replicate copies the log of the leader to the reachable voters of its term and counts those that hold it. */
inline replicate(c) {
  count = 0; i = 0;
  do
  :: i < VMS ->
     if
     :: (i == leader || reach[i]) && CAN_VOTE(i, c) && votedTerm[i] <= term ->
        votedTerm[i] = term; held[i] = held[leader]; last[i] = last[leader]; tip[i] = tip[leader]; config[i] = config[leader]; count++
     :: else
     fi;
     i++
  :: else -> break
  od
}

inline put(v) {
  held[leader] = held[leader] + 1;
  last[leader] = term;
#ifdef LAST_WINS
  tip[leader] = v;
#else
  tip[leader] = (v > tip[leader] -> v : tip[leader]);
#endif
  replicate(config[leader]);
  if
  :: count >= 2 ->
     acked = held[leader]; ackedTerm = last[leader];
     ackedVersion = (v > ackedVersion -> v : ackedVersion)
  :: else
  fi
}

inline read() {
  replicate(config[leader]);
  if
  :: count >= 2 -> assert(tip[leader] >= ackedVersion)   /* HighestWins */
  :: else
  fi
}

inline admitThird() {
  /* VM 3 takes the place of VM 1, which is silent. The change is an entry of the log. */
  held[leader] = held[leader] + 1;
  last[leader] = term;
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
     acked = held[leader]; ackedTerm = last[leader];
     held[3] = held[leader]; last[3] = last[leader]; tip[3] = tip[leader];
     config[3] = 1; votedTerm[3] = term
  :: else
     /* The entry stays in the leader's log; a later leader may lack it. */
     skip
  fi
}

inline readmit(vm) {
  /* A VM that returns without its disk gets a new identity by a change of the group and copies the log first. */
  replicate(config[leader]);
  if
  :: count >= 2 ->
     held[vm] = held[leader]; last[vm] = last[leader]; tip[vm] = tip[leader]; config[vm] = config[leader]; votedTerm[vm] = term; member[vm] = true; lost[vm] = false
  :: else
  fi
}

init {
  byte vm;
  atomic { member[0] = true; member[1] = true; member[2] = true };
  do
  :: atomic { term < MAX_TERM -> drawReach();
       if
       :: vm = 0 :: vm = 1 :: vm = 2 :: vm = 3
       fi;
       if :: CAN_VOTE(vm, config[vm]) && !lost[vm] -> elect(vm) :: else fi; tidy() }
  :: atomic { leader != NONE && !lost[leader] && held[leader] < MAX_LOG && votedTerm[leader] == term -> drawReach();
       if :: put(1) :: put(2) fi; tidy() }
  :: atomic { leader != NONE && !lost[leader] && votedTerm[leader] == term -> drawReach(); read(); tidy() }
  :: atomic { leader != NONE && leader != 1 && !lost[leader] && !replaced && config[leader] == 0 && held[leader] < MAX_LOG &&
       votedTerm[leader] == term -> drawReach(); reach[1] = false; reach[3] = true; admitThird(); tidy() }
  :: atomic { losses < MAX_LOSSES && !lost[0] && !lost[1] && !lost[2] && !lost[3] ->
       if :: vm = 0 :: vm = 1 :: vm = 2 fi;
       losses++;
       held[vm] = 0; last[vm] = 0; tip[vm] = 0; votedTerm[vm] = 0; config[vm] = 0; lost[vm] = true;
       if :: leader == vm -> leader = NONE :: else fi;
#if defined(WIPED_FOUNDS) || defined(VOTES_EMPTY)
       /* It counts as back at once. */
       lost[vm] = false;
#else
       member[vm] = false;
#endif
       tidy()
     }
  :: atomic { leader != NONE && !lost[leader] && votedTerm[leader] == term ->
       if :: lost[0] -> vm = 0 :: lost[1] -> vm = 1 :: lost[2] -> vm = 2 :: else -> vm = NONE fi;
       if :: vm != NONE && VOTER(vm, config[leader]) -> drawReach(); readmit(vm) :: else fi; tidy() }
  :: break
  od
}
