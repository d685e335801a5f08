/* Which owner may grant tokens of one shard of the teams' rates (package broker).
 *
 * Three owners follow one another, with the epochs 1 to 3. Three voters request tokens from
 * the owner of the epoch that they know. A token request echoes the stamp of an earlier
 * response, and is a vote for that owner until the vote TTL after the stamp, however long
 * the network delays it. Owner 1 grants tokens while a majority of votes is valid. A later
 * owner counts only voters from which it first heard more than the vote TTL ago, unless
 * all owners before it have certainly stopped: its direct predecessor has confirmed so, and
 * had granted tokens, which proves that those before it had stopped. An epoch reaches each
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
 *   NO_CHAIN     a confirmation suffices, even of an owner that never granted tokens
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
bool stopped[OWNERS];         /* the owner has confirmed that it stopped */
bool granted[OWNERS];         /* the owner has granted tokens */
bool earlier_stopped[OWNERS]; /* the owner knows that all owners before it have stopped */

#ifdef NO_WAIT
#define SETTLED(owner, voter) true
#else
#define SETTLED(owner, voter) ((owner) == 0 || earlier_stopped[owner] || heard[AT(owner, voter)] > VOTE_TTL)
#endif
#define COUNTS(owner, voter) (votes[AT(owner, voter)] > 0 && SETTLED(owner, voter))
#ifdef NO_RESIGN
#define MAY_GRANT(owner) true
#else
#define MAY_GRANT(owner) (!stopped[owner])
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
  :: atomic { newest < OWNERS - 1 -> newest++ }
  :: atomic { /* the newest owner asks its predecessor to stop */
       newest > 0 && !stopped[newest - 1] ->
       stopped[newest - 1] = true;
#ifdef NO_CHAIN
       earlier_stopped[newest] = true
#else
       earlier_stopped[newest] = granted[newest - 1]
#endif
     }
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
       if :: GRANTS(0) -> granted[0] = true :: else fi;
       if :: GRANTS(1) -> granted[1] = true :: else fi;
       if :: GRANTS(2) -> granted[2] = true :: else fi;
       assert(GRANTS(0) + GRANTS(1) + GRANTS(2) <= 1)
     }
  od
}
