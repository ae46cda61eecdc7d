package org.damaskmoor.bench.link;

/**
 * Both directions of a link, as one process sees them.
 *
 * @param outgoing what this process sends
 * @param incoming what this process receives over connections that it opened
 */
public record LinkPair(Link outgoing, Link incoming) {
    /** Makes both directions behave differently from now on. */
    public void change(Link.Profile profile) {
        outgoing.change(profile);
        incoming.change(profile);
    }
}
