package io.bulrushrouter.gateway.source;

/**
 * An operator's order that no new request goes to a data centre.
 *
 * @param dataCentre the name of the data centre
 */
public record Evacuation(String dataCentre) {
}
