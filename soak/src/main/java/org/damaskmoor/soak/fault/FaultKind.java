package org.damaskmoor.soak.fault;

import java.util.EnumSet;
import java.util.List;

/** The kinds of fault that a soak run can inject. */
public enum FaultKind {
    KILL_RELAY,
    PAUSE_RELAY,
    STOP_RELAY,
    RELOAD_RELAY,
    KILL_UPSTREAM,
    FREEZE_UPSTREAM,
    DRAIN_UPSTREAM,
    STORE_UNAVAILABLE,
    STORE_SILENT,
    STORE_LOSES_ANSWERS,
    STORE_FORGETS_HISTORY,
    DELAY_LINKS,
    RESET_LINKS,
    CUT_LINKS_ONE_WAY,
    SILENCE_LINKS,
    RESET_STORE_LINK,
    SILENCE_STORE_LINK,
    RESET_UPSTREAM_LINK,
    CUT_UPSTREAM_LINK_ONE_WAY,
    RESET_CALLERS,
    DELAY_CALLERS,
    LIMIT_UPSTREAM,
    RESTORE_STORE,
    SPOIL_ANSWERS,
    SET_CLOCK_BACK,
    STUTTER,
    EVACUATE;

    /** Kinds of the plan that each seed had first; its faults stay the same. */
    static final List<FaultKind> FIRST_KINDS =
            List.copyOf(EnumSet.range(KILL_RELAY, DELAY_CALLERS));

    /** Kinds that were added to the plans of all seeds, beside the first ones. */
    static final List<FaultKind> LATER_KINDS =
            List.copyOf(EnumSet.range(LIMIT_UPSTREAM, RESTORE_STORE));

    /** Kinds that were added after those. */
    static final List<FaultKind> LATEST_KINDS =
            List.copyOf(EnumSet.range(SPOIL_ANSWERS, SET_CLOCK_BACK));

    /** Kinds in which upstreams answer twice, added after all others. */
    static final List<FaultKind> STUTTER_KINDS = List.of(STUTTER);

    /** Kinds of the operator's commands, added after those. */
    static final List<FaultKind> EVACUATION_KINDS = List.of(EVACUATE);
}
