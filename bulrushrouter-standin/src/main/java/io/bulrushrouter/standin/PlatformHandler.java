package io.bulrushrouter.standin;

import java.io.IOException;
import java.net.URLDecoder;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.QueryStringDecoder;

import io.bulrushrouter.kernel.DataCentreId;
import io.bulrushrouter.kernel.InstanceId;
import io.bulrushrouter.kernel.store.ListResult;
import io.bulrushrouter.kernel.store.LiveInstance;
import io.bulrushrouter.kernel.store.ObjectKey;
import io.bulrushrouter.kernel.store.ReadResult;
import io.bulrushrouter.kernel.store.Versioned;
import io.bulrushrouter.kernel.store.Write;
import io.bulrushrouter.kernel.store.WriteResult;
import io.bulrushrouter.kernel.store.WriterMark;

/**
 * Answers the object API's requests of one connection.
 */
final class PlatformHandler extends SimpleChannelInboundHandler<FullHttpRequest> {

	private static final String OBJECTS = "/v1/objects";

	private static final String INSTANCES = "/v1/instances";

	private static final ObjectMapper JSON = new ObjectMapper();

	private final MemoryObjectStore store;

	private final InstanceTable instances;

	PlatformHandler(MemoryObjectStore store, InstanceTable instances) {
		this.store = store;
		this.instances = instances;
	}

