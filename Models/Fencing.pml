/* Orders to one engine from two holders of the roll-out lease, one after the other. A holder may
   be paused between its check and its send for as long as it likes, so the old one may send at any
   time; orders are delayed without bound and reordered. The document goes from "load version 1" to
   "load version 2".

   Checked with -DCHECKS, for an engine that refuses old fences: once it has taken an order of the
   new holder, no order of the old one changes what it has.
   Checked without, for an engine that ignores them: once the old holder's orders have all arrived,
   and the new one has read the engine twice since and its own orders have arrived, the engine has
   what the document wants.

   Left out: more than one engine and more than two holders, the pacing of loads, how the holder
   learns the document, crashes of the engine, time (that the stray order is corrected within a
   poll and a load is tested, not modelled).

   Broken variants: -DCHECKS -DNOFENCE sends orders without a number, so that the engine cannot
   tell; -DNOREADING does not read the engine again once it was found as wanted. */

byte lease = 1;                 /* the fence of the present holder */
byte wanted = 1;                /* the version in the document */
byte has = 0;                   /* what the engine has loaded */
byte highest = 0;               /* the highest fence the engine has met */
bool newTaken = false;          /* the engine has taken an order of the new holder */
bool oldIsDone = false;         /* the old holder sends nothing more */
byte quietReads = 0;            /* readings since all orders of the old holder had arrived */

chan oldOrders = [2] of { byte, byte }; /* fence, version */
chan newOrders = [2] of { byte, byte };

#ifdef NOFENCE
#define NUMBER(fence) 0
#else
#define NUMBER(fence) fence
#endif

inline take(number, version) {
#ifdef CHECKS
  if
  :: number < highest           /* refused */
  :: else ->
       assert(!(newTaken && version == 1));
       highest = number;
       has = version;
       newTaken = newTaken || version == 2
  fi
#else
  has = version
#endif
}

active proctype Engine() {
  byte number, version;
  do
  :: atomic { oldOrders??number, version -> take(number, version) }
  :: atomic { newOrders??number, version -> take(number, version) }
  od
}

active proctype OldHolder() {
  byte sends = 0;
  do
  :: atomic { sends < 2 && nfull(oldOrders) -> sends++; oldOrders!NUMBER(1), 1 }
  :: atomic { oldIsDone = true; break }
  od
}

active proctype NewHolder() {
  byte seen = 0;
  byte reads = 0;
  atomic { lease == 1 -> lease = 2; wanted = 2 };
  do
  :: atomic { reads < 6 && empty(newOrders) -> reads++;
#ifdef NOREADING
       if
       :: seen != wanted -> seen = has
       :: else
       fi;
#else
       seen = has;
#endif
       if
       :: seen != wanted -> newOrders!NUMBER(2), wanted
       :: else
       fi;
       if
       :: oldIsDone && empty(oldOrders) && quietReads < 2 -> quietReads++
       :: else
       fi }
  :: atomic { quietReads == 2 && empty(newOrders) -> assert(has == wanted); break }
  :: break                      /* it dies or loses the lease in its turn */
  od
}
