/**
 * Handling of requests at the entry and at the sidecar: attempts, retries, hedges, claims
 * of idempotency keys, cached responses and streams.
 */
package io.bulrushrouter.request;
