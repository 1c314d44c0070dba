package io.bulrushrouter.coordination.lease;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The content of a lease's object. The object is kept when the lease is released, so that
 * fencing tokens never decrease.
 *
 * @param fence the fencing token of the latest acquisition
 * @param holder the process that acquired it
 * @param released whether that process released it
 */
record LeaseRecord(FencingToken fence, String holder, boolean released) {

	private static final Pattern FORMAT = Pattern.compile("([0-9]{1,18}) (held|released) (\\S+)");

	byte[] toBytes() {
		String state = this.released ? "released" : "held";
		return (this.fence + " " + state + " " + this.holder).getBytes(StandardCharsets.UTF_8);
	}

	static Optional<LeaseRecord> ofBytes(byte[] bytes) {
		Matcher matcher = FORMAT.matcher(new String(bytes, StandardCharsets.UTF_8));
		if (!matcher.matches()) {
			return Optional.empty();
		}
		FencingToken fence = new FencingToken(Long.parseLong(matcher.group(1)));
		return Optional.of(new LeaseRecord(fence, matcher.group(3), matcher.group(2).equals("released")));
	}

}
