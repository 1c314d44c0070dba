/**
 * Experiments on the calls to the platform.
 */
package io.bulrushrouter.bench.platform;
