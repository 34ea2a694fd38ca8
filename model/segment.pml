/* One segment with one submission of two tasks: its owner, its backup, the store, callers that resubmit at any time.

   The network is the set of everything that was sent: a message may be received at any later time, any number of times
   or never. That covers loss, delay, duplication, reordering and partitions of any length. A paused host is a process
   that takes no step. A lost reply of the store, and a store that is down, is a reply or a request that is never
   received. Records are immutable, so the journal messages on the network are the owner's log up to logLength.

   Each macro NO_<GUARD> removes one guard of the protocol; each macro REACH_<STATE> turns a state that must be
   reachable into a violation, so that a check that passes because little can happen is noticed. */

#define TASKS 2
#define NOBODY 0
#define OWNER 1
#define BACKUP 2

/* Kinds of records; a journal's content is a bit set of them. */
#define ACCEPT 0
#define START(t) (1 + t)
#define OUTCOME(t) (3 + t)
#define SEAL 5
#define RECORDS 6
#define HAS(set, kind) ((set >> (kind)) & 1)

/* What really happened. */
byte startedBy[TASKS];
bool isAnsweredNotRun[TASKS];

/* The owner's log; each kind of record occurs once at most. */
byte logRecord[RECORDS];
byte logLength;
byte ownerRecords;

/* Network: SegmentOpen per incarnation of the backup, its reply, the highest acknowledgement, the release. */
bool isOpenSent[2];
bool isOpenAccepted[2];
byte acknowledgedBy[2];
bool isReleaseSent;

/* Store: view of the segment, and the replies on their way. */
byte storeEpoch;
byte storeOwner = OWNER;
bool isRequested[3];
byte reply[3]; /* NOBODY: none; otherwise the owner in force after the write was tried */

/* The incarnation of the backup, as its address shows it to everybody. */
byte backupIncarnation;

inline start(task, host) {
    assert(startedBy[task] == NOBODY); /* no second start */
    assert(!isAnsweredNotRun[task]); /* nothing starts after "not run" */
    startedBy[task] = host;
}

inline answerNotRun(task) {
    assert(startedBy[task] == NOBODY); /* "not run" is true */
    isAnsweredNotRun[task] = true;
}

inline append(kind) {
    logRecord[logLength] = kind;
    logLength++;
    ownerRecords = ownerRecords | (1 << (kind));
}

