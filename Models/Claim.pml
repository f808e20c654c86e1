/* Write-once claim of one request identity across two changes of the view (the set of holders).

   View 0 is {0,1,2}. A compare-and-swap in the platform creates view 1, {0,1,3}, and once holder 3 is
   recorded as joined, view 2, {0,3,4}. It does not matter who writes a view or whether the reply is
   lost: a holder may learn of a view at any time or never. Platform outages, lost replies, and holders
   that pause or fail permanently are therefore all executions of this model. Messages may be delayed
   without bound, reordered or lost.

   An attempt may be sent once two holders of the same view have voted for it. Before that, it may be
   abandoned permanently, after which its votes are released. A joining holder starts to serve once both
   remaining holders have adopted its view and each has handed over its slots, possibly at different
   times.

   The verification is split into two exhaustive searches: -DONE_VIEW_CHANGE omits view 2, and
   -DONE_ABANDONS allows only attempt 0 to be abandoned.

   spin must find a violation in each of these variants:
     -DNO_HANDOVER       the joining holder serves without receiving slots
     -DPARTIAL_HANDOVER  the joining holder receives the slots of only one remaining holder
     -DEARLY_HANDOVER    slots are handed over before the remaining holder has adopted the view
     -DMIXED_VIEWS       votes from different views are counted together
     -DRESTART_EMPTY     a holder restarts without its slots but with its previous identity
     -DSEND_ABANDONED    an attempt may be sent after it was abandoned
     -DSKIP_JOIN         view 2 is created before holder 3 has joined, and holder 3 serves regardless
     -DSHRINK            view 1 is {0,1}, without a joining holder, and view 2 {0,4}

   Not modelled: liveness, expiry of slots, the outcome that is stored after execution, more than two
   attempts, and views that lose slots, which ClaimLost.pml covers. */

#define ATTEMPTS 2
#define HOLDERS 5

byte platformView = 0;          /* the newest view stored in the platform */
bool joined3 = false;           /* the platform records holder 3 as joined */
byte view[HOLDERS];             /* the newest view that each holder has adopted */
bool serving[HOLDERS];
byte slot[HOLDERS];             /* bit a: attempt a may hold this holder's vote */
byte handedOver3, handedOver4;  /* remaining holders that handed over to 3 and to 4 */
byte votes[6];                  /* votes[2 * view + attempt], bit h: holder h voted for it in the view */
bool abandoned[ATTEMPTS];
byte sent = 0;

#ifdef SHRINK
#define HAS_HOLDER3(v) false
#else
#define HAS_HOLDER3(v) ((v) > 0)
#endif
#define IS_IN_VIEW(h, v) ((h) == 0 || ((v) < 2 && (h) == 1) || ((v) == 0 && (h) == 2) || (HAS_HOLDER3(v) && (h) == 3) || ((v) == 2 && (h) == 4))
#define HAS_BIT(m, h) (((m) >> (h)) & 1)
#define COUNT(m) (HAS_BIT(m, 0) + HAS_BIT(m, 1) + HAS_BIT(m, 2) + HAS_BIT(m, 3) + HAS_BIT(m, 4))
#ifdef MIXED_VIEWS
#define IS_GRANTED(a) (COUNT(votes[a] | votes[2 + a] | votes[4 + a]) >= 2)
#else
#define IS_GRANTED(a) (COUNT(votes[a]) >= 2 || COUNT(votes[2 + a]) >= 2 || COUNT(votes[4 + a]) >= 2)
#endif
#ifdef SEND_ABANDONED
#define MAY_SEND(a) IS_GRANTED(a)
#else
#define MAY_SEND(a) (IS_GRANTED(a) && !abandoned[a])
#endif

#ifdef ONE_ABANDONS
#define MAY_ABANDON(a) ((a) == 0)
#else
#define MAY_ABANDON(a) true
#endif

/* Holder h votes for attempt a in the view it has adopted. */
#define CAN_VOTE(a, h) (serving[h] && IS_IN_VIEW(h, view[h]) && !HAS_BIT(votes[2 * view[h] + a], h) && (slot[h] == 0 || slot[h] == (1 << a)))
#define VOTE(a, h) atomic { CAN_VOTE(a, h) -> slot[h] = (1 << a); votes[2 * view[h] + a] = votes[2 * view[h] + a] | (1 << h) }
#define RELEASE(a, h) atomic { abandoned[a] && HAS_BIT(slot[h], a) -> slot[h] = slot[h] & (3 - (1 << a)) }

