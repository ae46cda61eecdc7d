/*
 * A non-idempotent call is sent over a link that the entry node considers lost while the call may
 * still be in transit; the entry node then uses a second link to seal the call.
 *
 * A link belongs to one process of a target; its frames arrive in order or not at all, and those of
 * two links in any order. The first frame of a link contains the intended node and the number of the
 * link; a target closes older links of the same entry node when it accepts a newer one. Over the
 * second link the entry node asks the target to seal the call. The target may restart at any point,
 * and its address may then belong to another node.
 *
 * Checked: the call runs at most once, also when the entry node sends it to another target after the
 * seal; a call reported as "not run" has not run and never will; no node that takes over the address
 * runs it. Each BREAK_ macro removes one guard.
 */
#define LINKS 2

bool call_on[LINKS + 1];    /* the call's frame is in transit over this link */
bool hello_on[LINKS + 1];
bool seal_on[LINKS + 1];
byte process_of[LINKS + 1]; /* the target's process at the other end; 0: not open */

byte process = 1;           /* the target's current process */
bool other_node = false;    /* the address now belongs to another node */
byte newest = 0;            /* greatest number of a link that the current process has accepted */
bool taken = false;         /* the current process has received the call */

byte runs = 0;
bool told_not_run = false;
byte answer = 0;            /* result of the seal: 1 sealed, 2 handed over, 3 another process */
byte asked_process = 0;     /* the process to which the call was sent */

inline execute() {
    runs++;
    assert(runs <= 1);
    assert(!told_not_run)
}

#ifdef BREAK_FENCE
#define TAKES(link) (process_of[link] == process && link <= newest)
#else
#define TAKES(link) (process_of[link] == process && link == newest)
#endif
#ifdef BREAK_INCARNATION
#define SAME_PROCESS true
#else
#define SAME_PROCESS (asked_process == process)
#endif
#ifdef BREAK_NODE_NAME
#define MEANT true
#else
#define MEANT (!other_node)
#endif

proctype target() {
end:
    do
    :: atomic { hello_on[1] && process_of[1] == process && newest < 1 && MEANT ->
                hello_on[1] = false; newest = 1 }
    :: atomic { hello_on[2] && process_of[2] == process && newest < 2 && MEANT ->
                hello_on[2] = false; newest = 2 }
    :: atomic { call_on[1] && TAKES(1) && !hello_on[1] -> call_on[1] = false;
                if
                :: !taken -> taken = true; assert(!other_node); execute()
                :: else -> skip
                fi }
    :: atomic { seal_on[2] && process_of[2] == process && !hello_on[2] && MEANT ->
                seal_on[2] = false;
                if
                :: !SAME_PROCESS -> answer = 3
                :: SAME_PROCESS && taken -> answer = 2
                :: SAME_PROCESS && !taken -> answer = 1
                fi }
    :: atomic { process == 1 -> process = 2; newest = 0; taken = false;
                if
                :: other_node = true
                :: true
                fi }
    od
}

proctype entry() {
    atomic { process_of[1] = process; hello_on[1] = true; call_on[1] = true;
             asked_process = process }
    /* from here on the entry node considers the first link lost */
    atomic { process_of[2] = process; hello_on[2] = true; seal_on[2] = true }
end_awaiting:
    if
    :: true -> skip /* no answer in time: unknown */
    :: answer == 1 ->
        if
        :: atomic { told_not_run = true; assert(runs == 0) }
        :: atomic { execute() } /* at another target */
        fi
    :: answer > 1 -> skip
    fi
end:
    true
}

init {
    atomic {
        run target();
        run entry()
    }
}
