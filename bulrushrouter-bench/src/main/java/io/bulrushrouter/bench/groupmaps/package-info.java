/**
 * Simulates a rank group whose demand for experts shifts, and compares expert map rules.
 */
package io.bulrushrouter.bench.groupmaps;
