package io.bulrushrouter.daemon.entry;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Locale;
import java.util.Optional;

import com.dynatrace.hash4j.hashing.Hashing;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;

import io.bulrushrouter.http.HttpExchange;
import io.bulrushrouter.kernel.BulrushException;
import io.bulrushrouter.kernel.ErrorCode;
import io.bulrushrouter.kernel.ModelId;
import io.bulrushrouter.kernel.OrganisationId;
import io.bulrushrouter.kernel.Priority;
import io.bulrushrouter.request.CallKind;
import io.bulrushrouter.request.RequestSpec;

/**
 * Parses a caller's HTTP request into a {@link RequestSpec}.
 *
 * <p>
 * Completions are idempotent unless the header {@value #NON_IDEMPOTENT_HEADER} is
 * {@code true}. Calls of a plain service, under {@code /services/NAME/}, are idempotent
 * only if their method is GET, HEAD or OPTIONS, or if the header
 * {@value #IDEMPOTENT_HEADER} is {@code true}.
 */
final class CallParser {

	static final String NON_IDEMPOTENT_HEADER = "X-Non-Idempotent";

	static final String IDEMPOTENT_HEADER = "X-Idempotent";

	static final String IDEMPOTENCY_KEY_HEADER = "Idempotency-Key";

	static final String PRIORITY_HEADER = "X-Priority";

	static final String DEADLINE_HEADER = "X-Deadline-Ms";

	private static final String SERVICE_PREFIX = "/services/";

	private static final Duration DEFAULT_TIMEOUT = Duration.ofSeconds(120);

	private static final Duration MAX_TIMEOUT = Duration.ofMinutes(30);

	private static final int MAX_KEY_LENGTH = 256;

	private static final int CHARACTERS_PER_TOKEN = 4;

	private static final int PREFIX_CHARACTERS = RequestSpec.MAX_PREFIX_TOKENS * CHARACTERS_PER_TOKEN;

	private static final long SEED_MASK = 0x7fff_ffffL;

	private static final ObjectMapper JSON = JsonMapper.builder()
		.enable(SerializationFeature.ORDER_MAP_ENTRIES_BY_KEYS)
		.nodeFactory(JsonNodeFactory.withExactBigDecimals(true))
		.build();

	private CallParser() {
	}

	/**
	 * Parses the request.
	 * @param exchange the HTTP request
	 * @param organisation the caller's organisation
	 * @return the request's specification
	 * @throws BulrushException with {@link ErrorCode#BAD_REQUEST} if the request is
	 * malformed, or {@link ErrorCode#NOT_FOUND} if the path is unknown
	 */
	static RequestSpec parse(HttpExchange exchange, OrganisationId organisation) {
		String path = exchange.path();
		if (path.equals("/v1/completions") || path.equals("/v1/chat/completions")) {
			return parseCompletion(exchange, organisation);
		}
		if (path.startsWith(SERVICE_PREFIX)) {
			return parseServiceCall(exchange, organisation);
		}
		throw new BulrushException(ErrorCode.NOT_FOUND, "no such path: " + path);
	}

	/**
	 * Returns the time after which the request must have completed.
	 * @param exchange the HTTP request
	 * @return the timeout, from the header {@value #DEADLINE_HEADER} or the default
	 * @throws BulrushException with {@link ErrorCode#BAD_REQUEST} if the header is
	 * malformed
	 */
	static Duration timeout(HttpExchange exchange) {
		return exchange.header(DEADLINE_HEADER).map(CallParser::parseTimeout).orElse(DEFAULT_TIMEOUT);
	}

	private static Duration parseTimeout(String text) {
		try {
			long millis = Long.parseLong(text.strip());
			if (millis > 0 && millis <= MAX_TIMEOUT.toMillis()) {
				return Duration.ofMillis(millis);
			}
		}
		catch (NumberFormatException ex) {
			throw malformedHeader(DEADLINE_HEADER);
		}
		throw malformedHeader(DEADLINE_HEADER);
	}

