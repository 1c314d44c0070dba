package io.bulrushrouter.daemon.node;

import java.util.function.BooleanSupplier;

import io.bulrushrouter.http.HttpExchange;
import io.bulrushrouter.http.HttpHandler;
import io.bulrushrouter.http.HttpReply;
import io.bulrushrouter.kernel.ErrorCode;

/**
 * Serves metrics, health and readiness over HTTP, and passes all other paths to a
 * fallback handler.
 *
 * @param metrics the metrics
 * @param ready returns whether the process accepts work
 * @param fallback handles all other paths
 */
public record OperatorEndpoint(Metrics metrics, BooleanSupplier ready, HttpHandler fallback) implements HttpHandler {

	private static final int OK = 200;

	@Override
	public void handle(HttpExchange exchange) {
		switch (exchange.path()) {
			case Metrics.PATH -> exchange.respond(HttpReply.ofText(OK, this.metrics.text()));
			case "/health" -> exchange.respond(HttpReply.ofText(OK, "alive"));
			case "/ready" -> exchange.respond(readiness());
			default -> this.fallback.handle(exchange);
		}
	}

	private HttpReply readiness() {
		if (this.ready.getAsBoolean()) {
			return HttpReply.ofText(OK, "ready");
		}
		return HttpReply.ofText(ErrorCode.NOT_READY.httpStatus(), "not ready");
	}

	/**
	 * Returns a fallback handler that answers every path with
	 * {@link ErrorCode#NOT_FOUND}.
	 * @return the handler
	 */
	public static HttpHandler ofNotFound() {
		return (exchange) -> exchange.respond(ErrorReply.ofNotRun(ErrorCode.NOT_FOUND, "no such path"));
	}

}
