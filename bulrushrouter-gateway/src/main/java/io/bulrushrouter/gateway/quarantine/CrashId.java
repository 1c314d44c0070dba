package io.bulrushrouter.gateway.quarantine;

/**
 * Identifies a crash over all entries: an incarnation of an upstream crashes once.
 *
 * @param upstream the upstream's identifier
 * @param incarnation the start of the incarnation as the upstream states it
 */
public record CrashId(String upstream, long incarnation) {
}
