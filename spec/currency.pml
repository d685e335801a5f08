/* The currency rule of package replicator: a change is accepted once majorities of
 * the current and of the previous roster hold it. From T ticks after that no daemon
 * serves on an older version, whatever is paused, lost, cut off or restarted.
 *
 * Times are ages in ticks, so the model has no last tick. A daemon that is paused or
 * cut off takes no step. Each daemon's report of a tick is what it held when the tick
 * began; a prover may use any of them up to an age, or none, so reports are lost and
 * late at will. A holder counts for acceptance at once, which is the harshest case.
 *
 * A proof dated a ticks ago lets its daemon serve, at its version or a later one, for
 * T - a ticks more. So it is unsafe exactly if a later version was accepted before the
 * proof's date, and that is asserted when a proof is made. A proof that is pulled from
 * another daemon keeps its date and comes with that daemon's version.
 *
 * Each variant drops one rule: COUNT_DATED, FORGETFUL_VOTE, NO_MAJORITY, ONE_ROSTER,
 * NO_SERIAL, ANY_VERSION. The checker must refute each. */

#define N 4      /* daemons */
#define T 2      /* ticks for which a proof counts */
#define VMAX 2   /* changes, each of the roster */
#define NONE 7

byte head;              /* version in the store */
byte held[N];           /* version that each daemon holds */
byte inc[N];            /* incarnation */
byte hist[8];           /* [daemon * T + age]: version reported */
byte histInc[8];
byte ack[8];            /* [daemon * 2 + incarnation]: highest version held */
byte rosterInc[12];     /* [version * N + daemon]: incarnation with the vote */
byte age[3];            /* since the acceptance of each version */
byte restarts;

/* Roster 0 is {0,1,2}, roster 1 {1,2,3}, roster 2 {2,3,0}. */
#define MEMBER(r, j) (!((r) == 0 && (j) == 3) && !((r) == 1 && (j) == 0) && !((r) == 2 && (j) == 1))
#define PREVIOUS(r) ((r) == 0 -> 0 : (r) - 1)

#ifdef FORGETFUL_VOTE
#define VOTES(r, j, i) MEMBER(r, j)
#else
#define VOTES(r, j, i) (MEMBER(r, j) && rosterInc[(r) * N + (j)] == (i))
#endif

#ifdef ANY_VERSION
#define ATMOST(x, v) true
#else
#define ATMOST(x, v) ((x) <= (v))
#endif

/* REPORTED: member j said within age a that it holds at most the prover's version. */
#define SAID(r, j, k, v) (ATMOST(hist[(j) * T + (k)], v) && VOTES(r, j, histInc[(j) * T + (k)]))
#define REPORTED(r, j, a, v) (SAID(r, j, 0, v) || ((a) > 0 && SAID(r, j, 1, v)))
#define PROOF_VOTES(r, a, v) (REPORTED(r, 0, a, v) + REPORTED(r, 1, a, v) + REPORTED(r, 2, a, v) + REPORTED(r, 3, a, v))

#ifdef FORGETFUL_VOTE
#define HOLDS(r, j, v) (MEMBER(r, j) && (ack[(j) * 2] >= (v) || ack[(j) * 2 + 1] >= (v)))
#else
#define HOLDS(r, j, v) (MEMBER(r, j) && ack[(j) * 2 + rosterInc[(r) * N + (j)]] >= (v))
#endif
#define HOLDERS(r, v) (HOLDS(r, 0, v) + HOLDS(r, 1, v) + HOLDS(r, 2, v) + HOLDS(r, 3, v))

#ifdef NO_MAJORITY
#define MAJORITIES(v) (HOLDERS(v, v) >= 1)
#else
#ifdef ONE_ROSTER
#define MAJORITIES(v) (HOLDERS(v, v) >= 2)
#else
#define MAJORITIES(v) (HOLDERS(v, v) >= 2 && HOLDERS(PREVIOUS(v), v) >= 2)
#endif
#endif

#ifdef NO_SERIAL
#define MAY_COMMIT true
#else
#define MAY_COMMIT (head == 0 || age[head] != NONE)
#endif

#define NOTE(i) if :: ack[(i) * 2 + inc[i]] < held[i] -> ack[(i) * 2 + inc[i]] = held[i] :: else fi
#define MISSED(v, a) (held[i] < (v) && age[v] != NONE && age[v] > (a))
#define SAFE(a) assert(!MISSED(1, a) && !MISSED(2, a))

inline setup() {
  d_step {
    age[0] = T; age[1] = NONE; age[2] = NONE; i = 0; j = 0; a = 0
  }
}

inline tick() {
  i = 0;
  do
  :: i < N ->
    hist[i * T + 1] = hist[i * T]; histInc[i * T + 1] = histInc[i * T];
    hist[i * T] = held[i]; histInc[i * T] = inc[i];
    i++
  :: else -> break
  od;
  i = 1;
  do
  :: i <= VMAX -> if :: age[i] < T -> age[i]++ :: else fi; i++
  :: else -> break
  od
}

inline commit() {
  head++;
  i = 0;
  do
  :: i < N -> rosterInc[head * N + i] = inc[i]; i++
  :: else -> break
  od
}

active proctype System() {
  byte i, j, a;
  setup();
  do
  :: d_step { tick(); i = 0; j = 0; a = 0 }
  :: d_step { head < VMAX && MAY_COMMIT -> commit(); i = 0 }
  :: atomic { /* daemon i reads the store */
       select(i : 0 .. 3);
       d_step { held[i] = head; NOTE(i); SAFE(0); i = 0 } }
  :: atomic { /* daemon i pulls from j */
       select(i : 0 .. 3); select(j : 0 .. 3);
       d_step {
         if :: held[j] > held[i] -> held[i] = held[j] :: else fi;
         NOTE(i);
         i = 0; j = 0 } }
  :: atomic { /* daemon i proves its version by votes no older than a */
       select(i : 0 .. 3); select(a : 0 .. 1);
       d_step {
         if
         :: PROOF_VOTES(held[i], a, held[i]) >= 2 ->
#ifdef COUNT_DATED
            SAFE(0)
#else
            SAFE(a)
#endif
         :: else
         fi;
         i = 0; a = 0 } }
  :: d_step { head >= 1 && age[1] == NONE && MAJORITIES(1) -> age[1] = 0 }
  :: d_step { head >= 2 && age[2] == NONE && MAJORITIES(2) -> age[2] = 0 }
  :: atomic { /* daemon i restarts and forgets */
       restarts < 1 -> select(i : 0 .. 3);
       d_step { restarts++; inc[i] = 1; held[i] = 0; i = 0 } }
  od
}