proctype Owner() {
    byte target; /* incarnation of the backup that the segment is opened at */
    bool isOpen, isAlone, isSealAnswered, isReleased, isReplaced;
    bool isRun[TASKS];
    byte held; /* records that the backup acknowledged */
    byte position;

#define OWNS (!isReleased && !isReplaced)
#ifdef NO_ACKNOWLEDGEMENT_BEFORE_START
#define COMMITTED(kind) true
#else
#define COMMITTED(kind) (isAlone || HAS(held, kind))
#endif

end:
    do
    /* Opening, at one incarnation of the backup only: a process that accepted may have taken over, run something and
       died, without the owner having heard of it. */
#ifdef NO_SINGLE_OPENING
    :: atomic { OWNS && !isOpen && !isOpenSent[backupIncarnation] ->
#else
    :: atomic { OWNS && !isOpen && !isOpenSent[0] && !isOpenSent[1] ->
#endif
        target = backupIncarnation;
        isOpenSent[target] = true }
    :: atomic { OWNS && !isOpen && isOpenAccepted[target] -> isOpen = true }

    /* A caller submits or resubmits. */
    :: atomic { OWNS && !HAS(ownerRecords, ACCEPT) -> append(ACCEPT) }

    /* Each task: journal the start, start once it is committed, journal the outcome. */
    :: atomic { OWNS && HAS(ownerRecords, ACCEPT) && !HAS(ownerRecords, SEAL) && !HAS(ownerRecords, START(0)) ->
        append(START(0)) }
    :: atomic { OWNS && HAS(ownerRecords, ACCEPT) && !HAS(ownerRecords, SEAL) && !HAS(ownerRecords, START(1)) ->
        append(START(1)) }
    :: atomic { OWNS && !HAS(ownerRecords, SEAL) && HAS(ownerRecords, START(0)) && COMMITTED(START(0)) && !isRun[0] ->
        isRun[0] = true;
        start(0, OWNER) }
    :: atomic { OWNS && !HAS(ownerRecords, SEAL) && HAS(ownerRecords, START(1)) && COMMITTED(START(1)) && !isRun[1] ->
        isRun[1] = true;
        start(1, OWNER) }
    :: atomic { OWNS && !HAS(ownerRecords, SEAL) && isRun[0] && !HAS(ownerRecords, OUTCOME(0)) -> append(OUTCOME(0)) }
    :: atomic { OWNS && !HAS(ownerRecords, SEAL) && isRun[1] && !HAS(ownerRecords, OUTCOME(1)) -> append(OUTCOME(1)) }

    /* Seal, then "not run" for what did not start. */
    :: atomic { OWNS && HAS(ownerRecords, ACCEPT) && !HAS(ownerRecords, SEAL) -> append(SEAL) }
#ifdef NO_SEAL_BEFORE_NOT_RUN
    :: atomic { OWNS && HAS(ownerRecords, SEAL) && !isSealAnswered ->
#else
    :: atomic { OWNS && HAS(ownerRecords, SEAL) && (isAlone || HAS(held, SEAL)) && !isSealAnswered ->
#endif
        isSealAnswered = true;
        if
        :: !isRun[0] -> answerNotRun(0)
        :: else
        fi;
        if
        :: !isRun[1] -> answerNotRun(1)
        :: else
        fi
#ifdef REACH_OWNER_NOT_RUN
        ; assert(!isAnsweredNotRun[0] || isAlone)
#endif
        }

    /* Acknowledgements of the process that accepted the segment. */
    :: atomic { isOpen && acknowledgedBy[target] > 0 ->
        held = 0;
        position = 0;
        do
        :: position < acknowledgedBy[target] ->
            held = held | (1 << logRecord[position]);
            position++
        :: else -> break
        od;
        position = 0 }

    /* Drops the backup through the store. */
    :: atomic { OWNS && !isRequested[OWNER] && !isAlone -> isRequested[OWNER] = true }
    :: atomic { OWNS && reply[OWNER] == OWNER && !isAlone -> isAlone = true }
    :: atomic { OWNS && reply[OWNER] == BACKUP -> isReplaced = true }
#ifdef NO_STORE_REPLY_BEFORE_VIEW
    :: atomic { OWNS && isRequested[OWNER] && !isAlone -> isAlone = true }
#endif

    /* Releases the segment when the backup holds everything and no view change is outstanding. */
    :: atomic { OWNS && isOpen && held == ownerRecords && !isRequested[OWNER] ->
        isReleased = true;
        isReleaseSent = true }

    /* The process is replaced by one with another incarnation, which holds nothing. */
    :: atomic { OWNS -> isReplaced = true }
#ifdef NO_OWNER_INCARNATION
    /* The new process takes the id for one of its own, and runs the submission as new. */
    :: atomic { isReplaced && !isRun[0] -> isRun[0] = true; start(0, OWNER) }
#endif
    od
}

proctype Backup() {
    bool isHolding, isFenced, isOwner, isLost, isSealed;
    byte records, fencedRecords, position, next;
    bool isRun[TASKS], isDone[TASKS];
    bool isRestarted;

end:
    do
    :: atomic { !isHolding && !isFenced && isOpenSent[0] && backupIncarnation == 0 ->
        isHolding = true;
        isOpenAccepted[0] = true }
#ifdef NO_RECEIVER_INCARNATION
    :: atomic { !isHolding && !isFenced && isOpenSent[0] && backupIncarnation == 1 ->
        isHolding = true }
#endif
    :: atomic { !isHolding && !isFenced && isOpenSent[1] && backupIncarnation == 1 ->
        isHolding = true;
        isOpenAccepted[1] = true }

    /* Records of the owner. */
#ifdef NO_FENCING
    :: atomic { isHolding && position < logLength ->
#else
    :: atomic { isHolding && !isFenced && position < logLength ->
#endif
#ifdef NO_RECORD_ORDER
        do
        :: position + next + 1 < logLength -> next++
        :: break
        od;
#endif
        position = position + next + 1;
        next = 0;
        records = records | (1 << logRecord[position - 1]);
        acknowledgedBy[backupIncarnation] = position }

    /* Takeover: fence, then ask the store. */
#ifdef NO_JOURNAL_BEFORE_TAKEOVER
    :: atomic { !isFenced && !isOwner ->
#else
    :: atomic { isHolding && !isFenced && !isOwner ->
#endif
        isFenced = true;
        isHolding = true;
        fencedRecords = records;
        isRequested[BACKUP] = true }
    :: atomic { isFenced && !isOwner && !isLost && isRequested[BACKUP] && reply[BACKUP] == BACKUP -> isOwner = true }
    :: atomic { isFenced && !isOwner && !isLost && isRequested[BACKUP] && reply[BACKUP] == OWNER -> isLost = true }

    /* Takeover by release. */
    :: atomic { isHolding && !isFenced && isReleaseSent && position == logLength ->
        isFenced = true;
        isOwner = true;
        fencedRecords = records }
#ifdef NO_LATE_OUTCOME_REFUSAL
    :: atomic { isOwner && position < logLength &&
            (logRecord[position] == OUTCOME(0) || logRecord[position] == OUTCOME(1)) ->
        records = records | (1 << logRecord[position]);
        position++ }
#endif

    /* As the owner it runs what has no start record. */
#ifdef NO_UNKNOWN_OUTCOME
#define STARTABLE(t) (!isRun[t] && !HAS(records, OUTCOME(t)))
#else
#define STARTABLE(t) (!isRun[t] && !HAS(records, START(t)))
#endif
    :: atomic { isOwner && !isSealed && !HAS(records, SEAL) && STARTABLE(0) -> isRun[0] = true; start(0, BACKUP) }
    :: atomic { isOwner && !isSealed && !HAS(records, SEAL) && STARTABLE(1) -> isRun[1] = true; start(1, BACKUP) }
    :: atomic { isOwner && isRun[0] && !isDone[0] -> isDone[0] = true }
    :: atomic { isOwner && isRun[1] && !isDone[1] -> isDone[1] = true }

    /* A complete answer: its parts are outcomes journaled before the takeover, or its own. */
    :: atomic { isOwner && !isSealed && (isDone[0] || HAS(records, OUTCOME(0))) &&
            (isDone[1] || HAS(records, OUTCOME(1))) ->
        isSealed = true;
        assert(isDone[0] || HAS(fencedRecords, OUTCOME(0)));
        assert(isDone[1] || HAS(fencedRecords, OUTCOME(1)));
        assert(!isDone[0] || startedBy[0] == BACKUP);
        assert(!isDone[1] || startedBy[1] == BACKUP)
#ifdef REACH_RECOVERED_ANSWER
        ; assert(isDone[0] || !isDone[1])
#endif
        }

    /* "Not run" after a view change that it won, or from the seal of the previous owner. */
#ifdef NO_VIEW_BEFORE_NOT_RUN
    :: atomic { isFenced && !isSealed ->
#else
    :: atomic { isOwner && !isSealed ->
#endif
        isSealed = true;
        if
        :: !isRun[0] && !HAS(records, START(0)) -> answerNotRun(0)
        :: else
        fi;
        if
        :: !isRun[1] && !HAS(records, START(1)) -> answerNotRun(1)
        :: else
        fi
#ifdef REACH_BACKUP_NOT_RUN
        ; assert(!isAnsweredNotRun[0] || startedBy[1] != OWNER)
#endif
        }

    /* The process is replaced; the new one holds nothing. */
    :: atomic { !isRestarted ->
        isRestarted = true;
        backupIncarnation = 1;
        isHolding = false; isFenced = false; isOwner = false; isLost = false; isSealed = false;
        records = 0; fencedRecords = 0; position = 0;
        isRun[0] = false; isRun[1] = false; isDone[0] = false; isDone[1] = false;
        /* A reply to the previous process does not reach this one; its write may still take effect. */
        reply[BACKUP] = NOBODY }
    od
}

/* Executes requested writes, late and repeatedly: callers repeat a request whose reply is missing. */
proctype Store() {
    byte host;
end:
    do
    :: atomic { isRequested[OWNER] -> host = OWNER;
write:
#ifdef NO_COMPARE_AND_SWAP
        storeOwner = host; storeEpoch = 1;
#else
        if
        :: storeEpoch == 0 -> storeOwner = host; storeEpoch = 1
        :: else
        fi;
#endif
        reply[host] = storeOwner;
        host = NOBODY }
    :: atomic { isRequested[BACKUP] -> host = BACKUP; goto write }
    od
}

init {
    atomic {
        run Owner();
        run Backup();
        run Store()
    }
}
