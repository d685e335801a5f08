/* One host's row in the members' table (package registrar).
 *
 * The daemon writes what its server last announced, each write on the condition that
 * the row has the revision that the daemon knows. An answer may be lost, and a write
 * may take effect late. A refused write tells the daemon the row as it is.
 *
 * Rules: the row never goes back to an older announcement, and a daemon that believes
 * its row published is right.
 * Variants that must be refuted:
 *   NO_CHECK    a late write takes effect without its condition
 *   NO_REREAD   a refused write is taken for a published one
 */
#define LAST 3

byte announced = 1;  /* newest announcement at the daemon */
byte row_value;      /* in the store */
byte row_revision;
byte known_value;    /* the row as the daemon knows it */
byte known_revision;
bool waiting;        /* a write whose answer was lost has not taken effect yet */
byte late_value, late_condition;

inline apply(value, condition, done) {
#ifdef NO_CHECK
  done = true;
#else
  done = (condition == row_revision);
#endif
  if
  :: done -> assert(value >= row_value); row_value = value; row_revision++
  :: else
  fi
}

active proctype daemon() {
  bool done;
  do
  :: announced < LAST -> announced++
  :: known_value != announced && row_revision < 6 ->
     if
     :: atomic { /* answered */
          apply(announced, known_revision, done);
          if
          :: done -> known_value = announced; known_revision = row_revision
#ifdef NO_REREAD
          :: else -> known_value = announced
#else
          :: else -> known_value = row_value; known_revision = row_revision
#endif
          fi
        }
     :: atomic { apply(announced, known_revision, done) } /* done, the answer is lost */
     :: atomic { !waiting -> waiting = true; late_value = announced; late_condition = known_revision }
     fi
  :: atomic { waiting -> waiting = false; apply(late_value, late_condition, done) }
  :: atomic { known_value == announced && !waiting -> assert(row_value == announced) }
  od
}
