package org.damaskmoor.relay.internal.target;

/**
 * Where an answer came from. Immutable and thread-safe.
 *
 * @param localPort our port of the connection, which names it among those to the upstream
 * @param calls calls and health checks that the connection has carried, with the answered one
 * @param skippedAnswers answers to other requests that came between this call and its answer
 */
record AnswerOrigin(int localPort, int calls, int skippedAnswers) {}
