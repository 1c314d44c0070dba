/**
 * Admission of streams and the budget of retries. Pure decision logic that does no input
 * or output.
 */
package io.bulrushrouter.gateway.admission;