proctype Attempt(byte a) {
  do
  :: VOTE(a, 0)
  :: VOTE(a, 1)
  :: VOTE(a, 2)
  :: VOTE(a, 3)
  :: VOTE(a, 4)
  :: atomic { MAY_SEND(a) -> sent++; assert(sent <= 1); break }
  :: atomic { MAY_ABANDON(a) && !abandoned[a] -> abandoned[a] = true }
  :: RELEASE(a, 0)
  :: RELEASE(a, 1)
  :: RELEASE(a, 2)
  :: RELEASE(a, 3)
  :: RELEASE(a, 4)
  od
}

#ifdef EARLY_HANDOVER
#define HAS_ADOPTED(h, v) (view[h] <= v)
#else
#define HAS_ADOPTED(h, v) (view[h] == v)
#endif
#ifdef PARTIAL_HANDOVER
#define COMPLETE(m) ((m) != 0)
#else
#define COMPLETE(m) ((m) == 3)
#endif
#if defined(SKIP_JOIN) || defined(SHRINK)
#define HAS_JOINED3 true
#else
#define HAS_JOINED3 joined3
#endif
#ifdef SHRINK
#define COMPLETE4 HAS_BIT(handedOver4, 0)
#else
#define COMPLETE4 COMPLETE(handedOver4)
#endif

proctype ViewChanges() {
  do
  :: atomic { platformView == 0 -> platformView = 1 }
#ifndef ONE_VIEW_CHANGE
  :: atomic { platformView == 1 && HAS_JOINED3 -> platformView = 2 }
#endif
  /* Holders learn of views and may skip one. */
  :: atomic { view[0] < platformView -> view[0] = platformView }
  :: atomic { view[1] == 0 && platformView >= 1 -> view[1] = 1 }
  :: atomic { view[3] < platformView -> view[3] = platformView }
  :: atomic { view[4] < platformView && platformView == 2 -> view[4] = 2 }
  /* Holder 3 joins view 1. */
#ifdef NO_HANDOVER
  :: atomic { view[3] >= 1 && !serving[3] -> serving[3] = true; joined3 = true }
#else
  :: atomic { platformView >= 1 && view[3] == 1 && !serving[3] && !HAS_BIT(handedOver3, 0) && HAS_ADOPTED(0, 1) -> slot[3] = slot[3] | slot[0]; handedOver3 = handedOver3 | 1 }
  :: atomic { platformView >= 1 && view[3] == 1 && !serving[3] && !HAS_BIT(handedOver3, 1) && HAS_ADOPTED(1, 1) -> slot[3] = slot[3] | slot[1]; handedOver3 = handedOver3 | 2 }
  :: atomic { !serving[3] && COMPLETE(handedOver3) -> serving[3] = true; joined3 = true }
#ifdef SKIP_JOIN
  :: atomic { view[3] == 2 && !serving[3] -> serving[3] = true }
#endif
#endif
  /* Holder 4 joins view 2. */
  :: atomic { view[4] == 2 && !serving[4] && !HAS_BIT(handedOver4, 0) && HAS_ADOPTED(0, 2) -> slot[4] = slot[4] | slot[0]; handedOver4 = handedOver4 | 1 }
  :: atomic { view[4] == 2 && !serving[4] && !HAS_BIT(handedOver4, 1) && HAS_ADOPTED(3, 2) && serving[3] -> slot[4] = slot[4] | slot[3]; handedOver4 = handedOver4 | 2 }
  :: atomic { !serving[4] && COMPLETE4 -> serving[4] = true }
  od
}

#ifdef RESTART_EMPTY
proctype Restart() { atomic { slot[1] = 0 } }
#endif

init {
  atomic {
    serving[0] = true; serving[1] = true; serving[2] = true;
    run Attempt(0); run Attempt(1); run ViewChanges();
#ifdef RESTART_EMPTY
    run Restart()
#endif
  }
}
