package io.bulrushrouter.coordination;

import java.io.IOException;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.asynchttpclient.Response;

import io.bulrushrouter.kernel.DataCentreId;
import io.bulrushrouter.kernel.InstanceId;
import io.bulrushrouter.kernel.store.ListResult;
import io.bulrushrouter.kernel.store.LiveInstance;
import io.bulrushrouter.kernel.store.ObjectKey;
import io.bulrushrouter.kernel.store.ReadResult;
import io.bulrushrouter.kernel.store.Versioned;
import io.bulrushrouter.kernel.store.WriteResult;
import io.bulrushrouter.kernel.store.WriterMark;

/**
 * Reads the platform's HTTP answers into results. An answer that is not understood is
 * taken as none.
 */
final class PlatformAnswers {

	private static final int OK = 200;

	private static final int NOT_MODIFIED = 304;

	private static final int NOT_FOUND = 404;

	private static final int PRECONDITION_FAILED = 412;

	private static final ObjectMapper JSON = new ObjectMapper();

	private PlatformAnswers() {
	}

	static ReadResult readResult(ObjectKey key, Response response) {
		int status = response.getStatusCode();
		if (status == NOT_FOUND || status == NOT_MODIFIED) {
			return new ReadResult.Absent();
		}
		Optional<Long> version = versionOf(response);
		if (status != OK || version.isEmpty()) {
			return new ReadResult.Unavailable("status " + status);
		}
		return new ReadResult.Found(
				new Versioned(key, version.get(), markOf(response), response.getResponseBodyAsBytes()));
	}

	static WriteResult writeResult(Response response) {
		int status = response.getStatusCode();
		Optional<Long> version = versionOf(response);
		if (status == OK && version.isPresent()) {
			return new WriteResult.Written(version.get());
		}
		if (status == PRECONDITION_FAILED) {
			return new WriteResult.Conflict();
		}
		if ("true".equals(response.getHeader("X-Not-Applied"))) {
			return new WriteResult.Refused("status " + status);
		}
		return new WriteResult.Unknown("status " + status);
	}

	static ListResult listResult(Response response) {
		if (response.getStatusCode() != OK) {
			return new ListResult.Unavailable("status " + response.getStatusCode());
		}
		try {
			List<Versioned> objects = new ArrayList<>();
			for (JsonNode node : JSON.readTree(response.getResponseBodyAsBytes())) {
				objects
					.add(new Versioned(new ObjectKey(node.required("key").asText()), node.required("version").asLong(),
							new WriterMark(node.required("writer").asText()), node.required("value").binaryValue()));
			}
			return new ListResult.Listed(objects);
		}
		catch (IOException | IllegalArgumentException ex) {
			return new ListResult.Unavailable("malformed list: " + ex.getMessage());
		}
	}

	static Optional<List<LiveInstance>> instances(Response response) {
		if (response.getStatusCode() != OK) {
			return Optional.empty();
		}
		try {
			List<LiveInstance> instances = new ArrayList<>();
			for (JsonNode node : JSON.readTree(response.getResponseBodyAsBytes())) {
				instances.add(new LiveInstance(InstanceId.of(node.required("instance").asText()),
						DataCentreId.of(node.required("dataCentre").asText()), node.required("role").asText(),
						node.required("address").asText(), node.required("leaving").asBoolean()));
			}
			return Optional.of(List.copyOf(instances));
		}
		catch (IOException | RuntimeException ex) {
			return Optional.empty();
		}
	}

	static Optional<Long> versionOf(Response response) {
		String tag = response.getHeader("ETag");
		if (tag == null || !tag.matches("\"[0-9]{1,18}\"")) {
			return Optional.empty();
		}
		return Optional.of(Long.parseLong(tag.substring(1, tag.length() - 1)));
	}

	private static WriterMark markOf(Response response) {
		String mark = response.getHeader("X-Writer-Mark");
		return new WriterMark((mark != null) ? URLDecoder.decode(mark, StandardCharsets.UTF_8) : "");
	}

}
