package io.bulrushrouter.daemon.admin;

import java.util.Optional;
import java.util.concurrent.CompletionException;

import io.netty.handler.codec.http.QueryStringDecoder;

import io.bulrushrouter.daemon.config.ApiKeys;
import io.bulrushrouter.daemon.config.Operator;
import io.bulrushrouter.daemon.node.DecisionLog;
import io.bulrushrouter.daemon.node.ErrorReply;
import io.bulrushrouter.http.HttpExchange;
import io.bulrushrouter.http.HttpHandler;
import io.bulrushrouter.http.HttpReply;
import io.bulrushrouter.kernel.BulrushException;
import io.bulrushrouter.kernel.ErrorCode;
import io.bulrushrouter.kernel.Verdict;
import io.bulrushrouter.kernel.duty.Duty;

/**
 * Serves the administration API over HTTP. Requests block on the platform, so they run on
 * a dedicated thread, one at a time. Each request is written to the decision log.
 */
public final class AdminApi implements HttpHandler, AutoCloseable {

	/** The prefix of all paths of the API. */
	public static final String PREFIX = "/admin/v1/";

	private static final int QUEUE_CAPACITY = 256;

	private static final int RETRY_AFTER_MILLIS = 1_000;

	private final AdminContext context;

	private final ConfigurationAdmin configurations;

	private final PlanAdmin plans;

	private final Duty<HttpExchange> duty;

	private AdminApi(AdminContext context) {
		this.context = context;
		this.configurations = new ConfigurationAdmin(context);
		this.plans = new PlanAdmin(context);
		this.duty = Duty.<HttpExchange>builder("administration", this::process).capacity(QUEUE_CAPACITY).start();
	}

	/**
	 * Starts the API.
	 * @param context the dependencies of the request handlers
	 * @return the running API
	 */
	public static AdminApi start(AdminContext context) {
		return new AdminApi(context);
	}

	@Override
	public void handle(HttpExchange exchange) {
		if (!this.duty.offer(exchange)) {
			exchange.respond(ErrorReply.of(Verdict.ofNotRun(ErrorCode.OVERLOADED),
					"too many administration requests are queued", RETRY_AFTER_MILLIS));
		}
	}

	private void process(HttpExchange exchange) {
		Optional<Operator> operator = operator(exchange);
		HttpReply reply = reply(exchange, operator);
		DecisionLog.of("administration")
			.with("operator", operator.map(Operator::name).orElse("-"))
			.with("act", exchange.method() + " " + exchange.path())
			.with("status", reply.status())
			.write();
		exchange.respond(reply);
	}

	private Optional<Operator> operator(HttpExchange exchange) {
		return this.context.activeConfiguration()
			.flatMap((inForce) -> ApiKeys.of(inForce.configuration().operators(), Operator::keySha256)
				.owner(exchange.header("Authorization")));
	}

	private HttpReply reply(HttpExchange exchange, Optional<Operator> operator) {
		try {
			if (operator.isEmpty()) {
				throw new BulrushException(ErrorCode.UNAUTHORISED, "the operator's key is missing or unknown");
			}
			return route(new AdminRequest(exchange, operator.get(), new QueryStringDecoder(exchange.target())));
		}
		catch (BulrushException ex) {
			return ErrorReply.of(ex);
		}
		catch (CompletionException ex) {
			return ErrorReply.of(Verdict.ofMayHaveRun(ErrorCode.INTERNAL), String.valueOf(ex.getCause()), 0);
		}
	}

	private HttpReply route(AdminRequest request) {
		String[] parts = request.pathParts();
		if (parts.length == 1 && parts[0].equals("status")) {
			return HttpReply.ofJson(200, this.context.status());
		}
		if (parts.length == 1 && parts[0].equals("configuration")) {
			return this.configurations.handle(request);
		}
		if (parts.length >= 2 && parts[0].equals("plans")) {
			return this.plans.handle(request, parts[1], (parts.length > 2) ? parts[2] : "");
		}
		throw new BulrushException(ErrorCode.NOT_FOUND, "no such path: " + request.exchange().path());
	}

	@Override
	public void close() {
		this.duty.close();
	}

}
