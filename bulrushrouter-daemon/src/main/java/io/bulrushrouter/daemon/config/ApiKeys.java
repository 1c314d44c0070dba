package io.bulrushrouter.daemon.config;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;

import io.bulrushrouter.kernel.BulrushException;
import io.bulrushrouter.kernel.ErrorCode;

/**
 * Finds whose key was shown. Keys are kept as SHA-256 hashes and never logged. A shown
 * key is hashed, looked up by the hash's first byte, and compared with each hash there in
 * constant time, so that the time does not tell how near a guess was.
 *
 * @param <T> the owners' type
 */
public final class ApiKeys<T> {

	private static final String SCHEME = "Bearer ";

	private final Map<Byte, List<Entry<T>>> buckets;

	private ApiKeys(Map<Byte, List<Entry<T>>> buckets) {
		this.buckets = buckets;
	}

	/**
	 * Returns the keys of the given owners.
	 * @param owners those who have keys
	 * @param keySha256 an owner's key hash, in hexadecimal
	 * @param <T> the owners' type
	 * @return the keys
	 */
	public static <T> ApiKeys<T> of(List<T> owners, Function<T, String> keySha256) {
		return new ApiKeys<>(owners.stream()
			.map((owner) -> new Entry<>(HexFormat.of().parseHex(keySha256.apply(owner)), owner))
			.collect(Collectors.groupingBy((entry) -> entry.hash()[0])));
	}

	/**
	 * Returns the hash to configure for a key.
	 * @param key the key
	 * @return its SHA-256, in hexadecimal
	 */
	public static String sha256(String key) {
		return HexFormat.of().formatHex(digest(key));
	}

	static void requireValidHash(String owner, String keySha256) {
		if (keySha256 == null || !keySha256.matches("[0-9a-fA-F]{64}")) {
			throw new BulrushException(ErrorCode.BAD_CONFIGURATION, owner + ": keySha256 is not a SHA-256");
		}
	}

	/**
	 * Finds the owner of the key in an {@code Authorization} header.
	 * @param authorization the header
	 * @return the owner, or empty if the key is missing or unknown
	 */
	public Optional<T> owner(Optional<String> authorization) {
		return authorization.filter((header) -> header.startsWith(SCHEME))
			.map((header) -> digest(header.substring(SCHEME.length()).strip()))
			.flatMap(this::owner);
	}

	private Optional<T> owner(byte[] shown) {
		T found = null;
		for (Entry<T> entry : this.buckets.getOrDefault(shown[0], List.of())) {
			if (MessageDigest.isEqual(shown, entry.hash())) {
				found = entry.owner();
			}
		}
		return Optional.ofNullable(found);
	}

	private static byte[] digest(String key) {
		try {
			return MessageDigest.getInstance("SHA-256").digest(key.getBytes(StandardCharsets.UTF_8));
		}
		catch (NoSuchAlgorithmException ex) {
			throw new BulrushException(ErrorCode.INTERNAL, "no SHA-256", ex);
		}
	}

	private record Entry<T>(byte[] hash, T owner) {
	}

}
