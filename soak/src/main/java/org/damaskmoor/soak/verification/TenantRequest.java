package org.damaskmoor.soak.verification;

/**
 * A request with the key that its caller sent. Immutable and thread-safe.
 *
 * @param key the API key; empty if none was sent
 * @param isPublic whether its route needs no key
 * @param sentAt when the caller began to send it, in milliseconds
 * @param status HTTP status of the answer; 0 without an answer
 */
public record TenantRequest(String id, String key, boolean isPublic, long sentAt, int status) {}
