package io.bulrushrouter.routing;

/**
 * An estimate of how much of a prompt prefix an upstream caches.
 *
 * @param prefixDigest the hash of the prefix
 * @param cachedTokens the number of its tokens that are cached; 0 for none
 */
public record PrefixHint(long prefixDigest, int cachedTokens) {
}
