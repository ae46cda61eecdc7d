package org.damaskmoor.core.membership;

/** Receives membership changes. Called on the protocol thread. */
@FunctionalInterface
public interface MemberListener {
    /** Called once for each change, in the order in which this node learned of them. */
    void onEvent(MemberEvent event);
}
