/* The configuration's revision: two operators, the store, and two hosts that install from the store, from each other
   and from late messages. A message is never removed from the network, as in segment.pml; a host may restart and then
   has no revision until it hears one. */

#define HOSTS 2
#define CHANGES 3
#define NOBODY 255

byte storeRevision;
/* Which operator wrote each revision; an accepted change stays what it is. */
byte author[CHANGES + 1] = NOBODY;
/* Revisions that are on their way to each host, as a bit set. */
byte sentTo[HOSTS];

proctype Operator(byte self) {
    byte base, changes;
end:
    do
    :: atomic { changes < 2 -> base = storeRevision }
    :: atomic { changes < 2 && base < CHANGES ->
        changes++;
#ifndef NO_COMPARE_AND_SWAP
        if
        :: storeRevision == base ->
#endif
            assert(base + 1 > storeRevision); /* the store's revision never goes down or stays */
            assert(author[base + 1] == NOBODY); /* no accepted change is replaced */
            storeRevision = base + 1;
            author[storeRevision] = self
#ifndef NO_COMPARE_AND_SWAP
        :: else /* a conflict: the operator reads again */
        fi
#endif
        }
    od
}

proctype Host(byte self) {
    byte installed, offered;
    bool isRestarted;
end:
    do
    /* A watch of the store, or a late answer of it. */
    :: atomic { storeRevision > 0 -> sentTo[self] = sentTo[self] | (1 << storeRevision) }
    /* A push to the peer, of what is installed at that time. */
    :: atomic { installed > 0 -> sentTo[1 - self] = sentTo[1 - self] | (1 << installed) }
    :: atomic { sentTo[self] != 0 ->
        offered = 1;
        do
        :: offered < CHANGES -> offered++
        :: break
        od;
        if
#ifdef NO_REVISION_CHECK
        :: (sentTo[self] >> offered) & 1 ->
#else
        :: ((sentTo[self] >> offered) & 1) && offered > installed ->
#endif
            assert(offered >= installed); /* revision never decreases */
            assert(offered <= storeRevision);
            installed = offered
#ifdef REACH_LAST_REVISION
            ; assert(installed < CHANGES)
#endif
        :: else
        fi;
        offered = 0 }
    :: atomic { !isRestarted -> isRestarted = true; installed = 0 }
    od
}

init {
    atomic {
        run Operator(0);
        run Operator(1);
        run Host(0);
        run Host(1)
    }
}
