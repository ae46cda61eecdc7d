/** What an upstream tells of itself, in the terms of this project. */
package org.damaskmoor.core.upstream;
