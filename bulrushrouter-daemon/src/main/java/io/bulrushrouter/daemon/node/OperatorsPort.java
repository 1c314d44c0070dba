package io.bulrushrouter.daemon.node;

import java.util.function.BooleanSupplier;

import io.bulrushrouter.http.HttpExchange;
import io.bulrushrouter.http.HttpHandler;
import io.bulrushrouter.http.HttpReply;
import io.bulrushrouter.kernel.ErrorCode;

/**
 * Metrics, health and readiness; all other paths go to a further handler.
 *
 * @param metrics the metrics
 * @param ready tells whether the process may be sent work
 * @param rest takes all other paths
 */
public record OperatorsPort(Metrics metrics, BooleanSupplier ready, HttpHandler rest) implements HttpHandler {

	private static final int OK = 200;

	@Override
	public void handle(HttpExchange exchange) {
		switch (exchange.path()) {
			case Metrics.PATH -> exchange.respond(HttpReply.ofText(OK, this.metrics.text()));
			case "/health" -> exchange.respond(HttpReply.ofText(OK, "alive"));
			case "/ready" -> exchange.respond(readiness());
			default -> this.rest.handle(exchange);
		}
	}

	private HttpReply readiness() {
		if (this.ready.getAsBoolean()) {
			return HttpReply.ofText(OK, "ready");
		}
		return HttpReply.ofText(ErrorCode.NOT_READY.httpStatus(), "not ready");
	}

	/**
	 * Returns the handler of a process that has no other paths.
	 * @return the handler
	 */
	public static HttpHandler ofNoRest() {
		return (exchange) -> exchange.respond(ErrorReply.ofNotRun(ErrorCode.NOT_FOUND, "no such path"));
	}

}
