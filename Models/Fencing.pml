/* Orders to one engine from two successive holders of the roll-out lease. A holder may be paused for any
   time between its lease check and its send, so the old holder may send at any time; orders may be
   delayed without bound and reordered. The document changes from "load version 1" to "load version 2".

   Checked with -DCHECK_FENCE, for an engine that rejects orders with an old fence: once it has accepted
   an order of the new holder, no order of the old holder changes the loaded version.
   Checked without the flag, for an engine that ignores fences: once all orders of the old holder have
   arrived, the new holder has read the engine twice since then, and its own orders have arrived, the
   engine has loaded the version in the document.

   Not modelled: more than one engine or two holders, the pacing of loads, how a holder learns of the
   document, engine crashes, and time (a test, not this model, checks that the effect of a late order is
   corrected within one poll and one load).

   spin must find a violation in each of these variants:
     -DCHECK_FENCE -DNO_FENCE  orders carry no fence, so the engine cannot detect old ones
     -DNO_REREAD               the holder stops reading the engine once it reported the desired version */

byte leaseFence = 1;            /* the fence of the current holder */
byte desired = 1;               /* the version in the document */
byte loaded = 0;                /* the version that the engine has loaded */
byte highestFence = 0;          /* the highest fence that the engine has seen */
bool newAccepted = false;       /* the engine has accepted an order of the new holder */
bool oldFinished = false;       /* the old holder sends no more orders */
byte readsAfterOldOrders = 0;   /* reads since all orders of the old holder arrived */

chan oldOrders = [2] of { byte, byte }; /* fence, version */
chan newOrders = [2] of { byte, byte };

#ifdef NO_FENCE
#define FENCE_NUMBER(fence) 0
#else
#define FENCE_NUMBER(fence) fence
#endif

inline applyOrder(number, version) {
#ifdef CHECK_FENCE
  if
  :: number < highestFence  /* rejected */
  :: else ->
       assert(!(newAccepted && version == 1));
       highestFence = number;
       loaded = version;
       newAccepted = newAccepted || version == 2
  fi
#else
  loaded = version
#endif
}

active proctype Engine() {
  byte number, version;
  do
  :: atomic { oldOrders??number, version -> applyOrder(number, version) }
  :: atomic { newOrders??number, version -> applyOrder(number, version) }
  od
}

active proctype OldHolder() {
  byte sends = 0;
  do
  :: atomic { sends < 2 && nfull(oldOrders) -> sends++; oldOrders!FENCE_NUMBER(1), 1 }
  :: atomic { oldFinished = true; break }
  od
}

active proctype NewHolder() {
  byte observed = 0;
  byte reads = 0;
  atomic { leaseFence == 1 -> leaseFence = 2; desired = 2 };
  do
  :: atomic { reads < 6 && empty(newOrders) -> reads++;
#ifdef NO_REREAD
       if
       :: observed != desired -> observed = loaded
       :: else
       fi;
#else
       observed = loaded;
#endif
       if
       :: observed != desired -> newOrders!FENCE_NUMBER(2), desired
       :: else
       fi;
       if
       :: oldFinished && empty(oldOrders) && readsAfterOldOrders < 2 -> readsAfterOldOrders++
       :: else
       fi }
  :: atomic { readsAfterOldOrders == 2 && empty(newOrders) -> assert(loaded == desired); break }
  :: break                      /* the new holder crashes or loses the lease as well */
  od
}
