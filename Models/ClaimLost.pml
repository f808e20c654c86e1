/* At-most-once execution of a request across a view that is created after slots were lost.

   The old side has two of the three holders and is partitioned from the platform; it may continue to
   grant claims while its last reading of the platform is at most MAX_READING_AGE old. The new side
   creates a view without the slots of the old side at LOSS_TIME, and grants no claims until LOST_PERIOD
   has passed. The caller sends its request at some time and retries it at the other side within the
   retry window. A claim requests votes for at most CLAIM_TIMEOUT. Processes may pause at any point: the
   times at which a request begins and a holder votes are bounded, the time of the send never is.

   spin must find a violation in each of these variants:
     -DNO_READING_AGE_LIMIT  partitioned holders grant claims without a time limit
     -DSHORT_LOST_PERIOD     the lost period is only RETRY_WINDOW + CLAIM_TIMEOUT
     -DNO_CLAIM_TIMEOUT      a claim requests votes without a time limit
     -DNO_LOST_PERIOD        the new side grants claims immediately

   Not modelled: clock drift (the code keeps a tenth of the window as a margin), responses that remaining
   holders still store, and a sender that pauses for longer than the retry window, after which the code
   refuses to send. */

#define RETRY_WINDOW 3
#define MAX_READING_AGE 2
#define CLAIM_TIMEOUT 1
#define LOSS_TIME 1
#ifdef SHORT_LOST_PERIOD
#define LOST_PERIOD (RETRY_WINDOW + CLAIM_TIMEOUT)
#else
#define LOST_PERIOD (RETRY_WINDOW + MAX_READING_AGE + CLAIM_TIMEOUT)
#endif
#ifdef NO_CLAIM_TIMEOUT
#define REQUESTS_VOTES(at) true
#else
#define REQUESTS_VOTES(at) (now <= at + CLAIM_TIMEOUT)
#endif
#define END_TIME 11

byte now = 0;
byte firstAt = 255;             /* when the caller first sent the request, to either side */
byte oldAt = 255, newAt = 255;  /* when the claim at each side began */
bool oldGranted, newGranted;
byte sent = 0;

proctype Clock() {
  do
  :: atomic { now < END_TIME -> now++ }
  od
}

#define IS_WITHIN_WINDOW (firstAt == 255 || now <= firstAt + RETRY_WINDOW)
#define BEGIN_CLAIM(at) atomic { at == 255 && IS_WITHIN_WINDOW -> at = now; if :: firstAt == 255 -> firstAt = now :: else fi }

#ifdef NO_READING_AGE_LIMIT
#define OLD_SIDE_MAY_VOTE true
#else
/* Its last reading shows no new view, so it was made before LOSS_TIME. */
#define OLD_SIDE_MAY_VOTE (now < LOSS_TIME + MAX_READING_AGE)
#endif
#ifdef NO_LOST_PERIOD
#define NEW_SIDE_MAY_VOTE (now >= LOSS_TIME)
#else
/* Strictly after the lost period, since a holder counts from when it learned of the view. */
#define NEW_SIDE_MAY_VOTE (now > LOSS_TIME + LOST_PERIOD)
#endif

proctype OldSide() {
  do
  :: BEGIN_CLAIM(oldAt)
  :: atomic { oldAt != 255 && REQUESTS_VOTES(oldAt) && !oldGranted && OLD_SIDE_MAY_VOTE -> oldGranted = true }
  :: atomic { oldGranted -> sent++; assert(sent <= 1); break }
  od
}

proctype NewSide() {
  do
  :: BEGIN_CLAIM(newAt)
  :: atomic { newAt != 255 && REQUESTS_VOTES(newAt) && !newGranted && NEW_SIDE_MAY_VOTE -> newGranted = true }
  :: atomic { newGranted -> sent++; assert(sent <= 1); break }
  od
}

init { atomic { run Clock(); run OldSide(); run NewSide() } }
