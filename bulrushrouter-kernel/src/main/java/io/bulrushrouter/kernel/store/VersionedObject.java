package io.bulrushrouter.kernel.store;

/**
 * An object as it was read.
 *
 * @param key the name
 * @param version the store's version, higher after each write
 * @param writeId the mark of the write that made this version
 * @param value the content, at most 1 MB
 */
public record VersionedObject(ObjectKey key, long version, WriteId writeId, byte[] value) {
}
