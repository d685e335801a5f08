/* At most once of package deduplicator: three holders of a key's record, one of them
 * the owner, which runs the request once two holders have its claim. In a new view the
 * holders must hear the records of two of the three old holders, which refuse older
 * claims from then on.
 *
 * View 0 is {0,1,2} with owner 0, view 1 {1,2,3} with owner 1, view 2 {2,3,0} with
 * owner 2. Hosts learn of views at any time. A host may restart once and forget; its new
 * incarnation is on the roster only from a later view on.
 * Each variant drops one rule: NO_FENCE, ONE_SOURCE, ONE_CLAIM, FORGETFUL_SOURCE,
 * NO_RECORD, HASTY_SOURCE, SAME_VIEW. The checker must refute each. */

#define N 4
#define VIEWS 3

byte view[N];        /* view that each host is in */
byte fence[N];       /* older claims are refused */
byte whole[N];       /* view up to which all of the host's records are known */
bool claimed[N];     /* the host has a claim of the key */
byte told[N];        /* old holders, as bits, that told this host their records */
byte acks[N];        /* holders, as bits, that took this owner's claim */
byte asking[N];      /* view of the owner's claim under way, 7 for none */
byte runs;
byte restarts;
bool forgot[N];
byte since[N];       /* first view that has the host's incarnation */
byte head;           /* newest view */

#define HOLDER(v, h) (((v) == 0 && (h) != 3) || ((v) == 1 && (h) != 0) || ((v) == 2 && (h) != 1))
#define OWNER(v) (v)
#define BIT(h) (1 << (h))
#define COUNT(x) (((x) & 1) + (((x) >> 1) & 1) + (((x) >> 2) & 1) + (((x) >> 3) & 1))

#ifdef ONE_SOURCE
#define SOURCES 1
#else
#define SOURCES 2
#endif
#ifdef ONE_CLAIM
#define CLAIMS 1
#else
#define CLAIMS 2
#endif
#ifdef HASTY_SOURCE
#define TELLS(h, v) true
#else
#define TELLS(h, v) (whole[h] + 1 >= (v))
#endif
#ifdef FORGETFUL_SOURCE
#define REMEMBERS(h) true
#else
#define REMEMBERS(h) (!forgot[h])
#endif

#ifdef SAME_VIEW
#define BELONGS(h) true
#else
#define BELONGS(h) (view[h] >= since[h])
#endif
#define SYNCS(h, k) (BELONGS(h) && view[h] > 0 && whole[h] < view[h] && HOLDER(view[h] - 1, k) && HOLDER(view[h], h))
#define FREE(h) (!claimed[h] && asking[h] == 7 && whole[h] >= view[h] && !forgot[h])
#ifdef NO_FENCE
#define UNFENCED(h, v) true
#else
#define UNFENCED(h, v) (fence[h] <= (v))
#endif
#define OPEN(k, v) (BELONGS(k) && view[k] == (v) && !forgot[k] && UNFENCED(k, v))

inline advance(h, v) {
  told[h] = 0;
  asking[h] = 7;
  acks[h] = 0;
  if :: fence[h] < (v) -> fence[h] = v :: else fi;
  if :: REMEMBERS(h) && whole[h] + 1 >= v && HOLDER((v) - 1, h) -> told[h] = BIT(h) :: else fi;
  view[h] = v
}

inline settle(h) {
  if :: view[h] > 0 && COUNT(told[h]) >= SOURCES -> whole[h] = view[h]; forgot[h] = false; told[h] = 0 :: else fi
}

active proctype System() {
  byte h, k;
  d_step { asking[0] = 7; asking[1] = 7; asking[2] = 7; asking[3] = 7 }
  do
  :: d_step { head < VIEWS - 1 -> head++ }
  :: atomic { select(h : 0 .. 3);                 /* a host learns of the next view */
       d_step { view[h] < head -> advance(h, view[h] + 1); settle(h); h = 0 } }
  :: atomic { select(h : 0 .. 3); select(k : 0 .. 3); /* host h hears the records of host k */
       d_step { h != k && SYNCS(h, k) && REMEMBERS(k) && TELLS(k, view[h]) ->
#ifndef NO_FENCE
         if :: fence[k] < view[h] -> fence[k] = view[h] :: else fi;
#endif
         if :: claimed[k] -> claimed[h] = true :: else fi;
         told[h] = told[h] | BIT(k);
         settle(h); h = 0; k = 0 } }
  :: atomic { select(h : 0 .. 2);                 /* the owner of its view opens a claim */
       d_step { OWNER(view[h]) == h && fence[h] == view[h] && FREE(h) && runs < 2 ->
         claimed[h] = true; asking[h] = view[h]; acks[h] = BIT(h); h = 0 } }
  :: atomic { select(h : 0 .. 2); select(k : 0 .. 3); /* holder k takes the claim of owner h */
       d_step { h != k && asking[h] != 7 && HOLDER(asking[h], k) && OPEN(k, asking[h]) ->
#ifndef NO_RECORD
         claimed[k] = true;
#endif
         acks[h] = acks[h] | BIT(k); h = 0; k = 0 } }
  :: atomic { select(h : 0 .. 2);                 /* the owner runs the request */
       d_step { asking[h] != 7 && COUNT(acks[h]) >= CLAIMS && UNFENCED(h, asking[h]) -> runs++; asking[h] = 7; acks[h] = 0; assert(runs <= 1); h = 0 } }
  :: atomic { select(h : 0 .. 2);                 /* too few holders: the claim is dropped */
       d_step { asking[h] != 7 -> asking[h] = 7; acks[h] = 0; claimed[h] = false; h = 0 } }
  :: atomic { restarts < 1; select(h : 0 .. 3);   /* a host restarts and forgets */
       d_step { restarts++; claimed[h] = false; told[h] = 0; asking[h] = 7; acks[h] = 0; forgot[h] = true; since[h] = head + 1; h = 0 } }
  od
}
