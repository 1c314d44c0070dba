/**
 * Evacuation plans, morning sheets, the reconciler and its report.
 */
package io.bulrushrouter.evacuation;
