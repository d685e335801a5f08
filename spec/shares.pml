/* Whether a host's local share of a rate is ever used by the host and granted by the owner at
 * the same time (packages broker and limiter).
 *
 * Each response of the owner carries a stamp. From its arrival the host leaves its local share
 * to the owner for some ticks, the cede time. The next token request echoes the stamp, and the owner
 * grants the share until the cede time ticks after the stamp. Messages may arrive late or never. A
 * host that restarts has forgotten all of this, and does not use its share for the cede time.
 *
 * Rule: the owner does not grant the share while the host may use it.
 * Variants that must be refuted:
 *   NO_ECHO        the owner grants the share for the cede time after a request arrives
 *   FROM_SENDING   the host leaves its share for the cede time after it sent the request
 *   NO_START_WAIT  a restarted host uses its share at once
 */
#define CEDE_TTL 3 /* the cede time in ticks */

byte response_left;  /* ticks for which the stamp of the response in flight is valid, 0 without one */
byte echo_left;      /* the same for the stamp that the host has received */
byte request_left;   /* the same for the request in flight */
bool request_flies;
byte since_sending;  /* ticks since the host sent the request that is being answered, up to CEDE_TTL */
byte host_ceded;     /* ticks until the host may use its share */
byte owner_grants;   /* ticks for which the owner grants the share */

active proctype exchange() {
  do
  :: atomic { /* the host sends a request */
       !request_flies -> request_flies = true; request_left = echo_left; since_sending = 0
     }
  :: atomic { /* the request arrives and the owner responds */
       request_flies ->
       request_flies = false;
#ifdef NO_ECHO
       owner_grants = CEDE_TTL;
#else
       if :: request_left > owner_grants -> owner_grants = request_left :: else fi;
#endif
       response_left = CEDE_TTL
     }
  :: atomic { /* the response arrives */
       response_left > 0 ->
       echo_left = response_left;
       response_left = 0;
#ifdef FROM_SENDING
       host_ceded = CEDE_TTL - since_sending
#else
       host_ceded = CEDE_TTL
#endif
     }
  :: atomic { /* the host restarts */
       echo_left = 0;
#ifdef NO_START_WAIT
       host_ceded = 0
#else
       host_ceded = CEDE_TTL
#endif
     }
  :: atomic { /* one tick */
       if :: response_left > 0 -> response_left-- :: else fi;
       if :: echo_left > 0 -> echo_left-- :: else fi;
       if :: request_left > 0 -> request_left-- :: else fi;
       if :: since_sending < CEDE_TTL -> since_sending++ :: else fi;
       if :: host_ceded > 0 -> host_ceded-- :: else fi;
       if :: owner_grants > 0 -> owner_grants-- :: else fi
     }
  :: assert(!(owner_grants > 0 && host_ceded == 0))
  od
}
