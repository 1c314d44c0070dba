package io.bulrushrouter.daemon.config;

/**
 * The peak demand of an organisation for a model or plain service.
 *
 * @param model the model or plain service
 * @param requests the number of concurrent requests
 */
public record ModelDemand(String model, int requests) {
}
