package io.bulrushrouter.request;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;

import io.bulrushrouter.kernel.BulrushException;
import io.bulrushrouter.kernel.ErrorCode;
import io.bulrushrouter.kernel.OrganisationId;

/**
 * The first 128 bits of the SHA-256 hash of an organisation and its idempotency key, so
 * that no caller can choose a key that collides with another organisation's key.
 *
 * @param high the first 64 bits
 * @param low the next 64 bits
 */
record KeyHash(long high, long low) {

	static KeyHash of(OrganisationId organisation, String key) {
		byte[] text = (organisation + "\n" + key).getBytes(StandardCharsets.UTF_8);
		ByteBuffer hash = ByteBuffer.wrap(sha256().digest(text));
		return new KeyHash(hash.getLong(), hash.getLong());
	}

	private static MessageDigest sha256() {
		try {
			return MessageDigest.getInstance("SHA-256");
		}
		catch (NoSuchAlgorithmException ex) {
			throw new BulrushException(ErrorCode.INTERNAL, "SHA-256 is not available", ex);
		}
	}

}
