package io.bulrushrouter.routing;

/**
 * How much of a prompt prefix an upstream is thought to cache.
 *
 * @param prefixDigest the hash of the prefix
 * @param cachedTokens how many of its tokens are cached; 0 for none
 */
public record PrefixHint(long prefixDigest, int cachedTokens) {
}
