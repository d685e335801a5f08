/* Which owner may grant tokens of one shard of the teams' rates (package broker), if the store is restored
 * from a backup. The rules of rates.pml apply; here the second voter restarts once and reads the epoch before
 * the one that it knew. It does not vote until its earlier votes have expired, and each owner counts its
 * votes as from a voter of which it has not heard before. No voter votes while its votes for an owner
 * may count that the assignment does not name. No request is delayed, which keeps the specification
 * small.
 *
 * Rule: no two owners grant tokens at the same time.
 * Variants that must be refuted:
 *   NO_ABSTAIN         a voter that reads a backup votes at once
 *   NO_NAMES           a voter votes at once under an assignment that does not name the owner before
 *   NO_FORGET          an owner counts a restarted voter as one that it has heard from before
 */
#define VOTERS 3
#define OWNERS 3
#define VOTE_TTL 1 /* the vote TTL in ticks */
#define MIN_VOTES 2
#define AT(owner, voter) ((owner) * VOTERS + (voter))

byte newest;                  /* newest epoch that exists, counted from 0 */
byte known[VOTERS];           /* epoch that the voter knows */
byte votes[9];                /* by owner and voter: ticks until the vote expires, 0 without one */
byte heard[9];                /* by owner and voter: ticks since the first request, up to VOTE_TTL + 1; 0 without one */
bool restored;                /* the second voter has read a backup */
byte first_counts[VOTERS];    /* ticks until the voter's votes for the first owner have surely expired */
byte abstains;                /* ticks until it votes again */
bool restarted[OWNERS];       /* by owner: the last request of the second voter was from before its restart */
bool second_granted;          /* the second owner has granted tokens */
bool has_former;              /* the row of the third owner names the first as a former owner */
bool first_to_second;         /* the first owner has confirmed to the second that it stopped */
bool first_to_third;
bool second_to_third;

#define EARLIER_STOPPED(owner) ((owner) == 1 && first_to_second || \
  (owner) == 2 && second_to_third && (first_to_third || !has_former))
#define SETTLED(owner, voter) ((owner) == 0 || EARLIER_STOPPED(owner) || heard[AT(owner, voter)] > VOTE_TTL)
#define COUNTS(owner, voter) (votes[AT(owner, voter)] > 0 && SETTLED(owner, voter))
#define MAY_GRANT(owner) (!((owner) == 0 && (first_to_second || first_to_third) || (owner) == 1 && second_to_third))
#define GRANTS(owner) ((owner) <= newest && MAY_GRANT(owner) && \
  (COUNTS(owner, 0) + COUNTS(owner, 1) + COUNTS(owner, 2)) >= MIN_VOTES)

/* The voter sends a request, which arrives at once. */
inline send_request(v) {
  i = AT(known[v], v);
#ifndef NO_FORGET
  if
  :: v == 1 && restarted[known[v]] -> restarted[known[v]] = false; heard[i] = 0
  :: else
  fi;
#endif
  votes[i] = VOTE_TTL;
  if
  :: known[v] > 0 && heard[i] == 0 -> heard[i] = 1
  :: else
  fi;
  i = 0
}

/* An epoch reaches a voter. */
inline learn_epoch(v) {
  known[v] < newest ->
  if :: known[v] == 0 -> first_counts[v] = VOTE_TTL + 1 :: else fi;
  known[v]++
}

/* The assignment names the owner that the voter supported last. */
#ifdef NO_NAMES
#define NAMED(v) true
#else
#define NAMED(v) (known[v] < 2 || has_former || first_counts[v] == 0)
#endif

inline pass_tick(v) {
  i = 0;
  do
  :: i < OWNERS ->
     if :: votes[AT(i, v)] > 0 -> votes[AT(i, v)]-- :: else fi;
     if :: heard[AT(i, v)] > 0 && heard[AT(i, v)] <= VOTE_TTL -> heard[AT(i, v)]++ :: else fi;
     i++
  :: else -> break
  od;
  if :: first_counts[v] > 0 -> first_counts[v]-- :: else fi;
  i = 0
}

active proctype fleet() {
  byte i;
  do
  :: atomic { newest == 0 -> newest = 1 }
  :: atomic { /* the claimer may have seen that the second owner granted tokens */
       newest == 1 ->
       newest = 2;
       if
       :: second_granted -> skip
       :: has_former = true
       fi
     }
  :: atomic { newest >= 1 -> first_to_second = true } /* a former owner confirms */
  :: atomic { newest == 2 -> first_to_third = true }
  :: atomic { newest == 2 -> second_to_third = true }
  :: atomic { learn_epoch(0) }
  :: atomic { learn_epoch(1) }
  :: atomic { learn_epoch(2) }
  :: atomic { /* the second voter restarts and reads a backup */
       !restored && known[1] > 0 ->
       restored = true;
       known[1]--;
#ifndef NO_ABSTAIN
       abstains = VOTE_TTL + 1; /* part of a tick has passed */
#endif
       restarted[0] = true; restarted[1] = true; restarted[2] = true
     }
  :: atomic { NAMED(0) -> send_request(0) }
  :: atomic { NAMED(1) && abstains == 0 -> send_request(1) }
  :: atomic { NAMED(2) -> send_request(2) }
  :: atomic { /* one tick */
       pass_tick(0);
       pass_tick(1);
       pass_tick(2);
       if :: abstains > 0 -> abstains-- :: else fi
     }
  :: atomic {
       true;
       if :: GRANTS(1) -> second_granted = true :: else fi;
       assert(GRANTS(0) + GRANTS(1) + GRANTS(2) <= 1)
     }
  od
}
