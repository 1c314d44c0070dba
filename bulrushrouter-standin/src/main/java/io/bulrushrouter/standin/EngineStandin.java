package io.bulrushrouter.standin;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;

import io.bulrushrouter.http.HttpExchange;
import io.bulrushrouter.http.HttpHandler;
import io.bulrushrouter.http.HttpLimits;
import io.bulrushrouter.http.HttpReply;
import io.bulrushrouter.http.HttpServer;

/**
 * A simulated model engine with an HTTP API: continuous batching in fixed steps, a
 * bounded prefix cache, load reports that are refreshed only periodically, orders with an
 * optional check of the fencing token, and counts of executed requests.
 */
public final class EngineStandin implements HttpHandler, AutoCloseable {

	/**
	 * The header with the number of leading tokens that the caller already has and the
	 * engine skips.
	 */
	public static final String RESUME_HEADER = "X-Resume-After-Tokens";

	private static final ObjectMapper JSON = new ObjectMapper();

	private static final int PREFIX_CHARACTERS = 64;

	private static final int CHARACTERS_PER_TOKEN = 4;

	private final EventLoop loop;

	private final Profile profile;

	private final HttpServer server;

	private final List<Generation> waiting = new ArrayList<>();

	private final List<Generation> running = new ArrayList<>();

	private final Map<Long, Boolean> prefixCache;

	private final Map<String, Integer> runs = new LinkedHashMap<>();

	private final TreeSet<String> loadedModels = new TreeSet<>();

	private long highestFence;

	private String reportedLoad = "{}";

	private EngineStandin(EventLoopGroup eventLoops, InetSocketAddress address, Profile profile) {
		this.loop = eventLoops.next();
		this.profile = profile;
		this.prefixCache = new LinkedHashMap<>(16, 0.75f, true) {
			@Override
			protected boolean removeEldestEntry(Map.Entry<Long, Boolean> eldest) {
				return size() > profile.prefixCacheEntries();
			}
		};
		this.server = HttpServer.start(eventLoops, address, HttpLimits.ofDefaults(), this);
		long stepMicros = TimeUnit.NANOSECONDS.toMicros(profile.step().toNanos());
		this.loop.scheduleAtFixedRate(this::step, stepMicros, stepMicros, TimeUnit.MICROSECONDS);
		long lagMillis = profile.loadReportInterval().toMillis();
		this.loop.scheduleAtFixedRate(this::refreshLoad, 0, lagMillis, TimeUnit.MILLISECONDS);
	}

	/**
	 * Starts an engine.
	 * @param eventLoops the event loops, owned by the caller
	 * @param address the address to listen on; port 0 selects a free port
	 * @param profile the engine's behaviour
	 * @return the engine
	 */
	public static EngineStandin start(EventLoopGroup eventLoops, InetSocketAddress address, Profile profile) {
		return new EngineStandin(eventLoops, address, profile);
	}

	/**
	 * Returns the port that the engine listens on.
	 * @return the port
	 */
	public int port() {
		return this.server.port();
	}

	/**
	 * Returns the number of runs of each request, by {@code X-Request-Id} or, if the
	 * header is absent, by prompt fingerprint.
	 * @return the counts
	 */
	public Map<String, Integer> runs() {
		return this.loop.submit(() -> Map.copyOf(this.runs)).syncUninterruptibly().getNow();
	}

	@Override
	public void handle(HttpExchange exchange) {
		this.loop.execute(() -> route(exchange));
	}

	private void route(HttpExchange exchange) {
		switch (exchange.path()) {
			case "/v1/completions", "/v1/chat/completions" -> generate(exchange);
			case "/health" -> exchange.respond(HttpReply.ofText(200, "ok"));
			case "/load" -> exchange.respond(json(200, this.reportedLoad));
			case "/v1/orders" -> order(exchange);
			case "/standin/runs" -> exchange.respond(json(200, JSON.valueToTree(this.runs).toString()));
			default -> exchange.respond(HttpReply.ofText(404, "no such path"));
		}
	}

	private void generate(HttpExchange exchange) {
		try {
			Generation generation = new Generation(exchange, JSON.readTree(exchange.body()));
			exchange.onClosed(() -> generation.cancelled = true);
			this.runs.merge(exchange.header("X-Request-Id").orElse(generation.promptFingerprint), 1, Integer::sum);
			this.waiting.add(generation);
		}
		catch (IOException ex) {
			exchange.respond(json(400, "{\"error\":\"bad json\"}"));
		}
	}

	private void order(HttpExchange exchange) {
		try {
			JsonNode order = JSON.readTree(exchange.body());
			long fence = order.path("fence").asLong();
			if (this.profile.checksFence() && fence < this.highestFence) {
				exchange.respond(json(409, "{\"fence\":" + this.highestFence + "}"));
				return;
			}
			this.highestFence = Math.max(fence, this.highestFence);
			apply(order);
			exchange.respond(json(200, JSON.valueToTree(this.loadedModels).toString()));
		}
		catch (IOException ex) {
			exchange.respond(json(400, "{\"error\":\"bad json\"}"));
		}
	}

	private void apply(JsonNode order) {
		String model = order.path("model").asText();
		if ("load".equals(order.path("kind").asText())) {
			this.loadedModels.add(model);
		}
		else if ("*".equals(model)) {
			this.loadedModels.clear();
		}
		else {
			this.loadedModels.remove(model);
		}
	}

	private void step() {
		this.waiting.removeIf((generation) -> generation.cancelled);
		this.running.removeIf((generation) -> generation.cancelled);
		while (this.running.size() < this.profile.maxBatch() && !this.waiting.isEmpty()) {
			this.running.add(this.waiting.remove(0));
		}
		int prefillBudget = this.profile.prefillTokensPerStep();
		for (Generation generation : List.copyOf(this.running)) {
			prefillBudget -= generation.advance(prefillBudget);
		}
		this.running.removeIf((generation) -> generation.finished);
	}

