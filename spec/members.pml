/* One host's member row in the members table (package registrar).
 *
 * The daemon publishes the newest announcement of its server. Each write is conditional
 * on the row's revision as the daemon knows it. The response to a write may be lost, and
 * a write may take effect late. The response to a write whose condition fails has the
 * current row.
 *
 * Rules: the row never returns to an older announcement. If the daemon regards its
 * newest announcement as published and no late write is outstanding, the row has it.
 * Variants that must be refuted:
 *   NO_CHECK    writes, late ones included, take effect without their condition
 *   NO_REREAD   a write whose condition fails is regarded as published
 */
#define LAST_ANNOUNCEMENT 3

byte announced = 1;  /* newest announcement at the daemon */
byte row_value;      /* announcement in the store's row, 0 without a row */
byte row_revision;
byte known_value;    /* the row as the daemon knows it */
byte known_revision;
bool late_write;     /* a write whose response was lost has not taken effect yet */
byte late_value, late_revision; /* its value, and the revision that it is conditional on */

inline commit(value, revision, applied) {
#ifdef NO_CHECK
  applied = true;
#else
  applied = (revision == row_revision);
#endif
  if
  :: applied -> assert(value >= row_value); row_value = value; row_revision++
  :: else
  fi
}

active proctype daemon() {
  bool applied;
  do
  :: announced < LAST_ANNOUNCEMENT -> announced++
  :: known_value != announced && row_revision < 6 ->
     if
     :: atomic { /* the response arrives */
          commit(announced, known_revision, applied);
          if
          :: applied -> known_value = announced; known_revision = row_revision
#ifdef NO_REREAD
          :: else -> known_value = announced
#else
          :: else -> known_value = row_value; known_revision = row_revision
#endif
          fi
        }
     :: atomic { commit(announced, known_revision, applied) } /* the response is lost */
     :: atomic { !late_write -> late_write = true; late_value = announced; late_revision = known_revision }
     fi
  :: atomic { late_write -> late_write = false; commit(late_value, late_revision, applied) }
  :: atomic { known_value == announced && !late_write -> assert(row_value == announced) }
  od
}
