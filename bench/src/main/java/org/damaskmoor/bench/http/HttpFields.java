package org.damaskmoor.bench.http;

import io.activej.http.HttpHeader;
import io.activej.http.HttpHeaders;

/** HTTP header fields used by the stand-ins and the callers. */
public final class HttpFields {
    public static final HttpHeader NONCE = HttpHeaders.of("Nonce");
    public static final HttpHeader OUTCOME = HttpHeaders.of("Damaskmoor-Outcome");
    public static final HttpHeader CALLER = HttpHeaders.of("Damaskmoor-Caller");
    public static final HttpHeader DEADLINE_MILLISECONDS = HttpHeaders.of("Damaskmoor-Deadline-Ms");
    public static final HttpHeader IDEMPOTENCY_KEY = HttpHeaders.of("Idempotency-Key");
    public static final HttpHeader REQUEST_ID = HttpHeaders.of("Damaskmoor-Request-Id");
    public static final HttpHeader E_TAG = HttpHeaders.of("ETag");
    public static final HttpHeader IF_MATCH = HttpHeaders.of("If-Match");
    public static final HttpHeader IF_NONE_MATCH = HttpHeaders.of("If-None-Match");
    public static final String NOT_RUN = "not-run";
    public static final String UNKNOWN = "unknown";

    private HttpFields() {}
}
