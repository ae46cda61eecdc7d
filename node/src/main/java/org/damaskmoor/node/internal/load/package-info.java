/** Measurement of other nodes' load, with counters and limits for the bytes that it costs. */
package org.damaskmoor.node.internal.load;
