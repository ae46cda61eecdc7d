/** Hashes on which nodes of all versions must agree. */
package org.damaskmoor.core.hash;
