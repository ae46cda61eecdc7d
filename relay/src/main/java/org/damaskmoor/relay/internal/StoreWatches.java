package org.damaskmoor.relay.internal;

/** The watches of both tables of the store. Confined to the event loop. */
interface StoreWatches {
    /** Whether the store did not answer the last call for either table. */
    boolean isStoreLost();

    /** Whether the store did not answer the last call for the configuration. */
    boolean isConfigurationLost();

    /** Whether the store has answered within the given time in milliseconds. */
    boolean wasAnsweredWithin(long milliseconds);

    /** Ends delays and rests of both watches. */
    void pollNow();

    /** Ends the delay or rest of the configuration's watch. */
    void pollConfigurationNow();

    /** Reads the members again. */
    void rereadMembers();

    /**
     * A peer knows a configuration that this node has not got from the store: ends a pause, or
     * reads both tables again if a call that waits for a change has not returned it.
     */
    void catchUp();
}
