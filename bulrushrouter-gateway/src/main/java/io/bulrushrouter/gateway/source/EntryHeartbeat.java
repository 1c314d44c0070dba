package io.bulrushrouter.gateway.source;

/**
 * The heartbeat of an entry as it is in the store.
 *
 * @param instance the entry's name
 * @param revision the revision of its newest heartbeat; a different one is a newer
 * heartbeat
 */
public record EntryHeartbeat(String instance, long revision) {
}
