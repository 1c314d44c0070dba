package io.bulrushrouter.evacuation;

/**
 * One thing that is wrong with a plan.
 *
 * @param path where, such as {@code departures[2].target}
 * @param message what, for a person
 */
public record PlanError(String path, String message) {
}
