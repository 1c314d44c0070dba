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
 * Finds the owner of an API key. Keys are stored as SHA-256 hashes and never logged. A
 * presented key is hashed, looked up by the first byte of the hash and compared with each
 * hash in that bucket in constant time, so that the response time does not reveal how
 * close a guess was.
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
	 * Creates the index of the owners' keys.
	 * @param owners the owners of keys
	 * @param keySha256 returns an owner's key hash, in hexadecimal
	 * @param <T> the owners' type
	 * @return the index
	 */
	public static <T> ApiKeys<T> of(List<T> owners, Function<T, String> keySha256) {
		return new ApiKeys<>(owners.stream()
			.map((owner) -> new Entry<>(HexFormat.of().parseHex(keySha256.apply(owner)), owner))
			.collect(Collectors.groupingBy((entry) -> entry.hash()[0])));
	}

	/**
	 * Returns the hash to configure for a key.
	 * @param key the key
	 * @return the SHA-256 of the key, in hexadecimal
	 */
	public static String sha256(String key) {
		return HexFormat.of().formatHex(digest(key));
	}

	static void requireValidHash(String owner, String keySha256) {
		if (keySha256 == null || !keySha256.matches("[0-9a-fA-F]{64}")) {
			throw new BulrushException(ErrorCode.BAD_CONFIGURATION,
					owner + ": keySha256 is not a SHA-256 hash in hexadecimal");
		}
	}

	/**
	 * Finds the owner of the key in an {@code Authorization} header.
	 * @param authorization the header value, if present
	 * @return the owner, or empty if the key is missing or unknown
	 */
	public Optional<T> owner(Optional<String> authorization) {
		return authorization.filter((header) -> header.startsWith(SCHEME))
			.map((header) -> digest(header.substring(SCHEME.length()).strip()))
			.flatMap(this::owner);
	}

	private Optional<T> owner(byte[] presentedHash) {
		T found = null;
		for (Entry<T> entry : this.buckets.getOrDefault(presentedHash[0], List.of())) {
			if (MessageDigest.isEqual(presentedHash, entry.hash())) {
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
			throw new BulrushException(ErrorCode.INTERNAL, "SHA-256 is not available", ex);
		}
	}

	private record Entry<T>(byte[] hash, T owner) {
	}

}
