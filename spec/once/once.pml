/*
 * At-most-once execution: one non-idempotent request, its entry node and two targets.
 *
 * The network keeps every message that was ever sent, so a message may be delivered late, twice,
 * out of order, or never. A paused node takes no step for an arbitrary time. Targets restart with a
 * new incarnation and an empty ledger. Clocks of targets differ without bound. The ledger_* steps
 * are generated from transitions.txt.
 *
 * Checked: the request runs at most once; if the caller was told "not run", it has not run and
 * never does; the caller always receives an outcome. Each BREAK_ macro removes one guard.
 */
#define TARGETS 2
#define ATTEMPTS 2

/* Replies to an attempt, one bit each. */
#define ACCEPTED_REPLY 1
#define REFUSED_REPLY 2
#define STALE_REPLY 4
#define ANSWER_REPLY 8
#define FAILED_REPLY 16
#define SEALED_REPLY 32
#define HANDED_OVER_REPLY 64
#define OTHER_INCARNATION_REPLY 128

/* Time of a target's clock, relative to the deadline in the messages. */
#define IN_TIME 0
#define PAST_DEADLINE 1
#define PAST_KEEP_UNTIL 2

#include "transitions.pml"

mtype = { NONE_TOLD, TOLD_NOT_RUN, TOLD_ANSWER, TOLD_UNKNOWN };
mtype = { CHOOSING, WRITING, SENT, SEALING, WAITING };

byte runs = 0;
mtype told = NONE_TOLD;

/* Messages of the entry node, per attempt: the call, the seal, and the target incarnation in both. */
bool called[ATTEMPTS];
bool sealed[ATTEMPTS];
byte target_of[ATTEMPTS];
bit meant[ATTEMPTS];
byte replies[ATTEMPTS];
byte attempt = 0;
mtype phase = CHOOSING;

/* Targets: the state of the request in the ledger, and the state of the node. */
mtype state[TARGETS] = ABSENT;
mtype result;
bit incarnation[TARGETS];
byte clock[TARGETS];
bool in_queue[TARGETS];
bool taken_by_upstream[TARGETS];
byte heard[TARGETS];

inline upstream_runs() {
    runs++;
    assert(runs <= 1);
    assert(told != TOLD_NOT_RUN);
}

inline reply_outcome(t, a) {
    if
    :: state[t] == SEALED || state[t] == REFUSED -> replies[a] = replies[a] | REFUSED_REPLY
    :: state[t] == ANSWERED -> replies[a] = replies[a] | ANSWER_REPLY
    :: state[t] == FAILED -> replies[a] = replies[a] | FAILED_REPLY
    :: else
    fi
}

inline reply_to_all_heard(t) {
    if :: heard[t] & 1 -> reply_outcome(t, 0) :: else fi;
    if :: heard[t] & 2 -> reply_outcome(t, 1) :: else fi
}

#ifdef BREAK_CALL_INCARNATION
#define CALL_IS_FOR_OTHER(t, a) false
#else
#define CALL_IS_FOR_OTHER(t, a) (meant[a] != incarnation[t])
#endif

inline call_arrives(t, a) {
    if
    :: CALL_IS_FOR_OTHER(t, a) -> ledger_acceptOther(t)
    :: !CALL_IS_FOR_OTHER(t, a) && clock[t] == IN_TIME -> ledger_accept(t)
    :: !CALL_IS_FOR_OTHER(t, a) && clock[t] == IN_TIME &&
            (state[t] == ABSENT || state[t] == FENCED) ->
        ledger_acceptFull(t);
#ifdef BREAK_FENCE
        state[t] = ABSENT
#endif
    :: !CALL_IS_FOR_OTHER(t, a) && clock[t] == PAST_DEADLINE -> ledger_acceptLate(t)
    :: !CALL_IS_FOR_OTHER(t, a) && clock[t] == PAST_KEEP_UNTIL ->
#ifdef BREAK_LATE_CALL
        ledger_accept(t)
#else
        ledger_acceptTooLate(t)
#endif
    fi;
#ifdef BREAK_LATE_REFUSAL
    if :: result == TOO_LATE -> result = DEADLINE_PASSED :: else fi;
#endif
#ifdef BREAK_DUPLICATE
    if :: result == DUPLICATE && state[t] != QUEUED -> state[t] = QUEUED; result = ACCEPTED;
            taken_by_upstream[t] = false
    :: else
    fi;
#endif
    if
    :: result == ACCEPTED ->
        in_queue[t] = true;
        heard[t] = heard[t] | (1 << a);
        replies[a] = replies[a] | ACCEPTED_REPLY
    :: result == DUPLICATE ->
        heard[t] = heard[t] | (1 << a);
        replies[a] = replies[a] | ACCEPTED_REPLY;
        reply_outcome(t, a)
    :: result == SEALED_ALREADY || result == FULL || result == DEADLINE_PASSED ->
        replies[a] = replies[a] | REFUSED_REPLY
    :: result == WRONG_INCARNATION -> replies[a] = replies[a] | STALE_REPLY
    :: result == TOO_LATE
    fi;
    result = 0
}

