/**
 * In-memory and HTTP stand-ins for the platform, engines, rank groups and plain services,
 * for tests, benchmarks and the demonstration.
 */
package io.bulrushrouter.standin;
