/*
 * A lease in the table service with a fencing number, and holders that may be paused at any point.
 *
 * A lease has a row (holder, number); each take-over raises the number by compare-and-set. A holder
 * writes under its number, and the store refuses a number below the highest that it has seen. A
 * paused holder takes no step for long, so its lease may lapse without its notice. Writes travel on
 * their own and may come late or twice; answers of a take-over may be lost after their effect.
 *
 * Proved: no write of a former holder takes effect after a write of a later holder; two holders
 * never share a number. Each BREAK_ macro takes one guard away.
 */
#define HOLDERS 2
#define TAKE_OVERS 3

byte row_number = 0;        /* fencing number in the lease's row */
byte row_holder = HOLDERS;  /* none */
bool lapsed = true;         /* by the store's time: the lease was not renewed */

byte highest_written = 0;   /* the highest number under which a write took effect */
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
    byte number = 0;            /* the number it believes to hold; 0: none */
end:
    do
    :: atomic { lapsed && row_number < TAKE_OVERS ->
                seen_number = row_number; seen_holder = row_holder }
    :: atomic { seen_number < TAKE_OVERS && ROW_UNCHANGED && lapsed ->
                row_number = NEXT_NUMBER; row_holder = id; lapsed = false;
                if
                :: number = row_number
                :: true                 /* the answer was lost: it doesn't know that it holds */
                fi }
    :: atomic { row_holder == id && !lapsed && number == 0 ->
                number = row_number }   /* reading back settles a lost answer */
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
