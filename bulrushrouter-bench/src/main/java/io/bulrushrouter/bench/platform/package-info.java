/**
 * Experiments on the rate of calls to the platform.
 */
package io.bulrushrouter.bench.platform;
