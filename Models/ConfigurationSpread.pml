/* Spread of the operators' configuration: racing operators with lost replies, a platform that has
   outages and may answer with an older revision, a peer, and VMs that restart with empty memory.

   Checked: no entry applies a lower revision than it had; a write is only accepted at the revision
   that its operator read; an operator is told "applied" only where its text was accepted, and
   "conflict" only where it never will be; an entry that takes work in an outage has at least what
   its peer has.

   Left out: restarts of both entries, time (a confirmation counts for one outage, or until the peer has something newer; in
   truth it lasts up to the cut-off limit after that, which is the 3 s), the texts (a revision stands for its
   text), watchers, membership, and platform replies that arrive after the outage was noticed. A
   change that was accepted and had reached no entry when the outage began is in force after it.

   Broken variants, in each of which spin must find a violation: -DANYREVISION applies whatever
   comes, -DNOCAS writes without comparing, -DNOREADBACK takes a lost reply for success,
   -DSERVEALONE serves in an outage without asking the peer. */

#define LAST_REVISION 4

byte revision = 1;              /* the platform's newest */
byte author[6];                 /* who wrote each revision; 0 is the base, else operator + 1 */
bool up = true;
byte outage = 0;                /* number of the present or last outage */

byte held[2];                   /* the revision in force at each entry, 0 for none */
byte highest[2];                /* the highest it had since its start */
byte confirmedIn[2];            /* the outage that the peer confirmed, 0 for none */
byte sawDownIn[2];              /* the outage that the entry noticed, 0 for none */

#ifdef SERVEALONE
#define CONFIRMED(me) true
#else
#define CONFIRMED(me) (confirmedIn[me] == outage)
#endif

inline apply(entry, newer) {
#ifdef ANYREVISION
  held[entry] = newer;
#else
  if
  :: newer > held[entry] -> held[entry] = newer; confirmedIn[1 - entry] = 0
  :: else
  fi;
#endif
  assert(held[entry] >= highest[entry]);
  highest[entry] = held[entry]
}

active proctype Platform() {
  do
  :: atomic { up && outage < 2 -> up = false; outage++ }
  :: atomic { !up -> up = true }
  :: break
  od
}

#define APPLIED 1
#define CONFLICT 2
#define UNRESOLVED 3

/* An operator edits what it has read and writes it by compare-and-swap, again where a call or its
   reply was lost. A lost call may still arrive later: it is one of the tries. */
proctype Operator(byte me) {
  byte readAt;
  byte tries = 0;
  bool lost = false;
  byte told = 0;
  atomic { up -> readAt = revision };
  do
#ifdef NOCAS
  :: atomic { up && tries < 2 && revision < LAST_REVISION -> tries++;
#else
  :: atomic { up && tries < 2 && revision < LAST_REVISION && revision == readAt -> tries++;
#endif
       assert(revision == readAt);
       revision++;
       author[revision] = me + 1;
       if
       :: told == 0 -> told = APPLIED
       :: lost = true
       fi }
  :: atomic { up && told == 0 && revision != readAt ->
       /* A conflict, or a read-back after a lost reply. */
       if
       :: !lost -> told = CONFLICT
       :: lost && author[readAt + 1] == me + 1 && revision == readAt + 1 -> told = APPLIED
       :: lost && !(author[readAt + 1] == me + 1 && revision == readAt + 1) -> told = UNRESOLVED
       fi }
  :: atomic { told == 0 && !lost -> lost = true;    /* the call is lost, or late */
#ifdef NOREADBACK
       told = APPLIED
#endif
     }
  :: atomic { told == APPLIED -> assert(author[readAt + 1] == me + 1); break }
  :: atomic { told == CONFLICT -> assert(author[readAt + 1] != 0 && author[readAt + 1] != me + 1); break }
  :: break                      /* the operator gives up or crashes */
  od
}

proctype Entry(byte me) {
  byte peer = 1 - me;
  byte answer = 0;
  byte restarts = 0;
  do
  /* The platform answers with its newest, or with an older revision. */
  :: atomic { up -> apply(me, revision) }
  :: atomic { up && revision > 1 -> apply(me, revision - 1) }
  /* The peer sends its document, which arrives now or later. */
  :: atomic { answer == 0 && held[peer] > 0 -> answer = held[peer] }
  :: atomic { answer != 0 -> apply(me, answer); answer = 0 }
  /* The platform is found to be down; later the peer confirms it and has nothing newer. */
  :: atomic { !up -> sawDownIn[me] = outage }
  :: atomic { !up && sawDownIn[me] == outage && sawDownIn[peer] == outage &&
       held[peer] <= held[me] -> confirmedIn[me] = outage }
  /* New work is taken in an outage. */
  :: atomic { !up && sawDownIn[me] == outage && held[me] > 0 && CONFIRMED(me) ->
       assert(held[me] >= held[peer]) }
  /* A restart of one of them: a new member with nothing in memory. */
  :: atomic { me == 1 && restarts < 1 -> restarts++;
       held[me] = 0; highest[me] = 0; confirmedIn[me] = 0; sawDownIn[me] = 0; answer = 0 }
  od
}

init {
  atomic {
    run Operator(0);
    run Operator(1);
    run Entry(0);
    run Entry(1)
  }
}
