/*
 * A lease in the table service with a fencing number; its holders may be paused at any point.
 *
 * A lease has a row (holder, number); each take-over increases the number by compare-and-set. A
 * holder writes with its number, and the store refuses a number below the highest that it has seen. A
 * paused holder takes no step for an arbitrary time, so its lease may lapse unnoticed. Writes may
 * arrive late or twice; the answer to a take-over may be lost after the take-over took effect.
 *
 * Checked: no write of an earlier holder takes effect after a write of a later holder; two holders
 * never share a number. Each BREAK_ macro removes one guard.
 */
#define HOLDERS 2
#define TAKE_OVERS 3

byte row_number = 0;        /* fencing number in the lease's row */
byte row_holder = HOLDERS;  /* none */
bool lapsed = true;         /* by the store's clock: the lease was not renewed */

byte highest_written = 0;   /* the highest number with which a write took effect */
byte writer_of[TAKE_OVERS + 1];
bool write_sent[TAKE_OVERS + 1];
byte sender_of[TAKE_OVERS + 1];

inline take_effect(number) {
    assert(number >= highest_written);
    assert(writer_of[number] == 0 || writer_of[number] == sender_of[number] + 1);
    writer_of[number] = sender_of[number] + 1;
    highest_written = number
}

#ifdef BREAK_NO_COMPARE_AND_SET
#define ROW_UNCHANGED true
#else
#define ROW_UNCHANGED (row_number == seen_number && row_holder == seen_holder)
#endif
#ifdef BREAK_REUSED_NUMBER
#define NEXT_NUMBER (seen_number == 0 -> 1 : seen_number)
#else
#define NEXT_NUMBER (seen_number + 1)
#endif

proctype holder(byte id) {
    byte seen_number = 0;
    byte seen_holder = HOLDERS;
    byte number = 0;            /* the number that it believes to hold; 0: none */
end:
    do
    :: atomic { lapsed && row_number < TAKE_OVERS ->
                seen_number = row_number; seen_holder = row_holder }
    :: atomic { seen_number < TAKE_OVERS && ROW_UNCHANGED && lapsed ->
                row_number = NEXT_NUMBER; row_holder = id; lapsed = false;
                if
                :: number = row_number
                :: true                 /* the answer was lost: unaware that it is the holder */
                fi }
    :: atomic { row_holder == id && !lapsed && number == 0 ->
                number = row_number }   /* reads the row after a lost answer */
    :: atomic { number > 0 -> write_sent[number] = true; sender_of[number] = id }
    :: atomic { number > 0 -> number = 0 }
    od
}

#ifdef BREAK_NO_FENCING
#define FENCE_PERMITS(number) true
#else
#define FENCE_PERMITS(number) (number >= highest_seen)
#endif

active proctype store() {
    byte highest_seen = 0;
    byte number;
    run holder(0);
    run holder(1);
end:
    do
    :: atomic { !lapsed -> lapsed = true }
    :: atomic { select (number : 1 .. TAKE_OVERS);
                if
                :: write_sent[number] && FENCE_PERMITS(number) ->
                    highest_seen = number; take_effect(number)
                :: else
                fi;
                number = 0 }
    od
}
