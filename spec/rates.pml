/* Which owner may grant tokens of one shard of the teams' rates (package broker).
 *
 * Three owners follow one another, with the epochs 1 to 3. Three voters request tokens from
 * the owner of the epoch that they know. A token request echoes the stamp of an earlier
 * response, and is a vote for that owner until the vote TTL after the stamp, however long
 * the network delays it. Owner 1 grants tokens while a majority of votes is valid. A later
 * owner counts only voters from which it first heard more than the vote TTL ago, unless
 * all owners before it have certainly stopped. The row of each epoch names its former owners,
 * which may still grant tokens: the direct predecessor, and the predecessor's former owners
 * unless the claimer has seen that the predecessor granted tokens, which proves that those
 * had stopped. Each former owner has to confirm that it stopped. An epoch reaches each
 * voter separately, at any time or never. A voter never returns to an earlier epoch: one that
 * restarts reads the store before it votes. The loss of a message needs no step of its own,
 * since a message may also stay in flight until it is worthless.
 *
 * Rule: no two owners grant tokens at the same time.
 * Variants that must be refuted:
 *   NO_WAIT      a later owner counts voters as soon as it hears from them
 *   NO_MAJORITY  one valid vote suffices
 *   GO_BACK      a voter that restarts may learn an earlier epoch from another daemon
 *   NO_RESIGN    an owner grants tokens even after it has confirmed that it stopped
 *   NO_CHAIN     the row names the direct predecessor alone
 *   NO_ECHO      a vote is valid for the vote TTL after its arrival
 */
#define VOTERS 3
#define OWNERS 3
#define VOTE_TTL 1 /* the vote TTL in ticks */
#ifdef NO_MAJORITY
#define MIN_VOTES 1
#else
#define MIN_VOTES 2
#endif
#define AT(owner, voter) ((owner) * VOTERS + (voter))

byte newest;                  /* newest epoch that exists, counted from 0 */
byte known[VOTERS];           /* epoch that the voter knows */
byte in_flight[VOTERS];       /* ticks until the voter's delayed request is worthless, 0 without one */
byte sent_to[VOTERS];         /* owner to which it was sent */
byte votes[9];                /* by owner and voter: ticks until the vote expires, 0 without one */
byte heard[9];                /* by owner and voter: ticks since the first request, up to VOTE_TTL + 1; 0 without one */
bool second_granted;          /* the second owner has granted tokens */
bool has_former;              /* the row of the third owner names the first as a former owner */
bool first_to_second;         /* the first owner has confirmed to the second that it stopped */
bool first_to_third;
bool second_to_third;

#ifdef NO_WAIT
#define SETTLED(owner, voter) true
#else
#define EARLIER_STOPPED(owner) ((owner) == 1 && first_to_second || \
  (owner) == 2 && second_to_third && (first_to_third || !has_former))
#define SETTLED(owner, voter) ((owner) == 0 || EARLIER_STOPPED(owner) || heard[AT(owner, voter)] > VOTE_TTL)
#endif
#define COUNTS(owner, voter) (votes[AT(owner, voter)] > 0 && SETTLED(owner, voter))
#ifdef NO_RESIGN
#define MAY_GRANT(owner) true
#else
#define MAY_GRANT(owner) (!((owner) == 0 && (first_to_second || first_to_third) || (owner) == 1 && second_to_third))
#endif
#define GRANTS(owner) ((owner) <= newest && MAY_GRANT(owner) && \
  (COUNTS(owner, 0) + COUNTS(owner, 1) + COUNTS(owner, 2)) >= MIN_VOTES)

inline record_vote(owner, v, ticks) {
  i = AT(owner, v);
  if
  :: votes[i] < ticks -> votes[i] = ticks
  :: else
  fi;
  if
  :: owner > 0 && heard[i] == 0 -> heard[i] = 1
  :: else
  fi;
  i = 0
}

/* The voter sends a request, which arrives at once or is delayed. */
inline send_request(v) {
  if
  :: record_vote(known[v], v, VOTE_TTL)
  :: in_flight[v] == 0 -> in_flight[v] = VOTE_TTL; sent_to[v] = known[v]
  fi
}

inline receive_delayed_request(v) {
  in_flight[v] > 0 ->
#ifdef NO_ECHO
  record_vote(sent_to[v], v, VOTE_TTL);
#else
  record_vote(sent_to[v], v, in_flight[v]);
#endif
  discard_request(v)
}

inline discard_request(v) {
  in_flight[v] = 0;
  sent_to[v] = 0
}

inline pass_tick(v) {
  i = 0;
  do
  :: i < OWNERS ->
     if :: votes[AT(i, v)] > 0 -> votes[AT(i, v)]-- :: else fi;
     if :: heard[AT(i, v)] > 0 && heard[AT(i, v)] <= VOTE_TTL -> heard[AT(i, v)]++ :: else fi;
     i++
  :: else -> break
  od;
#ifndef NO_ECHO
  if
  :: in_flight[v] > 1 -> in_flight[v]--
  :: in_flight[v] == 1 -> discard_request(v)
  :: else
  fi;
#endif
  i = 0
}

active proctype fleet() {
  byte i;
  do
  :: atomic { newest == 0 -> newest = 1 }
  :: atomic { /* the claimer may have seen that the second owner granted tokens */
       newest == 1 ->
       newest = 2;
#ifndef NO_CHAIN
       if
       :: second_granted -> skip
       :: has_former = true
       fi
#endif
     }
  :: atomic { newest >= 1 -> first_to_second = true } /* a former owner confirms */
  :: atomic { newest == 2 -> first_to_third = true }
  :: atomic { newest == 2 -> second_to_third = true }
  :: atomic { known[0] < newest -> known[0]++ } /* an epoch reaches a voter */
  :: atomic { known[1] < newest -> known[1]++ }
  :: atomic { known[2] < newest -> known[2]++ }
#ifdef GO_BACK
  :: atomic { known[1] > 0 -> known[1]-- }
#endif
  :: atomic { send_request(0) }
  :: atomic { send_request(1) }
  :: atomic { send_request(2) }
  :: atomic { receive_delayed_request(0) }
  :: atomic { receive_delayed_request(1) }
  :: atomic { receive_delayed_request(2) }
  :: atomic { /* one tick */
       pass_tick(0);
       pass_tick(1);
       pass_tick(2)
     }
  :: atomic {
       true;
       if :: GRANTS(1) -> second_granted = true :: else fi;
       assert(GRANTS(0) + GRANTS(1) + GRANTS(2) <= 1)
     }
  od
}
