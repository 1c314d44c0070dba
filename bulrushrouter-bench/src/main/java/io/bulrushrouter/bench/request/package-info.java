/**
 * Experiments on retries and on claims of idempotency keys.
 */
package io.bulrushrouter.bench.request;
