/* Which owner may grant tokens of the teams' rates (package broker).
 *
 * Three voters request tokens from the owner whose epoch they know. A token request is a
 * vote for that owner and expires after the vote TTL, which is a number of ticks. Owner 1,
 * of epoch 1, grants tokens while it has a majority of votes. Owner 2, of epoch 2, grants
 * tokens once its majority has lasted for the vote TTL, or as soon as it has a majority
 * if owner 1 has confirmed that it stopped. The row of epoch 2 reaches each voter
 * separately, at any time or never. The loss of a message needs no step of its own, since
 * a voter may also send no token request.
 *
 * Rule: the two owners never grant tokens at the same time.
 * Variants that must be refuted:
 *   NO_WAIT      owner 2 grants tokens as soon as it has a majority
 *   NO_MAJORITY  one valid vote suffices
 *   GO_BACK      a voter that knows epoch 2 may request tokens from owner 1 again
 *   NO_RESIGN    owner 1 grants tokens even after it has confirmed that it stopped
 */
#define VOTERS 3
#define VOTE_TTL 2
#ifdef NO_MAJORITY
#define MIN_VOTES 1
#else
#define MIN_VOTES 2
#endif

bool claimed;              /* epoch 2 exists */
byte knows_epoch2[VOTERS]; /* 1 if the voter knows epoch 2, 0 if it knows epoch 1 */
byte votes1[VOTERS];       /* ticks until the vote for owner 1 expires, 0 without one */
byte votes2[VOTERS];       /* the same for owner 2 */
byte majority_ticks;       /* consecutive ticks with a majority for owner 2, up to VOTE_TTL + 1 */
bool superseded;           /* owner 1 knows that a later epoch exists */
bool predecessor_stopped;  /* owner 2 knows that owner 1 has stopped */

#define VALID_VOTES(v) ((v[0] > 0) + (v[1] > 0) + (v[2] > 0))

active proctype fleet() {
  byte voter, count1, count2;
  do
  :: !claimed -> claimed = true
  :: claimed && !predecessor_stopped -> superseded = true; predecessor_stopped = true
  :: select(voter : 0 .. VOTERS - 1);
     atomic { /* the row of epoch 2 may reach a voter */
       if
       :: claimed -> knows_epoch2[voter] = 1
       :: true
       fi
#ifdef GO_BACK
       ; if
       :: knows_epoch2[voter] = 0
       :: true
       fi
#endif
     }
  :: select(voter : 0 .. VOTERS - 1);
     atomic { /* a voter requests tokens */
       if
       :: knows_epoch2[voter] == 0 -> votes1[voter] = VOTE_TTL
       :: else -> votes2[voter] = VOTE_TTL
       fi
     }
  :: atomic { /* one tick */
       voter = 0;
       do
       :: voter < VOTERS ->
          if :: votes1[voter] > 0 -> votes1[voter]-- :: else fi;
          if :: votes2[voter] > 0 -> votes2[voter]-- :: else fi;
          voter++
       :: else -> break
       od;
       count2 = VALID_VOTES(votes2);
       if
       :: count2 < MIN_VOTES -> majority_ticks = 0
       :: count2 >= MIN_VOTES && majority_ticks <= VOTE_TTL -> majority_ticks++
       :: else
       fi
     }
  :: atomic { /* the rule: not both owners may grant tokens */
       count1 = VALID_VOTES(votes1);
       count2 = VALID_VOTES(votes2);
#ifdef NO_RESIGN
       assert(!(count1 >= MIN_VOTES && count2 >= MIN_VOTES && (majority_ticks > VOTE_TTL || predecessor_stopped)));
#else
#ifdef NO_WAIT
       assert(!(count1 >= MIN_VOTES && !superseded && count2 >= MIN_VOTES));
#else
       assert(!(count1 >= MIN_VOTES && !superseded && count2 >= MIN_VOTES && (majority_ticks > VOTE_TTL || predecessor_stopped)));
#endif
#endif
     }
  od
}
