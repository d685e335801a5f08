/* Who may deal tokens of the teams' rates (package broker).
 *
 * Three jurors ask the owner whose epoch they know; an Ask is a vote that lives LIFE
 * ticks. The owner of epoch 1 deals while a majority of votes lives. The owner of epoch
 * 2 deals once a majority has lived at every tick of LIFE ticks, or once owner 1 has
 * said that it stopped. Jurors learn of epoch 2 at any time, never, or one by one;
 * messages are lost at will, since a juror need not ask.
 *
 * Rule: the two owners never deal at the same tick.
 * Variants that must be refuted:
 *   NO_WAIT      owner 2 deals as soon as a majority lives
 *   NO_MAJORITY  one living vote suffices
 *   GO_BACK      a juror that knows epoch 2 may ask owner 1 again
 *   NO_RESIGN    owner 1 goes on after it has said that it stopped
 */
#define JURORS 3
#define LIFE 2
#ifdef NO_MAJORITY
#define ENOUGH 1
#else
#define ENOUGH 2
#endif

bool claimed;
byte knows[JURORS];  /* 0: epoch 1, 1: epoch 2 */
byte first[JURORS];  /* ticks that the vote for owner 1 lives */
byte second[JURORS]; /* the same for owner 2 */
byte held;           /* ticks for which owner 2 has had a majority */
bool resigned;       /* owner 1 knows that it was replaced */
bool alone;          /* owner 2 knows that owner 1 has stopped */

#define LIVING(v) ((v[0] > 0) + (v[1] > 0) + (v[2] > 0))

active proctype fleet() {
  byte j, sum1, sum2;
  do
  :: !claimed -> claimed = true
  :: claimed && !alone -> resigned = true; alone = true
  :: select(j : 0 .. JURORS - 1);
     atomic {
       if
       :: claimed -> knows[j] = 1
       :: true
       fi
#ifdef GO_BACK
       ; if
       :: knows[j] = 0
       :: true
       fi
#endif
     }
  :: select(j : 0 .. JURORS - 1);
     atomic {
       if
       :: knows[j] == 0 -> first[j] = LIFE
       :: else -> second[j] = LIFE
       fi
     }
  :: atomic { /* one tick */
       j = 0;
       do
       :: j < JURORS ->
          if :: first[j] > 0 -> first[j]-- :: else fi;
          if :: second[j] > 0 -> second[j]-- :: else fi;
          j++
       :: else -> break
       od;
       sum2 = LIVING(second);
       if
       :: sum2 < ENOUGH -> held = 0
       :: sum2 >= ENOUGH && held <= LIFE -> held++
       :: else
       fi
     }
  :: atomic { /* both look whether they may deal */
       sum1 = LIVING(first);
       sum2 = LIVING(second);
#ifdef NO_RESIGN
       assert(!(sum1 >= ENOUGH && sum2 >= ENOUGH && (held > LIFE || alone)));
#else
#ifdef NO_WAIT
       assert(!(sum1 >= ENOUGH && !resigned && sum2 >= ENOUGH));
#else
       assert(!(sum1 >= ENOUGH && !resigned && sum2 >= ENOUGH && (held > LIFE || alone)));
#endif
#endif
     }
  od
}
