/** Implementations of the at-most-once state machines. Not for use outside the parent package. */
package org.damaskmoor.core.atmostonce.internal;
