package io.bulrushrouter.daemon.admin;

import java.util.List;
import java.util.Optional;

import io.netty.handler.codec.http.QueryStringDecoder;

import io.bulrushrouter.daemon.config.Operator;
import io.bulrushrouter.http.HttpExchange;
import io.bulrushrouter.kernel.BulrushException;
import io.bulrushrouter.kernel.ErrorCode;

/**
 * An authenticated request to the administration API.
 *
 * @param exchange the HTTP request
 * @param operator the operator that sent the request
 * @param target the request target, split into path and query
 */
record AdminRequest(HttpExchange exchange, Operator operator, QueryStringDecoder target) {

	private static final String REASON_HEADER = "X-Reason";

	String[] pathParts() {
		String path = this.target.path();
		return path.startsWith(AdminApi.PREFIX) ? path.substring(AdminApi.PREFIX.length()).split("/") : new String[0];
	}

	boolean hasMethod(String method) {
		return this.exchange.method().equals(method);
	}

	boolean flag(String name) {
		return parameter(name).filter((value) -> value.equals("true")).isPresent();
	}

	Optional<String> parameter(String name) {
		return this.target.parameters().getOrDefault(name, List.of()).stream().findFirst();
	}

	String reason() {
		return this.exchange.header(REASON_HEADER).orElse("");
	}

	/**
	 * Returns the object version that the change is based on.
	 * @return the version in {@code If-Match}, or empty if the object must not exist
	 */
	Optional<Long> expectedVersion() {
		if (this.exchange.header("If-None-Match").isPresent()) {
			return Optional.empty();
		}
		return this.exchange.header("If-Match").map(AdminRequest::version);
	}

	private static long version(String text) {
		try {
			return Long.parseLong(text.replace("\"", "").strip());
		}
		catch (NumberFormatException ex) {
			throw new BulrushException(ErrorCode.BAD_REQUEST, "If-Match must be a version number", ex);
		}
	}

	void requireFullAccess() {
		if (!this.operator.mayManageAll()) {
			throw new BulrushException(ErrorCode.FORBIDDEN,
					this.operator.name() + " may not manage all organisations and upstreams");
		}
	}

	BulrushException unsupportedMethod() {
		return new BulrushException(ErrorCode.BAD_REQUEST,
				"the path does not support the method " + this.exchange.method());
	}

}
