/**
 * The shortfall report: what is met, on the way or short, as a table, JSON or HTML.
 */
package io.bulrushrouter.evacuation.report;
