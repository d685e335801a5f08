/* Fleet-wide rates of packages broker and limiter: the shares in use never add up to
 * more than the team's rate, while the broker of the team changes, messages are lost
 * and late, daemons lapse, and brokers stop and come back.
 *
 * Broker 0 owns the team in epoch 0, broker 1 in epoch 1. Epoch 1 is accepted at some
 * time; by the currency rule every daemon that is still current T ticks later knows it.
 * An answer under way counts for the last message sent to its broker only.
 * Each variant drops one rule: NO_PROOF_WAIT, NO_GRACE_WAIT, OLD_ANSWERS,
 * EARLY_REDUCE, KEEP_LAPSED, NO_CONFIRM, ANY_EPOCH. The checker must refute each. */

#define D 2      /* daemons with shares */
#define RATE 2   /* units of rate */
#define T 2      /* ticks for which a proof counts */
#define G 2      /* ticks of grace for a share of an ended epoch */
#define NONE 7

byte share[D];      /* in use at each daemon */
byte epoch[D];      /* of that share */
bool knows[D];      /* epoch 1 */
byte learned[D];    /* ticks since then, up to G */
bool current[D] = true;
byte out[4];        /* [broker * D + daemon]: most that the daemon may use */
byte answer[4];     /* [broker * D + daemon]: share in an answer under way */
byte age = NONE;    /* since the acceptance of epoch 1 */
bool knows0;        /* broker 0 knows of epoch 1 or is not current */

#define LEDGER(b, d) out[(b) * D + (d)]
#define ANSWER(b, d) answer[(b) * D + (d)]
#define OTHER(b, d) out[(b) * D + 1 - (d)]
#define USED(d) (current[d] -> share[d] : 0)
#define SAFE assert(USED(0) + USED(1) <= RATE)

#ifdef NO_PROOF_WAIT
#define READY (age != NONE && age >= G)
#else
#ifdef NO_GRACE_WAIT
#define READY (age != NONE && age >= T)
#else
#define READY (age != NONE && age >= T + G)
#endif
#endif

#ifdef ANY_EPOCH
#define OWNS(b, d) true
#else
#define OWNS(b, d) (knows[d] -> (b) == 1 : (b) == 0)
#endif

#define OVER(d) (knows[d] && epoch[d] == 0 && learned[d] >= G)

inline learn(d) { if :: !knows[d] -> knows[d] = true; learned[d] = 0 :: else fi }

inline expire(d) { if :: OVER(d) -> share[d] = 0; epoch[d] = 1 :: else fi }

/* A daemon that lapses may not use its share, and has lost it when it is current again. */
inline lapse(d) {
  current[d] = false;
#ifndef KEEP_LAPSED
  share[d] = 0;
#endif
  ANSWER(0, d) = NONE; ANSWER(1, d) = NONE
}

inline tick() {
  if :: age != NONE && age < T + G -> age++ :: else fi;
  if :: age != NONE && age >= T -> knows0 = true :: else fi;
  d = 0;
  do
  :: d < D ->
    if :: knows[d] && learned[d] < G -> learned[d]++ :: else fi;
    if :: age != NONE && age >= T && !knows[d] && current[d] -> lapse(d) :: else fi;
    expire(d);
    d++
  :: else -> break
  od
}

/* Broker b takes an Ask of daemon d that reports its share, and grants at most g. */
inline grant(b, d, g) {
#ifdef EARLY_REDUCE
  LEDGER(b, d) = 0;
#else
  LEDGER(b, d) = share[d];
#endif
  if :: b == 1 && epoch[d] == 0 && READY -> LEDGER(b, d) = 0 :: else fi;
  if
  :: g + OTHER(b, d) <= RATE ->
     ANSWER(b, d) = g;
     if :: g > LEDGER(b, d) -> LEDGER(b, d) = g :: else fi
  :: else -> ANSWER(b, d) = NONE
  fi
}

inline confirm(d) {
#ifdef NO_CONFIRM
  LEDGER(1, d) = 0;
#else
  LEDGER(1, d) = share[d];
#endif
  ANSWER(1, d) = share[d]
}

active proctype System() {
  byte d, b, g;
  d_step { share[0] = 1; share[1] = 1; out[0] = 1; out[1] = 1;
           answer[0] = NONE; answer[1] = NONE; answer[2] = NONE; answer[3] = NONE }
  do
  :: d_step { tick(); SAFE; d = 0 }
  :: d_step { age == NONE -> age = 0 }                      /* epoch 1 is accepted */
  :: d_step { knows0 = true }                               /* broker 0 learns of it or stops */
  :: atomic { select(d : 0 .. 1); d_step { age != NONE || true -> learn(d); d = 0 } }
  :: atomic { select(d : 0 .. 1); d_step { lapse(d); d = 0 } }
  :: atomic { select(d : 0 .. 1);                           /* current again, so up to date */
       d_step { !current[d] -> current[d] = true;
         if :: age != NONE && age >= T -> learn(d) :: else fi;
         expire(d); SAFE; d = 0 } }
  :: atomic { select(d : 0 .. 1); select(g : 0 .. 2);       /* an Ask to broker 0 */
       d_step { !knows0 && !knows[d] && current[d] -> grant(0, d, g); d = 0; g = 0 } }
  :: atomic { select(d : 0 .. 1); select(g : 0 .. 2);       /* an Ask to broker 1 */
       d_step { knows[d] && current[d] && age != NONE ->
         if :: READY -> grant(1, d, g) :: else -> confirm(d) fi; d = 0; g = 0 } }
  :: atomic { select(d : 0 .. 1); select(b : 0 .. 1);       /* an answer comes */
       d_step { ANSWER(b, d) != NONE && current[d] && OWNS(b, d) ->
         share[d] = ANSWER(b, d); epoch[d] = b; ANSWER(b, d) = NONE; SAFE; d = 0; b = 0 } }
  :: atomic { select(d : 0 .. 1);                           /* an Ask is lost: older answers are void */
       d_step { current[d] ->
#ifndef OLD_ANSWERS
         ANSWER(0, d) = NONE; ANSWER(1, d) = NONE;
#endif
         d = 0 } }
#ifdef OLD_ANSWERS
  :: atomic { select(d : 0 .. 1);                           /* a daemon gives its share up */
       d_step { share[d] = 0; LEDGER(1, d) = 0; LEDGER(0, d) = 0; d = 0 } }
#else
  :: atomic { select(d : 0 .. 1); select(b : 0 .. 1);       /* a daemon gives its share up */
       d_step { share[d] = 0; LEDGER(b, d) = 0; ANSWER(0, d) = NONE; ANSWER(1, d) = NONE; d = 0; b = 0 } }
#endif
  od
}
