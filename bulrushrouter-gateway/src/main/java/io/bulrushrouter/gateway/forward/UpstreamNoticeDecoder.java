package io.bulrushrouter.gateway.forward;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.concurrent.TimeUnit;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import io.bulrushrouter.gateway.source.HeaderNames;
import io.bulrushrouter.gateway.upstream.UpstreamNotice;

/**
 * Decodes from the head of a response what the upstream says about itself.
 */
final class UpstreamNoticeDecoder {

	private static final Logger logger = LoggerFactory.getLogger(UpstreamNoticeDecoder.class);

	private static final String LEAVING = "1";

	/** A longer time is taken for an error of the upstream. */
	private static final double MAX_RETRY_AFTER_SECONDS = 600;

	/** A longer time is taken for an error of the upstream. */
	private static final double MAX_COLD_MILLIS = 600_000;

	private final HeaderNames names;

	UpstreamNoticeDecoder(HeaderNames names) {
		this.names = names;
	}

	UpstreamNotice decode(HttpResponse head) {
		return new UpstreamNotice(LEAVING.equals(head.headers().get(this.names.leaving())),
				number(head, this.names.limit()), retryAfter(head), coldTime(head));
	}

	private Optional<Duration> coldTime(HttpResponse head) {
		OptionalDouble millis = number(head, this.names.warmup());
		if (millis.isEmpty()) {
			return Optional.empty();
		}
		double bounded = Math.min(millis.getAsDouble(), MAX_COLD_MILLIS);
		return Optional.of(Duration.ofMillis((long) Math.ceil(bounded)));
	}

	private static Optional<Duration> retryAfter(HttpResponse head) {
		if (head.status().code() != HttpResponseStatus.SERVICE_UNAVAILABLE.code()) {
			return Optional.empty();
		}
		OptionalDouble seconds = number(head, HttpHeaderNames.RETRY_AFTER.toString());
		if (seconds.isEmpty()) {
			return Optional.empty();
		}
		if (seconds.getAsDouble() > MAX_RETRY_AFTER_SECONDS) {
			logger.warn("event=header-bounded header=retry-after seconds={} bound={}", seconds.getAsDouble(),
					MAX_RETRY_AFTER_SECONDS);
		}
		double bounded = Math.min(seconds.getAsDouble(), MAX_RETRY_AFTER_SECONDS);
		return Optional.of(Duration.ofNanos((long) (bounded * TimeUnit.SECONDS.toNanos(1))));
	}

	private static OptionalDouble number(HttpResponse head, String header) {
		String text = head.headers().get(header);
		if (text == null) {
			return OptionalDouble.empty();
		}
		try {
			double value = Double.parseDouble(text.strip());
			if (value >= 0) {
				return OptionalDouble.of(value);
			}
		}
		catch (NumberFormatException ex) {
			// Logged below, as is a negative number.
		}
		logger.warn("event=header-ignored header={} value=\"{}\" reason=\"not a number of 0 or more\"", header, text);
		return OptionalDouble.empty();
	}

}
