/* One shard with two targets and one stored job of one task: two hosts that hold the shard by turns, the store, and
   callers that submit the job at any time.

   A start that was sent may arrive at any later time, any number of times or never; that covers loss, delay,
   duplication and the repeated sending of an unanswered start. A paused host is a process that takes no step: what it
   knows stays as old as its last look. The lease of a holder may end at any time, so the other host may always take the
   shard, and the lease of a run may end at any time too. Not modelled: targets that start anew, several tasks, and
   best-effort jobs, which have no record.

   Each macro NO_<GUARD> removes one guard; each macro REACH_<STATE> turns a state that must be reachable into a
   violation, so that a check that passes because little can happen is noticed. */

#define TARGETS 2
#define GENERATIONS 3
#define ATTEMPTS 6 /* two for each generation */

/* State of the job's record in the store. */
#define ABSENT 0
#define OPEN 1
#define ENDED 2

/* What a holder believes of the task. */
#define UNKNOWN 0 /* an earlier holder may have started it */
#define WAITING 1
#define PLACED 2
#define DONE 3

/* Store: the generation of the holder, which is its fencing token, and the record. */
byte generation;
byte record;
byte acceptedIn; /* generation that wrote the record first */

/* Targets. */
byte token[TARGETS];
byte running[TARGETS]; /* attempt; 0: none */
byte highest[TARGETS]; /* highest attempt that ended or was stopped */
byte listedEnd[TARGETS]; /* attempt that ended as done and is not acknowledged; 0: none */

/* Network: starts that were sent, by target and attempt. */
bool isSent[TARGETS * (ATTEMPTS + 1)];
#define SENT(target, attempt) isSent[(target) * (ATTEMPTS + 1) + (attempt)]

/* What really happened. */
bool isDoneAcknowledged;
byte lastLoaded; /* highest generation whose holder has read the record */

#define GENERATION_OF(attempt) (((attempt) + 1) / 2)

#ifdef NO_FENCING
#define PASSES(target, order) true
#else
#define PASSES(target, order) ((order) >= token[target])
#endif

#ifdef NO_ATTEMPT_ORDER
#define IS_NEW(target, attempt) true
#else
#define IS_NEW(target, attempt) ((attempt) > highest[target])
#endif

inline raiseToken(target, order) {
    if
    :: order > token[target] -> token[target] = order
    :: else
    fi
}

proctype Target(byte self) {
    byte attempt;
end:
    do
    /* A start arrives. */
    :: atomic { running[self] == 0 ->
        attempt = 1;
        do
        :: attempt < ATTEMPTS -> attempt++
        :: break
        od;
        if
        :: SENT(self, attempt) && PASSES(self, GENERATION_OF(attempt)) ->
            raiseToken(self, GENERATION_OF(attempt));
            if
            :: IS_NEW(self, attempt) ->
                assert(running[1 - self] == 0); /* no two runs at the same time */
                assert(!isDoneAcknowledged); /* nothing starts after its end was taken note of */
                running[self] = attempt
#ifdef REACH_SECOND_GENERATION_RUNS
                ; assert(GENERATION_OF(attempt) == 1)
#endif
            :: else
            fi
        :: else
        fi;
        attempt = 0 }
    /* The run ends as done, or its lease ends. */
    :: atomic { running[self] != 0 ->
        listedEnd[self] = running[self];
        highest[self] = running[self];
        running[self] = 0 }
    :: atomic { running[self] != 0 ->
        highest[self] = running[self];
        running[self] = 0 }
    od
}

