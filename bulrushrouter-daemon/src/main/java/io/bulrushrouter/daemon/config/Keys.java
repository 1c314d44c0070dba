package io.bulrushrouter.daemon.config;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;

import io.bulrushrouter.kernel.BulrushException;
import io.bulrushrouter.kernel.ErrorCode;

/**
 * Finds whose key was shown. Keys are kept as SHA-256 hashes and never logged. All hashes
 * are compared, each in constant time, so that the time does not tell how near a guess
 * was.
 */
public final class Keys {

	private static final String SCHEME = "Bearer ";

	private Keys() {
	}

	/**
	 * Returns the hash to configure for a key.
	 * @param key the key
	 * @return its SHA-256, in hexadecimal
	 */
	public static String sha256(String key) {
		return HexFormat.of().formatHex(digest(key));
	}

	/**
	 * Finds the owner of the key in an {@code Authorization} header.
	 * @param authorization the header
	 * @param owners those who have keys
	 * @param keySha256 an owner's key hash, in hexadecimal
	 * @param <T> the owners' type
	 * @return the owner, or empty if the key is missing or unknown
	 */
	public static <T> Optional<T> owner(Optional<String> authorization, List<T> owners, Function<T, String> keySha256) {
		if (authorization.isEmpty() || !authorization.get().startsWith(SCHEME)) {
			return Optional.empty();
		}
		byte[] shown = digest(authorization.get().substring(SCHEME.length()).strip());
		T found = null;
		for (T owner : owners) {
			if (MessageDigest.isEqual(shown, parse(keySha256.apply(owner)))) {
				found = owner;
			}
		}
		return Optional.ofNullable(found);
	}

	private static byte[] parse(String hex) {
		try {
			return HexFormat.of().parseHex(hex);
		}
		catch (IllegalArgumentException ex) {
			return new byte[0];
		}
	}

	private static byte[] digest(String key) {
		try {
			return MessageDigest.getInstance("SHA-256").digest(key.getBytes(StandardCharsets.UTF_8));
		}
		catch (NoSuchAlgorithmException ex) {
			throw new BulrushException(ErrorCode.INTERNAL, "no SHA-256", ex);
		}
	}

}
