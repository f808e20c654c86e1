/* A view that is made after slots were lost, and what keeps an identity from running twice then.

   The old side has two of the three holders and is cut off; it may go on granting claims while its
   last reading of the platform is at most TRUST old. The new side makes a view without their slots
   at time LOSS, and grants nothing until LOST later. The caller sends its request at some time, and
   again, to the other side, within the retry window. A claim asks for votes for at most CLAIM.
   Processes may pause at any point: only the time at which a request begins, and the time at which
   a holder votes, are bounded, never the time of the send.

   spin must find a violation in each of these variants:
     -DNOTRUST    holders that are cut off grant claims for ever
     -DSHORTLOST  the lost period is the retry window and CLAIM alone
     -DLONGCLAIM  a claim asks for votes for ever
     -DNOLOST     the new side grants at once

   Left out: clock drift (the code keeps a tenth of the window as a margin), answers that remaining
   holders still have, and the pause of a sender that outlasts the retry window, after which the
   code refuses to send. */

#define WINDOW 3
#define TRUST 2
#define CLAIM 1
#define LOSS 1
#ifdef SHORTLOST
#define LOST (WINDOW + CLAIM)
#else
#define LOST (WINDOW + TRUST + CLAIM)
#endif
#ifdef LONGCLAIM
#define ASKS(at) true
#else
#define ASKS(at) (now <= at + CLAIM)
#endif
#define END 11

byte now = 0;
byte firstAt = 255;           /* when the caller first sent the request, on either side */
byte oldAt = 255, newAt = 255; /* when each side's claim began */
bool oldGranted, newGranted;
byte sent = 0;

proctype Clock() {
  do
  :: atomic { now < END -> now++ }
  od
}

#define WITHIN_WINDOW (firstAt == 255 || now <= firstAt + WINDOW)
#define BEGIN(at) atomic { at == 255 && WITHIN_WINDOW -> at = now; if :: firstAt == 255 -> firstAt = now :: else fi }

#ifdef NOTRUST
#define OLD_MAY_VOTE true
#else
/* Its last reading shows no new view, so it was before LOSS. */
#define OLD_MAY_VOTE (now < LOSS + TRUST)
#endif
#ifdef NOLOST
#define NEW_MAY_VOTE (now >= LOSS)
#else
/* Later than the lost period, since a holder counts from when it learned of the view. */
#define NEW_MAY_VOTE (now > LOSS + LOST)
#endif

proctype OldSide() {
  do
  :: BEGIN(oldAt)
  :: atomic { oldAt != 255 && ASKS(oldAt) && !oldGranted && OLD_MAY_VOTE -> oldGranted = true }
  :: atomic { oldGranted -> sent++; assert(sent <= 1); break }
  od
}

proctype NewSide() {
  do
  :: BEGIN(newAt)
  :: atomic { newAt != 255 && ASKS(newAt) && !newGranted && NEW_MAY_VOTE -> newGranted = true }
  :: atomic { newGranted -> sent++; assert(sent <= 1); break }
  od
}

init { atomic { run Clock(); run OldSide(); run NewSide() } }