proctype Host() {
    byte own; /* generation held, as this host believes; 0: none */
    bool isLoaded, isRecordOpen, isEndStored;
    bool hasSeen[TARGETS];
    byte task, attempt, place, target;

#define CAN_ORDER (own != 0 && isLoaded)
#ifdef NO_SETTLED_TARGETS
#define IS_SETTLED true
#else
#define IS_SETTLED (hasSeen[0] && hasSeen[1])
#endif
#define PRESENT_ATTEMPT_IS_GONE(target) \
    (task == PLACED && place == target && listedEnd[target] == 0 && running[target] == 0 && highest[target] >= attempt)
#ifdef NO_LATER_RECORD_CHECK
#define WAS_NOT_REPLACED true
#else
#define WAS_NOT_REPLACED !(record != ABSENT && acceptedIn > own)
#endif
#ifdef NO_HOLDER_CONDITION
#define HOLDS true
#else
#define HOLDS (generation == own)
#endif

end:
    do
    /* Takes the shard; the store's counter makes the token. */
    :: atomic { generation < GENERATIONS && generation != own ->
        generation++;
        own = generation;
        isLoaded = false;
        isRecordOpen = false;
        isEndStored = false;
        hasSeen[0] = false;
        hasSeen[1] = false;
        task = UNKNOWN;
        attempt = 0 }
    :: atomic { own == 0 && generation == 0 -> generation = 1; own = 1 }

    /* Reads the record. One of a later generation shows that this host was replaced. */
    :: atomic { own != 0 && !isLoaded ->
        if
#ifndef NO_LATER_RECORD_CHECK
        :: record != ABSENT && acceptedIn > own -> own = 0
#ifdef REACH_LATER_RECORD
            ; assert(false)
#endif
#endif
        :: WAS_NOT_REPLACED ->
            isLoaded = true;
            isRecordOpen = (record == OPEN);
            if
            :: own > lastLoaded -> lastLoaded = own
            :: else
            fi
        fi }

    /* Accepts the job: a write under the conditions that this host holds the shard and that there is no record. */
    :: atomic { CAN_ORDER && !isRecordOpen && record == ABSENT && HOLDS ->
        assert(own >= lastLoaded); /* a later holder would not know of the job */
        record = OPEN;
        acceptedIn = own;
        isRecordOpen = true;
        task = WAITING }

    /* Looks at a target under its token. */
    :: atomic { CAN_ORDER ->
        if
        :: target = 0
        :: target = 1
        fi;
        if
        :: PASSES(target, own) ->
            raiseToken(target, own);
            hasSeen[target] = true;
            if
            :: isRecordOpen && listedEnd[target] != 0 -> task = DONE; place = target
            :: isRecordOpen && listedEnd[target] == 0 && running[target] != 0 && task == UNKNOWN ->
                task = PLACED;
                place = target;
                attempt = running[target]
#ifdef REACH_RUN_FOUND
                ; assert(false)
#endif
            /* The present attempt has ended without success. */
            :: PRESENT_ATTEMPT_IS_GONE(target) -> task = WAITING
            :: else
            fi
        :: else
        fi;
        target = 0 }

    /* No run of an earlier holder can be left. */
    :: atomic { CAN_ORDER && isRecordOpen && task == UNKNOWN && IS_SETTLED -> task = WAITING }

    /* Starts the task. */
    :: atomic { CAN_ORDER && isRecordOpen && task == WAITING && attempt < 2 * own ->
        if
        :: attempt < 2 * own - 1 -> attempt = 2 * own - 1
        :: else -> attempt = 2 * own
        fi;
        if
        :: place = 0
        :: place = 1
        fi;
        SENT(place, attempt) = true;
        task = PLACED }

    /* Stops an unanswered start, so that it cannot run later, and starts again. */
    :: atomic { CAN_ORDER && task == PLACED && PASSES(place, own) && listedEnd[place] == 0 ->
        raiseToken(place, own);
#ifndef NO_STOP_BEFORE_RETRY
        if
        :: highest[place] < attempt -> highest[place] = attempt
        :: else
        fi;
        if
        :: running[place] == attempt -> running[place] = 0
        :: else
        fi;
#endif
        task = WAITING }

    /* Records the end, then lets the target forget it. */
    :: atomic { CAN_ORDER && task == DONE && !isEndStored && HOLDS && record == OPEN ->
        record = ENDED;
        isEndStored = true }
#ifdef NO_RECORD_BEFORE_ACKNOWLEDGEMENT
    :: atomic { CAN_ORDER && task == DONE && PASSES(place, own) && listedEnd[place] != 0 ->
#else
    :: atomic { CAN_ORDER && task == DONE && isEndStored && PASSES(place, own) && listedEnd[place] != 0 ->
#endif
        raiseToken(place, own);
        listedEnd[place] = 0;
        isDoneAcknowledged = true
#ifdef REACH_END_ACKNOWLEDGED
        ; assert(false)
#endif
        }
    od
}

init {
    atomic {
        run Target(0);
        run Target(1);
        run Host();
        run Host()
    }
}
