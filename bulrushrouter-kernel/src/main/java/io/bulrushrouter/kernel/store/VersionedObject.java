package io.bulrushrouter.kernel.store;

/**
 * An object as it was read from the store.
 *
 * @param key the key of the object
 * @param version the version of the object, which increases with each write
 * @param writeId the identifier of the write that created this version
 * @param value the content, at most 1 MB
 */
public record VersionedObject(ObjectKey key, long version, WriteId writeId, byte[] value) {
}