	@Override
	protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) throws IOException {
		QueryStringDecoder target = new QueryStringDecoder(request.uri());
		String path = target.path();
		if (path.startsWith("/standin/")) {
			control(context, path.substring("/standin/".length()), target, request);
		}
		else if (path.equals(INSTANCES)) {
			listInstances(context, request);
		}
		else if (path.equals(OBJECTS)) {
			this.store.list(parameter(target, "prefix", "")).thenAccept((result) -> answerList(context, result));
		}
		else if (path.startsWith(OBJECTS + "/")) {
			object(context, new ObjectKey(path.substring(OBJECTS.length() + 1)), target, request);
		}
		else {
			answer(context, HttpResponseStatus.NOT_FOUND, new byte[0], Map.of());
		}
	}

	private void object(ChannelHandlerContext context, ObjectKey key, QueryStringDecoder target,
			FullHttpRequest request) {
		if (request.method().equals(HttpMethod.PUT)) {
			put(context, key, request);
		}
		else if (target.parameters().containsKey("watch-after")) {
			watch(context, key, target);
		}
		else {
			this.store.read(key).thenAccept((result) -> answerRead(context, result, HttpResponseStatus.NOT_FOUND));
		}
	}

	private void watch(ChannelHandlerContext context, ObjectKey key, QueryStringDecoder target) {
		Duration wait = Duration.ofMillis(Long.parseLong(parameter(target, "wait-ms", "0")));
		var pending = this.store.watch(key, Long.parseLong(parameter(target, "watch-after", "0")), wait);
		context.executor().schedule(() -> this.store.cancel(pending), wait.toMillis(), TimeUnit.MILLISECONDS);
		pending.thenAccept((result) -> answerRead(context, result, HttpResponseStatus.NOT_MODIFIED));
	}

	private void put(ChannelHandlerContext context, ObjectKey key, FullHttpRequest request) {
		HttpHeaders headers = request.headers();
		boolean create = "*".equals(headers.get(HttpHeaderNames.IF_NONE_MATCH));
		String match = headers.get(HttpHeaderNames.IF_MATCH, "").replace("\"", "");
		if (!create && !match.matches("[0-9]{1,18}")) {
			answer(context, HttpResponseStatus.BAD_REQUEST, new byte[0], Map.of("X-Not-Applied", "true"));
			return;
		}
		WriterMark mark = new WriterMark(URLDecoder.decode(headers.get("X-Writer-Mark", ""), StandardCharsets.UTF_8));
		Write write = new Write(key, create ? Write.ABSENT : Long.parseLong(match),
				ByteBufUtil.getBytes(request.content()), mark);
		this.store.write(write).thenAccept((result) -> answerWrite(context, result));
	}

	private static void answerRead(ChannelHandlerContext context, ReadResult result, HttpResponseStatus absent) {
		if (result instanceof ReadResult.Found found) {
			Versioned object = found.object();
			String mark = URLEncoder.encode(object.writer().value(), StandardCharsets.UTF_8);
			answer(context, HttpResponseStatus.OK, object.value(),
					Map.of("ETag", tag(object.version()), "X-Writer-Mark", mark));
		}
		else if (result instanceof ReadResult.Absent) {
			answer(context, absent, new byte[0], Map.of());
		}
		else {
			answer(context, HttpResponseStatus.SERVICE_UNAVAILABLE, new byte[0], Map.of());
		}
	}

	private static void answerWrite(ChannelHandlerContext context, WriteResult result) {
		if (result instanceof WriteResult.Written written) {
			answer(context, HttpResponseStatus.OK, new byte[0], Map.of("ETag", tag(written.version())));
		}
		else if (result instanceof WriteResult.Conflict) {
			answer(context, HttpResponseStatus.PRECONDITION_FAILED, new byte[0], Map.of());
		}
		else if (result instanceof WriteResult.Refused) {
			answer(context, HttpResponseStatus.SERVICE_UNAVAILABLE, new byte[0], Map.of("X-Not-Applied", "true"));
		}
		else {
			context.close();
		}
	}

	private static void answerList(ChannelHandlerContext context, ListResult result) {
		if (!(result instanceof ListResult.Listed listed)) {
			answer(context, HttpResponseStatus.SERVICE_UNAVAILABLE, new byte[0], Map.of());
			return;
		}
		ArrayNode array = JSON.createArrayNode();
		for (Versioned object : listed.objects()) {
			array.addObject()
				.put("key", object.key().value())
				.put("version", object.version())
				.put("writer", object.writer().value())
				.put("value", object.value());
		}
		answer(context, HttpResponseStatus.OK, bytes(array), Map.of("Content-Type", "application/json"));
	}

	private void listInstances(ChannelHandlerContext context, FullHttpRequest request) {
		InstanceTable.Snapshot snapshot = this.instances.snapshot();
		String tag = tag(snapshot.version());
		if (this.store.isDown()) {
			answer(context, HttpResponseStatus.SERVICE_UNAVAILABLE, new byte[0], Map.of());
			return;
		}
		if (tag.equals(request.headers().get(HttpHeaderNames.IF_NONE_MATCH))) {
			answer(context, HttpResponseStatus.NOT_MODIFIED, new byte[0], Map.of("ETag", tag));
			return;
		}
		ArrayNode array = JSON.createArrayNode();
		for (LiveInstance instance : snapshot.instances()) {
			array.addObject()
				.put("instance", instance.instance().value())
				.put("dataCentre", instance.dataCentre().value())
				.put("role", instance.role())
				.put("address", instance.address())
				.put("leaving", instance.leaving());
		}
		answer(context, HttpResponseStatus.OK, bytes(array), Map.of("ETag", tag, "Content-Type", "application/json"));
	}

	private void control(ChannelHandlerContext context, String name, QueryStringDecoder target, FullHttpRequest request)
			throws IOException {
		boolean on = Boolean.parseBoolean(parameter(target, "on", "true"));
		switch (name) {
			case "down" -> this.store.down(on);
			case "lose-requests" -> this.store.loseRequests((write) -> on);
			case "lose-answers" -> this.store.loseAnswers((write) -> on);
			case "leaving" -> this.instances.leaving(parameter(target, "instance", ""));
			case "gone" -> this.instances.remove(parameter(target, "instance", ""));
			case "instances" -> putInstances(JSON.readTree(ByteBufUtil.getBytes(request.content())));
			default -> {
				answer(context, HttpResponseStatus.NOT_FOUND, new byte[0], Map.of());
				return;
			}
		}
		answer(context, HttpResponseStatus.OK, new byte[0], Map.of());
	}

	private void putInstances(JsonNode list) {
		for (JsonNode node : list) {
			this.instances.put(new LiveInstance(InstanceId.of(node.required("instance").asText()),
					DataCentreId.of(node.required("dataCentre").asText()), node.required("role").asText(),
					node.required("address").asText(), node.path("leaving").asBoolean(false)));
		}
	}

	private static String parameter(QueryStringDecoder target, String name, String fallback) {
		List<String> values = target.parameters().getOrDefault(name, List.of());
		return values.isEmpty() ? fallback : values.get(0);
	}

	private static String tag(long version) {
		return "\"" + version + "\"";
	}

	private static byte[] bytes(JsonNode node) {
		try {
			return JSON.writeValueAsBytes(node);
		}
		catch (JsonProcessingException ex) {
			throw new IllegalStateException(ex);
		}
	}

	private static void answer(ChannelHandlerContext context, HttpResponseStatus status, byte[] body,
			Map<String, String> headers) {
		FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status,
				Unpooled.wrappedBuffer(body));
		headers.forEach(response.headers()::set);
		if (status.code() != 304) {
			response.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, body.length);
		}
		context.writeAndFlush(response);
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
		context.close();
	}

}
