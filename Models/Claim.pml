/* Write-once claim of one identity over two changes of the holders' view.

   View 0 is {0,1,2}. Compare-and-swap in the platform makes view 1, {0,1,3}, and once holder 3 is
   recorded as joined, view 2, {0,3,4}. Who writes a view, and whether its reply is lost, does not
   matter: a holder learns of a view at any time or never. So an outage of the platform, a lost
   reply, and a holder that pauses or is lost for ever are all runs of this model. Messages may be
   delayed without bound, reordered or lost.

   An attempt may be sent once two holders of one view have voted for it. It may be abandoned before
   that, for good; then its votes are released. A joining holder serves when both remaining holders
   have adopted its view and each has handed over its slots, at different times.

   The search is split in two, each of them whole: -DONECHANGE leaves out view 2, and -DONEABANDONS
   lets attempt 0 only be abandoned.

   spin must find a violation in each of these variants:
     -DNOSYNC   the joining holder serves without taking over slots
     -DONESIDE  the joining holder takes over from one remaining holder only
     -DEARLY    slots are handed over before the remaining holder has adopted the view
     -DMIXED    votes of different views are added up
     -DAMNESIA  a holder restarts empty under its old identity
     -DREVIVE   an attempt may be sent after it was abandoned
     -DSKIP     view 2 is made before holder 3 has joined, which counts as complete all the same

   Left out: liveness, expiry of slots, the outcome that is stored after the run, more than two
   attempts, and views that lose slots, which ClaimLost.pml covers. */

#define ATTEMPTS 2
#define HOLDERS 5

byte platform = 0;            /* the newest view in the platform */
bool joined3 = false;         /* the platform has holder 3 as joined */
byte view[HOLDERS];           /* the newest view that each holder has adopted */
bool serving[HOLDERS];
byte slot[HOLDERS];           /* bit a: attempt a may have this holder's vote */
byte taken3, taken4;          /* which remaining holders have handed over to 3 and to 4 */
byte acks[6];                 /* acks[2 * view + attempt], bit h: holder h voted for it in the view */
bool abandoned[ATTEMPTS];
byte sent = 0;

#define IN_VIEW(h, v) ((h) == 0 || ((v) < 2 && (h) == 1) || ((v) == 0 && (h) == 2) || ((v) > 0 && (h) == 3) || ((v) == 2 && (h) == 4))
#define BIT(m, h) (((m) >> (h)) & 1)
#define COUNT(m) (BIT(m, 0) + BIT(m, 1) + BIT(m, 2) + BIT(m, 3) + BIT(m, 4))
#ifdef MIXED
#define GRANTED(a) (COUNT(acks[a] | acks[2 + a] | acks[4 + a]) >= 2)
#else
#define GRANTED(a) (COUNT(acks[a]) >= 2 || COUNT(acks[2 + a]) >= 2 || COUNT(acks[4 + a]) >= 2)
#endif
#ifdef REVIVE
#define MAY_SEND(a) GRANTED(a)
#else
#define MAY_SEND(a) (GRANTED(a) && !abandoned[a])
#endif

#ifdef ONEABANDONS
#define MAY_ABANDON(a) ((a) == 0)
#else
#define MAY_ABANDON(a) true
#endif

/* Holder h votes for attempt a in the view that it has adopted. */
#define CAN_VOTE(a, h) (serving[h] && IN_VIEW(h, view[h]) && !BIT(acks[2 * view[h] + a], h) && (slot[h] == 0 || slot[h] == (1 << a)))
#define VOTE(a, h) atomic { CAN_VOTE(a, h) -> slot[h] = (1 << a); acks[2 * view[h] + a] = acks[2 * view[h] + a] | (1 << h) }
#define RELEASE(a, h) atomic { abandoned[a] && BIT(slot[h], a) -> slot[h] = slot[h] & (3 - (1 << a)) }

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

#ifdef EARLY
#define HAS_ADOPTED(h, v) (view[h] <= v)
#else
#define HAS_ADOPTED(h, v) (view[h] == v)
#endif
#ifdef ONESIDE
#define WHOLE(m) ((m) != 0)
#else
#define WHOLE(m) ((m) == 3)
#endif
#ifdef SKIP
#define JOINED3 true
#else
#define JOINED3 joined3
#endif

proctype Views() {
  do
  :: atomic { platform == 0 -> platform = 1 }
#ifndef ONECHANGE
  :: atomic { platform == 1 && JOINED3 -> platform = 2 }
#endif
  /* Holders learn of views; a later one may be learned first. */
  :: atomic { view[0] < platform -> view[0] = platform }
  :: atomic { view[1] == 0 && platform >= 1 -> view[1] = 1 }
  :: atomic { view[3] < platform -> view[3] = platform }
  :: atomic { view[4] < platform && platform == 2 -> view[4] = 2 }
  /* Holder 3 joins view 1. */
#ifdef NOSYNC
  :: atomic { view[3] >= 1 && !serving[3] -> serving[3] = true; joined3 = true }
#else
  :: atomic { platform >= 1 && view[3] == 1 && !serving[3] && !BIT(taken3, 0) && HAS_ADOPTED(0, 1) -> slot[3] = slot[3] | slot[0]; taken3 = taken3 | 1 }
  :: atomic { platform >= 1 && view[3] == 1 && !serving[3] && !BIT(taken3, 1) && HAS_ADOPTED(1, 1) -> slot[3] = slot[3] | slot[1]; taken3 = taken3 | 2 }
  :: atomic { !serving[3] && WHOLE(taken3) -> serving[3] = true; joined3 = true }
#ifdef SKIP
  :: atomic { view[3] == 2 && !serving[3] -> serving[3] = true }
#endif
#endif
  /* Holder 4 joins view 2. */
  :: atomic { view[4] == 2 && !serving[4] && !BIT(taken4, 0) && HAS_ADOPTED(0, 2) -> slot[4] = slot[4] | slot[0]; taken4 = taken4 | 1 }
  :: atomic { view[4] == 2 && !serving[4] && !BIT(taken4, 1) && HAS_ADOPTED(3, 2) && serving[3] -> slot[4] = slot[4] | slot[3]; taken4 = taken4 | 2 }
  :: atomic { !serving[4] && WHOLE(taken4) -> serving[4] = true }
  od
}

#ifdef AMNESIA
proctype Restart() { atomic { slot[1] = 0 } }
#endif

init {
  atomic {
    serving[0] = true; serving[1] = true; serving[2] = true;
    run Attempt(0); run Attempt(1); run Views();
#ifdef AMNESIA
    run Restart()
#endif
  }
}
