/*
 * One row of configuration, two operators, two nodes.
 *
 * The row is written by compare-and-set; a write contains its operation. A write may arrive late or
 * twice, and its answer may be lost; the operator's node then reads which operation the row has.
 * An unchanged row proves nothing (the write may be in transit), so the same write is repeated; a
 * row that is more than one version newer may have overwritten the write, so the outcome is unknown.
 * Nodes gossip versions (late, lost or twice) and lose their memory at a restart; a starting node
 * asks its peers and the store before it serves. The store may be down at any time.
 *
 * Checked: a change reported as accepted stays in the history of the row; a change reported as
 * conflicting or not accepted never takes effect; no node returns to an older version within an
 * incarnation; a node that starts to serve has at least the version that a live peer served when it
 * was asked, and that the store held. Each BREAK_ macro removes one guard.
 */
#define NODES 2
#define OPERATORS 2
#define RESTARTS 1
#define OUTAGES 1
#define REPEATS 1           /* repeats of a write whose answer was lost */
#define NO_OPERATION OPERATORS

byte row_version = 0;
byte row_operation = NO_OPERATION;
bool store_up = true;
byte outages = 0;

/* The history of the row: which operator wrote which version; 0: none. */
byte written_as[OPERATORS];
bool told_accepted[OPERATORS];
bool told_refused[OPERATORS];
bool told_unknown[OPERATORS];

byte held[NODES];           /* version in force at the node; 0: none yet */
bool serving[NODES];
byte served_in_life[NODES]; /* the highest version in force since this start */
bool gossiped[OPERATORS + 1];

bool write_sent[OPERATORS];
byte seen[OPERATORS];       /* the version on whose ETag the write is conditional */

#ifdef BREAK_COMPARE_AND_SET
#define ROW_UNCHANGED(id) (written_as[id] == 0)
#else
#define ROW_UNCHANGED(id) (row_version == seen[id])
#endif

/* A write arrives at the store, possibly late or a second time. */
inline write_arrives(id) {
    assert(!told_refused[id]);
    assert(seen[id] + 1 > row_version);     /* never over an accepted version */
    row_version = seen[id] + 1;
    row_operation = id;
    written_as[id] = row_version
}

inline tell_accepted(id) { assert(written_as[id] > 0); told_accepted[id] = true }
inline tell_refused(id) { assert(written_as[id] == 0); told_refused[id] = true }

#ifdef BREAK_LOST_ANSWER
#define AFTER_LOST_ANSWER tell_refused(id); goto done
#else
#define AFTER_LOST_ANSWER goto read_back
#endif
#ifdef BREAK_UNCHANGED_ROW
#define WHEN_UNCHANGED tell_refused(id); goto done
#else
#define WHEN_UNCHANGED if :: repeats < REPEATS -> repeats++; goto written :: else -> told_unknown[id] = true fi
#endif
#ifdef BREAK_LATER_VERSION
#define WHEN_LATER tell_refused(id)
#else
#define WHEN_LATER told_unknown[id] = true
#endif

/* An operator's change through its node: read, conditional write, resolve a lost answer. */
proctype operator(byte id) {
    byte repeats = 0;
    atomic { store_up -> seen[id] = row_version };
    if
    :: atomic { store_up -> write_sent[id] = true }
    :: atomic { !store_up -> tell_refused(id); goto done } /* the connection was not opened */
    fi;
written:
    if
    :: atomic { written_as[id] > 0 -> tell_accepted(id); goto done }
    :: atomic { store_up && row_version > seen[id] && written_as[id] == 0 ->
                tell_refused(id); goto done }   /* 412 */
    :: atomic { AFTER_LOST_ANSWER }
    :: atomic { told_unknown[id] = true; goto done } /* the operator gives up waiting */
    fi;
read_back:
    atomic { store_up ->
             if
             :: row_operation == id -> tell_accepted(id)
             :: row_operation != id && row_version == seen[id] -> WHEN_UNCHANGED
             :: row_operation != id && row_version == seen[id] + 1 -> tell_refused(id)
             :: row_operation != id && row_version > seen[id] + 1 -> WHEN_LATER
             fi };
done:
    skip
}

inline put_in_force(n, version) {
#ifndef BREAK_NODE_STEPS_BACK
    if
    :: version > held[n] -> held[n] = version
    :: else
    fi;
#else
    held[n] = version;
#endif
    assert(held[n] >= served_in_life[n]);
    served_in_life[n] = held[n];
    gossiped[held[n]] = true
}

#ifdef BREAK_NODE_STEPS_BACK
#define WORTH_HEARING(version, n) gossiped[version]
#else
#define WORTH_HEARING(version, n) (gossiped[version] && version > held[n])
#endif

proctype node(byte n) {
    byte restarts = 0;
    byte due;               /* the oldest version that a starting node may serve */
start:
    due = 0;
#ifndef BREAK_FRESH_NODE_SKIPS_PEERS
    atomic { if
             :: serving[1 - n] -> due = held[1 - n]; put_in_force(n, held[1 - n])
             :: !serving[1 - n] -> due = 0
             fi };
#else
    atomic { if :: serving[1 - n] -> due = held[1 - n] :: else fi };
#endif
#ifndef BREAK_FRESH_NODE_SKIPS_STORE
    /* With a serving peer a node may start during an outage; without one the store must answer. */
    atomic { if
             :: store_up -> if :: row_version > due -> due = row_version :: else fi;
                            put_in_force(n, row_version)
             :: !store_up && serving[1 - n]
             fi };
#else
    atomic { if :: store_up && row_version > due -> due = row_version :: else fi };
#endif
    atomic { assert(held[n] >= due); serving[n] = true };
end:
    do
#ifndef BREAK_NO_STORE_REFRESH
    :: atomic { store_up && row_version > held[n] -> put_in_force(n, row_version) }
#endif
    :: atomic { WORTH_HEARING(1, n) -> put_in_force(n, 1) }
    :: atomic { WORTH_HEARING(2, n) -> put_in_force(n, 2) }
    :: atomic { restarts < RESTARTS -> restarts++; held[n] = 0; served_in_life[n] = 0;
                serving[n] = false; goto start }
    od
}

#define WRITE_MAY_LAND(id) (store_up && write_sent[id] && ROW_UNCHANGED(id))

active proctype store() {
    run operator(0);
    run operator(1);
    run node(0);
    run node(1);
end:
    do
    :: atomic { store_up && outages < OUTAGES -> store_up = false; outages++ }
    :: atomic { !store_up -> store_up = true }
    :: atomic { WRITE_MAY_LAND(0) -> write_arrives(0) }
    :: atomic { WRITE_MAY_LAND(1) -> write_arrives(1) }
    od
}

/*
 * The accepted version is eventually in force at every node, and stays so. No execution is infinite
 * (outages, restarts and repeats are bounded), so no fairness is assumed.
 */
#define IN_FORCE(n) (serving[n] && held[n] == row_version)
ltl accepted_comes_into_force_everywhere { <> [] (IN_FORCE(0) && IN_FORCE(1)) }
