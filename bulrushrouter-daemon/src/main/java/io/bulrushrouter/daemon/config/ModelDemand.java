package io.bulrushrouter.daemon.config;

/**
 * What an organisation needs of a model or plain service at its peak.
 *
 * @param model the model or plain service
 * @param requests how many requests it has in the air at once
 */
public record ModelDemand(String model, int requests) {
}
