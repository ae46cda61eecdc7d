/** Implementations of the at-most-once state machines. Not for use outside of the package above. */
package org.damaskmoor.core.atmostonce.internal;
