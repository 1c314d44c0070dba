/**
 * The shortfall report of an evacuation, which lists what is met, on the way or short, as
 * text, JSON or HTML.
 */
package io.bulrushrouter.evacuation.report;
