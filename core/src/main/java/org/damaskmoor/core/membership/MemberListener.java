package org.damaskmoor.core.membership;

/** Hears what changes in the group. Called on the thread that drives the protocol. */
@FunctionalInterface
public interface MemberListener {
    /** Called once for each change, in the order in which this node learnt of them. */
    void onEvent(MemberEvent event);
}