#ifdef BREAK_SEAL_INCARNATION
#define SEAL_IS_FOR_OTHER(t, a) false
#else
#define SEAL_IS_FOR_OTHER(t, a) (meant[a] != incarnation[t])
#endif

inline seal_arrives(t, a) {
    if
    :: SEAL_IS_FOR_OTHER(t, a) -> ledger_sealOther(t)
    :: !SEAL_IS_FOR_OTHER(t, a) && clock[t] != PAST_KEEP_UNTIL ->
#ifdef BREAK_TOMBSTONE
        if
        :: state[t] == ABSENT -> result = SEALED
        :: else -> ledger_seal(t)
        fi
#else
        ledger_seal(t)
#endif
    :: !SEAL_IS_FOR_OTHER(t, a) && clock[t] != PAST_KEEP_UNTIL &&
            (state[t] == ABSENT || state[t] == FENCED) ->
        ledger_sealFull(t)
    :: !SEAL_IS_FOR_OTHER(t, a) && clock[t] == PAST_KEEP_UNTIL ->
#ifdef BREAK_LATE_SEAL
        ledger_seal(t)
#else
        ledger_sealTooLate(t)
#endif
    fi;
#ifdef BREAK_SEAL_AFTER_HAND_OVER
    if :: result == HANDED_OVER -> result = SEALED :: else fi;
#endif
    if
    :: result == SEALED ->
        replies[a] = replies[a] | SEALED_REPLY;
        reply_to_all_heard(t)
    :: result == HANDED_OVER || result == ANSWERED ->
        heard[t] = heard[t] | (1 << a);
        replies[a] = replies[a] | HANDED_OVER_REPLY;
        reply_outcome(t, a)
    :: result == OTHER_INCARNATION -> replies[a] = replies[a] | OTHER_INCARNATION_REPLY
    fi;
    result = 0
}

inline hand_over(t) {
    in_queue[t] = false;
    if
    :: clock[t] == IN_TIME -> ledger_handOver(t)
    :: else -> ledger_handOverLate(t)
    fi;
#ifdef BREAK_HAND_OVER_SEALED
    if :: state[t] == SEALED -> state[t] = HANDED_OVER :: else fi;
#endif
    reply_to_all_heard(t);
    result = 0
}

inline restart(t) {
    if
    :: state[t] == HANDED_OVER && !taken_by_upstream[t] -> upstream_runs() /* it may be in transit */
    :: true
    fi;
    incarnation[t] = 1;
    state[t] = ABSENT;
    in_queue[t] = false;
    taken_by_upstream[t] = false;
    heard[t] = 0
}

#ifdef BREAK_EARLY_DROP
#define MAY_EXPIRE(t) true
#else
#define MAY_EXPIRE(t) (clock[t] == PAST_KEEP_UNTIL)
#endif
#ifdef BREAK_RETURNED
#define TRULY_RETURNED(t) true
#else
#define TRULY_RETURNED(t) (!taken_by_upstream[t])
#endif

#define HAS(messages, a, t) (messages[a] && target_of[a] == t)

proctype target(byte t) {
    byte a = 0;
end:
    do
    :: atomic { HAS(called, 0, t) || HAS(called, 1, t) ->
                if :: HAS(called, 0, t) -> a = 0 :: HAS(called, 1, t) -> a = 1 fi;
                call_arrives(t, a); a = 0 }
    :: atomic { HAS(sealed, 0, t) || HAS(sealed, 1, t) ->
                if :: HAS(sealed, 0, t) -> a = 0 :: HAS(sealed, 1, t) -> a = 1 fi;
                seal_arrives(t, a); a = 0 }
    :: atomic { in_queue[t] -> hand_over(t) }
    :: atomic { in_queue[t] -> in_queue[t] = false; ledger_refuse(t); reply_to_all_heard(t);
                result = 0 }
    :: atomic { state[t] == HANDED_OVER && !taken_by_upstream[t] ->
                taken_by_upstream[t] = true; upstream_runs() }
    :: atomic { state[t] == HANDED_OVER && TRULY_RETURNED(t) ->
                ledger_returned(t); in_queue[t] = true; taken_by_upstream[t] = false; result = 0 }
    :: atomic { state[t] == HANDED_OVER && taken_by_upstream[t] ->
                ledger_answered(t); reply_to_all_heard(t); result = 0 }
    :: atomic { state[t] == HANDED_OVER && taken_by_upstream[t] ->
                ledger_failed(t); reply_to_all_heard(t); result = 0 }
    :: atomic { clock[t] < PAST_KEEP_UNTIL -> clock[t]++ }
    :: atomic { state[t] != ABSENT && MAY_EXPIRE(t) -> ledger_expire(t); result = 0 }
    :: atomic { incarnation[t] == 0 -> restart(t) }
    od
}

