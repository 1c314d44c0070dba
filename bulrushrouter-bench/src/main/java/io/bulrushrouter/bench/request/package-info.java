/**
 * Experiments on retries and on claims of idempotency keys, on simulated time.
 */
package io.bulrushrouter.bench.request;
