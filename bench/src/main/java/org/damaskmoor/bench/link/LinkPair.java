package org.damaskmoor.bench.link;

/**
 * Both directions of a link from the viewpoint of one process.
 *
 * @param outgoing what this process sends
 * @param incoming what this process receives over connections that it opened
 */
public record LinkPair(Link outgoing, Link incoming) {
    /** Replaces the behaviour of both directions. */
    public void change(Link.Profile profile) {
        outgoing.change(profile);
        incoming.change(profile);
    }
}