inline tell(outcome) {
    assert(told == NONE_TOLD);
    assert(outcome != TOLD_NOT_RUN || runs == 0);
    told = outcome
}

/* The attempt is proved not to have run: send the next attempt, or report "not run". */
inline not_run() {
    if
    :: attempt + 1 < ATTEMPTS -> attempt++; phase = CHOOSING
    :: true -> tell(TOLD_NOT_RUN)
    fi
}

#define OPEN (told == NONE_TOLD && (phase == SENT || phase == SEALING || phase == WAITING))
#ifdef BREAK_ATTEMPT_NUMBER
#define GOT(reply) (OPEN && ((replies[0] | replies[1]) & reply))
#else
#define GOT(reply) (OPEN && (replies[attempt] & reply))
#endif
#ifdef BREAK_WRITE_AFTER_END
#define MAY_WRITE (phase == WRITING)
#else
#define MAY_WRITE (phase == WRITING && told == NONE_TOLD)
#endif
#ifdef BREAK_RETRY_WITHOUT_SEAL
#define AFTER_SILENCE not_run()
#else
#define AFTER_SILENCE sealed[attempt] = true; phase = SEALING
#endif
#ifdef BREAK_TRUST_SILENCE
#define AFTER_NO_SEAL_RESULT not_run()
#else
#define AFTER_NO_SEAL_RESULT tell(TOLD_UNKNOWN)
#endif
#ifdef BREAK_TRUST_STALE
#define AFTER_STALE not_run()
#else
#define AFTER_STALE tell(TOLD_UNKNOWN)
#endif
#ifdef BREAK_TRUST_OTHER_INCARNATION
#define AFTER_OTHER_INCARNATION not_run()
#else
#define AFTER_OTHER_INCARNATION tell(TOLD_UNKNOWN)
#endif
#ifdef BREAK_RETRY_FAILED
#define AFTER_FAILURE not_run()
#else
#define AFTER_FAILURE tell(TOLD_UNKNOWN)
#endif
#ifdef BREAK_REFUSE_AT_DEADLINE
#define AT_DEADLINE tell(TOLD_NOT_RUN)
#else
#define AT_DEADLINE if :: OPEN -> tell(TOLD_UNKNOWN) :: else -> tell(TOLD_NOT_RUN) fi
#endif
#ifdef BREAK_NO_DEADLINE
#define DEADLINE_FIRES false
#else
#define DEADLINE_FIRES (told == NONE_TOLD)
#endif

active proctype entry() {
    run target(0);
    run target(1);
end:
    do
    :: atomic { phase == CHOOSING && told == NONE_TOLD ->
                if :: target_of[attempt] = 0 :: target_of[attempt] = 1 fi;
                if :: meant[attempt] = 0 :: meant[attempt] = incarnation[target_of[attempt]] fi;
                phase = WRITING }
    :: atomic { MAY_WRITE -> called[attempt] = true; phase = SENT }
    :: atomic { phase == WRITING && told == NONE_TOLD -> not_run() } /* connection refused */
    :: atomic { told == NONE_TOLD && phase == SENT -> AFTER_SILENCE }
    :: atomic { told == NONE_TOLD && phase == SEALING -> AFTER_NO_SEAL_RESULT }
    :: atomic { told == NONE_TOLD && phase == WAITING -> sealed[attempt] = true; phase = SEALING }
    :: atomic { GOT(HANDED_OVER_REPLY) && phase == SEALING -> phase = WAITING }
    :: atomic { GOT(REFUSED_REPLY) -> not_run() }
    :: atomic { GOT(SEALED_REPLY) -> not_run() }
    :: atomic { GOT(ANSWER_REPLY) -> tell(TOLD_ANSWER) }
    :: atomic { GOT(FAILED_REPLY) -> AFTER_FAILURE }
    :: atomic { GOT(STALE_REPLY) -> AFTER_STALE }
    :: atomic { GOT(OTHER_INCARNATION_REPLY) -> AFTER_OTHER_INCARNATION }
    od
}

/* The deadline is a separate process, so that other messages cannot keep it from firing. */
active proctype deadline_timer() {
    if
    :: atomic { DEADLINE_FIRES -> AT_DEADLINE }
    :: told != NONE_TOLD
    fi
}

/* Assuming weak fairness: a process that can always take a step eventually takes one. */
ltl every_request_ends { <> (told != NONE_TOLD) }
