/* Propagation of the operators' configuration: concurrent operators whose replies may be lost, a
   platform that has outages and may return an older revision, a peer, and VMs that restart without
   their memory.

   Checked properties:
   - No entry applies a lower revision than it had.
   - A write is only accepted at the revision that its operator read.
   - An operator gets the result "applied" only if its document was accepted, and "conflict" only if it
     never will be.
   - An entry that accepts requests during an outage has at least the revision that its peer has.

   Not modelled: restarts of both entries; time (a confirmation is valid for one outage, or until the
   peer has a newer revision; in the code it stays valid up to the cut-off limit of 3 s after that);
   documents (a revision represents its document); watchers; membership; and platform replies that arrive
   after the outage was detected. A change that was accepted but had reached no entry when the outage
   began takes effect after it.

   spin must find a violation in each of these variants:
     -DAPPLY_ANY_REVISION    entries apply every revision they receive
     -DNO_CAS                operators write without compare-and-swap
     -DNO_READBACK           operators treat a lost reply as success
     -DNO_PEER_CONFIRMATION  entries serve during an outage without asking the peer */

#define LAST_REVISION 4

byte revision = 1;              /* the newest revision in the platform */
byte author[6];                 /* writer of each revision: operator + 1, or 0 for the initial one */
bool up = true;
byte outage = 0;                /* number of the current or last outage */

byte inForce[2];                /* the revision in force at each entry, 0 for none */
byte highestApplied[2];         /* the highest revision applied since the entry started */
byte confirmedOutage[2];        /* the outage that the peer confirmed, 0 for none */
byte detectedOutage[2];         /* the outage that the entry detected, 0 for none */

#ifdef NO_PEER_CONFIRMATION
#define IS_CONFIRMED(me) true
#else
#define IS_CONFIRMED(me) (confirmedOutage[me] == outage)
#endif

inline apply(entry, newer) {
#ifdef APPLY_ANY_REVISION
  inForce[entry] = newer;
#else
  if
  :: newer > inForce[entry] -> inForce[entry] = newer; confirmedOutage[1 - entry] = 0
  :: else
  fi;
#endif
  assert(inForce[entry] >= highestApplied[entry]);
  highestApplied[entry] = inForce[entry]
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

/* An operator edits the document that it read, writes it by compare-and-swap, and retries if the call or
   its reply was lost. A lost call that still arrives later is represented by one of the attempts. */
proctype Operator(byte me) {
  byte readAt;
  byte attempts = 0;
  bool lost = false;
  byte result = 0;
  atomic { up -> readAt = revision };
  do
#ifdef NO_CAS
  :: atomic { up && attempts < 2 && revision < LAST_REVISION -> attempts++;
#else
  :: atomic { up && attempts < 2 && revision < LAST_REVISION && revision == readAt -> attempts++;
#endif
       assert(revision == readAt);
       revision++;
       author[revision] = me + 1;
       if
       :: result == 0 -> result = APPLIED
       :: lost = true
       fi }
  :: atomic { up && result == 0 && revision != readAt ->
       /* A conflict, or a re-read after a lost reply. */
       if
       :: !lost -> result = CONFLICT
       :: lost && author[readAt + 1] == me + 1 && revision == readAt + 1 -> result = APPLIED
       :: lost && !(author[readAt + 1] == me + 1 && revision == readAt + 1) -> result = UNRESOLVED
       fi }
  :: atomic { result == 0 && !lost -> lost = true;    /* the call or its reply is lost or late */
#ifdef NO_READBACK
       result = APPLIED
#endif
     }
  :: atomic { result == APPLIED -> assert(author[readAt + 1] == me + 1); break }
  :: atomic { result == CONFLICT -> assert(author[readAt + 1] != 0 && author[readAt + 1] != me + 1); break }
  :: break                      /* the operator gives up or crashes */
  od
}

proctype Entry(byte me) {
  byte peer = 1 - me;
  byte pendingDocument = 0;
  byte restarts = 0;
  do
  /* The platform returns the newest revision or an older one. */
  :: atomic { up -> apply(me, revision) }
  :: atomic { up && revision > 1 -> apply(me, revision - 1) }
  /* The peer sends its document, which may arrive later. */
  :: atomic { pendingDocument == 0 && inForce[peer] > 0 -> pendingDocument = inForce[peer] }
  :: atomic { pendingDocument != 0 -> apply(me, pendingDocument); pendingDocument = 0 }
  /* The entry detects the outage; later the peer confirms it and has no newer revision. */
  :: atomic { !up -> detectedOutage[me] = outage }
  :: atomic { !up && detectedOutage[me] == outage && detectedOutage[peer] == outage &&
       inForce[peer] <= inForce[me] -> confirmedOutage[me] = outage }
  /* The entry accepts requests during the outage. */
  :: atomic { !up && detectedOutage[me] == outage && inForce[me] > 0 && IS_CONFIRMED(me) ->
       assert(inForce[me] >= inForce[peer]) }
  /* One of the entries restarts: it is a new member with empty memory. */
  :: atomic { me == 1 && restarts < 1 -> restarts++;
       inForce[me] = 0; highestApplied[me] = 0; confirmedOutage[me] = 0; detectedOutage[me] = 0; pendingDocument = 0 }
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
