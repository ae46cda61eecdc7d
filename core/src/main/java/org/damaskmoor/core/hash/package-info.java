/** Hashes that nodes must agree on, whatever their version. */
package org.damaskmoor.core.hash;
