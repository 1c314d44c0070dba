package io.bulrushrouter.coordination;

import java.io.IOException;
import java.net.ConnectException;
import java.net.URI;
import java.net.URLEncoder;
import java.net.UnknownHostException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Arrays;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CompletionStage;
import java.util.stream.Collectors;

import org.asynchttpclient.AsyncHttpClient;
import org.asynchttpclient.Dsl;
import org.asynchttpclient.Request;
import org.asynchttpclient.RequestBuilder;
import org.asynchttpclient.Response;
import org.asynchttpclient.exception.TooManyConnectionsException;
import org.asynchttpclient.exception.TooManyConnectionsPerHostException;

import io.bulrushrouter.kernel.BulrushException;
import io.bulrushrouter.kernel.ErrorCode;
import io.bulrushrouter.kernel.store.ListResult;
import io.bulrushrouter.kernel.store.ObjectKey;
import io.bulrushrouter.kernel.store.ObjectStore;
import io.bulrushrouter.kernel.store.ReadResult;
import io.bulrushrouter.kernel.store.Write;
import io.bulrushrouter.kernel.store.WriteResult;

/**
 * The platform's object API over HTTP, by the paths of
 * {@code docs/design/platform-api.md}. Each call is sent at most once.
 *
 * <pre>{@code
 * try (HttpObjectStore store = HttpObjectStore.of(URI.create("http://127.0.0.1:8500"), Duration.ofSeconds(2))) {
 *     store.read(ObjectKey.of("plan", "spring")).thenAccept(...);
 * }
 * }</pre>
 */
public final class HttpObjectStore implements ObjectStore, AutoCloseable {

	private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);

	private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(30);

	private final AsyncHttpClient client;

	private final String base;

	private final Duration timeout;

	private HttpObjectStore(AsyncHttpClient client, String base, Duration timeout) {
		this.client = client;
		this.base = base;
		this.timeout = timeout;
	}

	/**
	 * Returns a client of the platform at an address.
	 * @param platform the platform's address, such as {@code http://10.0.0.1:8500}
	 * @param timeout how long a call may take; a watch may take its wait longer
	 * @return the client, to be closed
	 */
	public static HttpObjectStore of(URI platform, Duration timeout) {
		// A repeated write could answer "conflict" with itself, so the client must not
		// repeat.
		AsyncHttpClient client = Dsl.asyncHttpClient(Dsl.config()
			.setMaxRequestRetry(0)
			.setIoThreadsCount(1)
			.setThreadPoolName("platform")
			.setConnectTimeout(CONNECT_TIMEOUT)
			.setPooledConnectionIdleTimeout(IDLE_TIMEOUT));
		String text = platform.toString();
		return new HttpObjectStore(client, text.endsWith("/") ? text.substring(0, text.length() - 1) : text, timeout);
	}

	@Override
	public CompletionStage<ReadResult> read(ObjectKey key) {
		return send(get(pathOf(key)), this.timeout).handle((response, failure) -> (failure != null)
				? new ReadResult.Unavailable(reason(failure)) : PlatformAnswers.readResult(key, response));
	}

	@Override
	public CompletionStage<ReadResult> watch(ObjectKey key, long afterVersion, Duration wait) {
		RequestBuilder request = get(pathOf(key)).addQueryParam("watch-after", Long.toString(afterVersion))
			.addQueryParam("wait-ms", Long.toString(wait.toMillis()));
		return send(request, wait.plus(this.timeout)).handle((response, failure) -> (failure != null)
				? new ReadResult.Unavailable(reason(failure)) : PlatformAnswers.readResult(key, response));
	}

	@Override
	public CompletionStage<ListResult> list(String prefix) {
		RequestBuilder request = get("/v1/objects").addQueryParam("prefix", encode(prefix));
		return send(request, this.timeout).handle((response, failure) -> (failure != null)
				? new ListResult.Unavailable(reason(failure)) : PlatformAnswers.listResult(response));
	}

	@Override
	public CompletionStage<WriteResult> write(Write write) {
		RequestBuilder request = new RequestBuilder("PUT", true).setUrl(this.base + pathOf(write.key()))
			.setHeader("X-Writer-Mark", encode(write.writer().value()))
			.setBody(write.value());
		if (write.expectedVersion() == Write.ABSENT) {
			request.setHeader("If-None-Match", "*");
		}
		else {
			request.setHeader("If-Match", "\"" + write.expectedVersion() + "\"");
		}
		return send(request, this.timeout).handle(
				(response, failure) -> (failure != null) ? lostWrite(failure) : PlatformAnswers.writeResult(response));
	}

	/**
	 * Asks for a path outside the objects.
	 * @param path the path, from {@code /v1}
	 * @param knownVersion the version that is known; the answer is 304 if it is current
	 * @return the answer; the stage fails if there is none
	 */
	CompletionStage<Response> fetch(String path, long knownVersion) {
		return send(get(path).setHeader("If-None-Match", "\"" + knownVersion + "\""), this.timeout);
	}

	private RequestBuilder get(String path) {
		return new RequestBuilder("GET", true).setUrl(this.base + path);
	}

	private CompletionStage<Response> send(RequestBuilder builder, Duration limit) {
		Request request = builder.setRequestTimeout(limit).setReadTimeout(limit).build();
		return this.client.executeRequest(request).toCompletableFuture();
	}

	private static WriteResult lostWrite(Throwable failure) {
		Throwable cause = causeOf(failure);
		return wasNotSent(cause) ? new WriteResult.Refused(reason(cause)) : new WriteResult.Unknown(reason(cause));
	}

	private static boolean wasNotSent(Throwable cause) {
		return cause instanceof ConnectException || cause instanceof UnknownHostException
				|| cause instanceof TooManyConnectionsException || cause instanceof TooManyConnectionsPerHostException;
	}

	private static Throwable causeOf(Throwable failure) {
		return (failure instanceof CompletionException && failure.getCause() != null) ? failure.getCause() : failure;
	}

	private static String reason(Throwable failure) {
		Throwable cause = causeOf(failure);
		return cause.getClass().getSimpleName() + ": " + cause.getMessage();
	}

	private static String pathOf(ObjectKey key) {
		return Arrays.stream(key.value().split("/", -1))
			.map(HttpObjectStore::encode)
			.collect(Collectors.joining("/", "/v1/objects/", ""));
	}

	private static String encode(String text) {
		return URLEncoder.encode(text, StandardCharsets.UTF_8).replace("+", "%20");
	}

	@Override
	public void close() {
		try {
			this.client.close();
		}
		catch (IOException ex) {
			throw new BulrushException(ErrorCode.INTERNAL, "the platform client did not close", ex);
		}
	}

}