	private void refreshLoad() {
		long queuedTokens = this.waiting.stream().mapToLong((generation) -> generation.remainingPrefillTokens).sum();
		this.reportedLoad = "{\"waiting\":" + this.waiting.size() + ",\"running\":" + this.running.size()
				+ ",\"queuedTokens\":" + queuedTokens + ",\"stepMicros\":" + this.profile.step().toNanos() / 1_000
				+ "}";
	}

	private static HttpReply json(int status, String text) {
		return HttpReply.ofJson(status, text.getBytes(StandardCharsets.UTF_8));
	}

	@Override
	public void close() {
		this.server.close();
	}

	/**
	 * The behaviour of an engine.
	 *
	 * @param step the duration of a step, in which each running stream generates one
	 * token
	 * @param maxBatch the maximum number of concurrent streams
	 * @param prefillTokensPerStep the number of prompt tokens that a step can process
	 * @param prefixCacheEntries the maximum number of prompt prefixes in the cache
	 * @param loadReportInterval the interval between refreshes of the load report, and so
	 * its maximum age
	 * @param checksFence whether it refuses orders with a stale fencing token
	 */
	public record Profile(Duration step, int maxBatch, int prefillTokensPerStep, int prefixCacheEntries,
			Duration loadReportInterval, boolean checksFence) {

		/**
		 * Returns the profile of a fast engine: 5 ms steps, 64 streams, 2048 prompt
		 * tokens per step, 256 cached prefixes, load reports refreshed every 500 ms, no
		 * check of fencing tokens.
		 * @return the profile
		 */
		public static Profile ofDefaults() {
			return new Profile(Duration.ofMillis(5), 64, 2048, 256, Duration.ofMillis(500), false);
		}

		/**
		 * Returns a copy of this profile with another step duration and batch size.
		 * @param newStep the duration of a step
		 * @param newMaxBatch the maximum number of concurrent streams
		 * @return the profile
		 */
		public Profile withStepAndBatch(Duration newStep, int newMaxBatch) {
			return new Profile(newStep, newMaxBatch, this.prefillTokensPerStep, this.prefixCacheEntries,
					this.loadReportInterval, this.checksFence);
		}

	}

	private final class Generation {

		private final HttpExchange exchange;

		private final String promptFingerprint;

		private final long seed;

		private final int maxTokens;

		private final boolean stream;

		private final boolean chat;

		private final StringBuilder text = new StringBuilder();

		private int nextToken;

		private int remainingPrefillTokens;

		private boolean started;

		private boolean finished;

		private volatile boolean cancelled;

		Generation(HttpExchange exchange, JsonNode body) {
			this.exchange = exchange;
			this.chat = body.has("messages");
			String prompt = this.chat ? body.path("messages").toString() : body.path("prompt").asText();
			this.promptFingerprint = EngineText.fingerprint(prompt);
			this.seed = body.path("seed").asLong(System.identityHashCode(this));
			this.maxTokens = body.path("max_tokens").asInt(16);
			this.stream = body.path("stream").asBoolean();
			this.nextToken = exchange.header(RESUME_HEADER).map(Integer::parseInt).orElse(0);
			this.remainingPrefillTokens = prefillTokens(prompt);
		}

		private int prefillTokens(String prompt) {
			long prefix = EngineText.hash(prompt.substring(0, Math.min(prompt.length(), PREFIX_CHARACTERS)));
			boolean cached = EngineStandin.this.prefixCache.put(prefix, true) != null;
			int tokens = 1 + prompt.length() / CHARACTERS_PER_TOKEN;
			return cached ? Math.max(1, tokens - PREFIX_CHARACTERS / CHARACTERS_PER_TOKEN) : tokens;
		}

		int advance(int prefillBudget) {
			if (this.remainingPrefillTokens > 0) {
				int taken = Math.min(this.remainingPrefillTokens, Math.max(prefillBudget, 0));
				this.remainingPrefillTokens -= taken;
				return taken;
			}
			if (this.nextToken < this.maxTokens) {
				emit(EngineText.token(this.promptFingerprint, this.nextToken, this.seed));
				this.nextToken++;
			}
			if (this.nextToken >= this.maxTokens) {
				finish();
			}
			return 0;
		}

		private void emit(String token) {
			if (!this.stream) {
				this.text.append(token);
				return;
			}
			start();
			String delta = this.chat ? "\"delta\":{\"content\":\"" + token + "\"}" : "\"text\":\"" + token + "\"";
			write("data: {\"choices\":[{\"index\":0," + delta + "}]}\n\n");
		}

		private void start() {
			if (!this.started) {
				this.started = true;
				this.exchange.start(HttpReply.ofHead(200, "text/event-stream").withHeader("X-Model-Version", "1"));
			}
		}

		private void write(String event) {
			this.exchange.write(event.getBytes(StandardCharsets.UTF_8));
		}

		private void finish() {
			this.finished = true;
			if (this.stream) {
				start();
				write("data: [DONE]\n\n");
				this.exchange.end();
				return;
			}
			String choice = this.chat ? "\"message\":{\"role\":\"assistant\",\"content\":\"" + this.text + "\"}"
					: "\"text\":\"" + this.text + "\"";
			this.exchange.respond(json(200, "{\"choices\":[{\"index\":0," + choice
					+ ",\"finish_reason\":\"length\"}],\"usage\":{\"completion_tokens\":" + this.maxTokens + "}}"));
		}

	}

}
