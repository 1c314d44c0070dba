package io.bulrushrouter.gateway.forward;

import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import io.netty.handler.codec.http.HttpResponse;

/**
 * How long a connection to an upstream may stay idle.
 */
final class KeepAlive {

	private static final Pattern TIMEOUT_PARAMETER = Pattern.compile("timeout=(\\d{1,6})");

	/** Used where the upstream names no time; shorter than any seen. */
	private static final long DEFAULT_IDLE_LIMIT_NANOS = TimeUnit.SECONDS.toNanos(2);

	/** Kept before the upstream's own limit: it rounds to seconds and timers are late. */
	private static final long SAFETY_MARGIN_NANOS = TimeUnit.MILLISECONDS.toNanos(700);

	private KeepAlive() {
	}

	static long idleLimitNanos(HttpResponse head) {
		String value = head.headers().get("Keep-Alive");
		if (value == null) {
			return DEFAULT_IDLE_LIMIT_NANOS;
		}
		Matcher matcher = TIMEOUT_PARAMETER.matcher(value);
		if (!matcher.find()) {
			return DEFAULT_IDLE_LIMIT_NANOS;
		}
		return Math.max(0, TimeUnit.SECONDS.toNanos(Long.parseLong(matcher.group(1))) - SAFETY_MARGIN_NANOS);
	}

}