	private static RequestSpec parseCompletion(HttpExchange exchange, OrganisationId organisation) {
		if (!exchange.method().equals("POST")) {
			throw new BulrushException(ErrorCode.BAD_REQUEST, "completions require the method POST");
		}
		ObjectNode body = parseObject(exchange.body());
		ModelId model = model(body);
		String prompt = body.has("messages") ? body.get("messages").toString() : body.path("prompt").asText();
		long digest = digest(organisation, model, exchange.path(), canonicalJson(body));
		if (!body.has("seed")) {
			body.put("seed", digest & SEED_MASK);
		}
		String prefix = prompt.substring(0, Math.min(prompt.length(), PREFIX_CHARACTERS));
		return builder(exchange, organisation).model(model)
			.kind(CallKind.COMPLETION)
			.path(exchange.target())
			.body(body.toString().getBytes(StandardCharsets.UTF_8))
			.idempotent(!parseFlag(exchange, NON_IDEMPOTENT_HEADER))
			.stream(body.path("stream").asBoolean())
			.digest(digest)
			.prefixDigest(digest(organisation, model, "", prefix))
			.promptTokens(1 + prompt.length() / CHARACTERS_PER_TOKEN)
			.build();
	}

	private static RequestSpec parseServiceCall(HttpExchange exchange, OrganisationId organisation) {
		String rest = exchange.target().substring(SERVICE_PREFIX.length());
		int slash = rest.indexOf('/');
		if (slash <= 0) {
			throw new BulrushException(ErrorCode.NOT_FOUND,
					"a service call needs a path of the form /services/NAME/...");
		}
		ModelId service = ModelId.of(rest.substring(0, slash));
		String path = rest.substring(slash);
		String body = new String(exchange.body(), StandardCharsets.ISO_8859_1);
		boolean readOnly = exchange.method().matches("GET|HEAD|OPTIONS");
		return builder(exchange, organisation).model(service)
			.kind(CallKind.SERVICE)
			.path(path)
			.body(exchange.body())
			.idempotent(
					!parseFlag(exchange, NON_IDEMPOTENT_HEADER) && (readOnly || parseFlag(exchange, IDEMPOTENT_HEADER)))
			.digest(digest(organisation, service, exchange.method() + " " + path, body))
			.build();
	}

	private static RequestSpec.Builder builder(HttpExchange exchange, OrganisationId organisation) {
		Optional<String> key = exchange.header(IDEMPOTENCY_KEY_HEADER).map(String::strip);
		if (key.filter((text) -> text.isEmpty() || text.length() > MAX_KEY_LENGTH).isPresent()) {
			throw malformedHeader(IDEMPOTENCY_KEY_HEADER);
		}
		return RequestSpec.builder()
			.organisation(organisation)
			.method(exchange.method())
			.priority(exchange.header(PRIORITY_HEADER).map(CallParser::parsePriority).orElse(Priority.NORMAL))
			.idempotencyKey(key);
	}

	private static Priority parsePriority(String text) {
		try {
			return Priority.valueOf(text.strip().toUpperCase(Locale.ROOT));
		}
		catch (IllegalArgumentException ex) {
			throw malformedHeader(PRIORITY_HEADER);
		}
	}

	private static boolean parseFlag(HttpExchange exchange, String header) {
		String text = exchange.header(header).map(String::strip).orElse("false");
		if (!text.equalsIgnoreCase("true") && !text.equalsIgnoreCase("false")) {
			throw malformedHeader(header);
		}
		return text.equalsIgnoreCase("true");
	}

	private static BulrushException malformedHeader(String name) {
		return new BulrushException(ErrorCode.BAD_REQUEST, "the header " + name + " is malformed");
	}

	private static ObjectNode parseObject(byte[] body) {
		try {
			if (JSON.readTree(body) instanceof ObjectNode object) {
				return object;
			}
		}
		catch (IOException ex) {
			throw new BulrushException(ErrorCode.BAD_REQUEST, "the body is not JSON", ex);
		}
		throw new BulrushException(ErrorCode.BAD_REQUEST, "the body is not a JSON object");
	}

	private static ModelId model(ObjectNode body) {
		JsonNode model = body.path("model");
		if (!model.isTextual()) {
			throw new BulrushException(ErrorCode.BAD_REQUEST, "the body has no string field \"model\"");
		}
		return ModelId.of(model.asText());
	}

	private static String canonicalJson(ObjectNode body) {
		try {
			return JSON.writeValueAsString(JSON.treeToValue(body, Object.class));
		}
		catch (IOException ex) {
			throw new BulrushException(ErrorCode.BAD_REQUEST, "the body is not JSON", ex);
		}
	}

	private static long digest(OrganisationId organisation, ModelId model, String path, String body) {
		return Hashing.xxh3_64()
			.hashStream()
			.putString(organisation.value())
			.putString(model.value())
			.putString(path)
			.putString(body)
			.getAsLong();
	}

}
