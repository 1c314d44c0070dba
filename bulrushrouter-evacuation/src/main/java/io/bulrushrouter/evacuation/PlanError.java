package io.bulrushrouter.evacuation;

/**
 * A validation error of a plan.
 *
 * @param path the path of the invalid field, such as {@code departures[2].target}
 * @param message a description of the error, for operators
 */
public record PlanError(String path, String message) {
}
