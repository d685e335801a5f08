/* Which owner may grant tokens of one shard of the teams' rates (package broker).
 *
 * Three owners follow one another, with the epochs 1 to 3. Three voters request tokens from
 * the owner of the epoch that they know. A token request echoes the stamp of an earlier
 * response, and is a vote for that owner until the vote TTL after the stamp, however long
 * the network delays it. Owner 1 grants tokens while a majority of votes is valid. A later
 * owner counts only voters from which it first heard more than the vote TTL ago, unless
 * all owners before it have certainly stopped: its direct predecessor has confirmed so, and
 * had granted tokens, which proves that those before it had stopped. An epoch reaches each
 * voter separately, at any time or never. One voter may restart, forget the epoch and learn
 * an earlier one again; it casts no vote for the vote TTL. The loss of a message needs no
 * step of its own, since a message may also stay in flight until it is worthless.
 *
 * Rule: no two owners grant tokens at the same time.
 * Variants that must be refuted:
 *   NO_WAIT        a later owner counts voters as soon as it hears from them
 *   NO_MAJORITY    one valid vote suffices
 *   GO_BACK        a voter may forget the newest epoch without a restart
 *   NO_RESIGN      an owner grants tokens even after it has confirmed that it stopped
 *   NO_CHAIN       a confirmation suffices, even of an owner that never granted tokens
 *   NO_ECHO        a vote is valid for the vote TTL after its arrival
 *   NO_QUARANTINE  a restarted voter votes at once
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

byte newest = 0;             /* newest epoch that exists, counted from 0 */
byte known[VOTERS];          /* epoch that the voter knows */
byte in_flight[VOTERS];      /* ticks until the voter's request in flight is worthless, 0 without one */
byte sent_to[VOTERS];        /* owner to which it was sent */
bool before_restart[VOTERS]; /* it was sent before the voter's restart */
byte votes[9];               /* by owner and voter: ticks until the vote expires, 0 without one */
byte heard[9];               /* by owner and voter: ticks since the first request, up to VOTE_TTL + 1; 0 without one */
byte quarantine[VOTERS];     /* ticks until a restarted voter may vote */
bool restarted;
bool stopped[OWNERS];        /* the owner has confirmed that it stopped */
bool granted[OWNERS];        /* the owner has granted tokens */
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

active proctype fleet() {
  byte v, o, i;
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
  :: atomic { /* an epoch reaches a voter */
       select(v : 0 .. VOTERS - 1);
       if
       :: known[v] < newest -> known[v]++
#ifdef GO_BACK
       :: known[v] > 0 -> known[v]--
#endif
       :: else
       fi
     }
  :: atomic { /* a voter restarts */
       !restarted ->
       restarted = true;
       select(v : 0 .. VOTERS - 1);
       select(o : 0 .. OWNERS - 1);
       if
       :: o <= newest -> known[v] = o
       :: else
       fi;
       before_restart[v] = true;
#ifndef NO_QUARANTINE
       quarantine[v] = VOTE_TTL + 1
#endif
     }
  :: atomic { /* a voter requests tokens */
       select(v : 0 .. VOTERS - 1);
       if
       :: in_flight[v] == 0 && quarantine[v] == 0 ->
          in_flight[v] = VOTE_TTL;
          sent_to[v] = known[v];
          before_restart[v] = false
       :: else
       fi
     }
  :: atomic { /* a request arrives */
       select(v : 0 .. VOTERS - 1);
       if
       :: in_flight[v] > 0 ->
          i = AT(sent_to[v], v);
#ifdef NO_ECHO
          votes[i] = VOTE_TTL;
#else
          votes[i] = in_flight[v];
#endif
          if
          :: heard[i] == 0 -> heard[i] = 1
          :: else
          fi;
          in_flight[v] = 0
       :: else
       fi
     }
  :: atomic { /* the first request of a restarted voter that reaches an owner starts the wait anew */
       restarted ->
       select(v : 0 .. VOTERS - 1);
       select(o : 0 .. OWNERS - 1);
       if
       :: before_restart[v] -> heard[AT(o, v)] = 0
       :: else
       fi
     }
  :: atomic { /* one tick */
       i = 0;
       do
       :: i < OWNERS * VOTERS ->
          if :: votes[i] > 0 -> votes[i]-- :: else fi;
          if :: heard[i] > 0 && heard[i] <= VOTE_TTL -> heard[i]++ :: else fi;
          i++
       :: else -> break
       od;
       v = 0;
       do
       :: v < VOTERS ->
          if :: quarantine[v] > 0 -> quarantine[v]-- :: else fi;
#ifndef NO_ECHO
          if :: in_flight[v] > 0 -> in_flight[v]-- :: else fi;
#endif
          v++
       :: else -> break
       od;
       v = 0; i = 0
     }
  :: atomic {
       if :: GRANTS(0) -> granted[0] = true :: else fi;
       if :: GRANTS(1) -> granted[1] = true :: else fi;
       if :: GRANTS(2) -> granted[2] = true :: else fi;
       assert(GRANTS(0) + GRANTS(1) + GRANTS(2) <= 1)
     }
  od
}
