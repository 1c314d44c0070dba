package io.bulrushrouter.experts.switchover;

/**
 * A change of the expert map, as proposed by one attempt.
 *
 * @param attempt the attempt
 * @param fromVersion the version of the map in use before
 * @param toVersion the version of the map in use from {@code step} on
 * @param step the first step on the new map
 */
public record MapSwitch(Attempt attempt, long fromVersion, long toVersion, long step) {
}
