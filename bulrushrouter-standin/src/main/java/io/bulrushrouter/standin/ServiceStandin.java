package io.bulrushrouter.standin;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import io.netty.channel.EventLoopGroup;

import io.bulrushrouter.http.HttpExchange;
import io.bulrushrouter.http.HttpHandler;
import io.bulrushrouter.http.HttpLimits;
import io.bulrushrouter.http.HttpReply;
import io.bulrushrouter.http.HttpServer;

/**
 * A simulated plain service that counts the runs of each call and echoes the call's body.
 */
public final class ServiceStandin implements HttpHandler, AutoCloseable {

	private final EventLoopGroup eventLoops;

	private final Duration delay;

	private final Map<String, Integer> runs = new ConcurrentHashMap<>();

	private final AtomicInteger counter = new AtomicInteger();

	private final HttpServer server;

	private ServiceStandin(EventLoopGroup eventLoops, InetSocketAddress address, Duration delay) {
		this.eventLoops = eventLoops;
		this.delay = delay;
		this.server = HttpServer.start(eventLoops, address, HttpLimits.ofDefaults(), this);
	}

	/**
	 * Starts a service.
	 * @param eventLoops the event loops, owned by the caller
	 * @param address the address to listen on; port 0 selects a free port
	 * @param delay the duration of each call
	 * @return the service
	 */
	public static ServiceStandin start(EventLoopGroup eventLoops, InetSocketAddress address, Duration delay) {
		return new ServiceStandin(eventLoops, address, delay);
	}

	/**
	 * Returns the port that the service listens on.
	 * @return the port
	 */
	public int port() {
		return this.server.port();
	}

	/**
	 * Returns the number of runs of each call, by method, request target and body.
	 * @return the counts
	 */
	public Map<String, Integer> runs() {
		return Map.copyOf(this.runs);
	}

	@Override
	public void handle(HttpExchange exchange) {
		if (exchange.path().equals("/health")) {
			exchange.respond(HttpReply.ofText(200, "ok"));
			return;
		}
		String body = new String(exchange.body(), StandardCharsets.UTF_8);
		this.runs.merge(exchange.method() + " " + exchange.target() + " " + body, 1, Integer::sum);
		int number = this.counter.incrementAndGet();
		this.eventLoops.schedule(() -> answer(exchange, number), this.delay.toMillis(), TimeUnit.MILLISECONDS);
	}

	private static void answer(HttpExchange exchange, int number) {
		String head = "{\"number\":" + number + ",\"target\":\"" + exchange.target() + "\",\"echo\":";
		String echo = (exchange.body().length > 0) ? new String(exchange.body(), StandardCharsets.UTF_8) : "null";
		exchange.respond(HttpReply.ofJson(200, (head + echo + "}").getBytes(StandardCharsets.UTF_8)));
	}

	@Override
	public void close() {
		this.server.close();
	}

}
