package io.bulrushrouter.daemon.admin;

import java.util.Optional;

import io.bulrushrouter.daemon.config.Configuration;
import io.bulrushrouter.daemon.spread.ConfigurationPropagator;
import io.bulrushrouter.http.HttpReply;
import io.bulrushrouter.kernel.BulrushException;
import io.bulrushrouter.kernel.ErrorCode;
import io.bulrushrouter.kernel.store.ReadResult;
import io.bulrushrouter.kernel.store.VersionedObject;
import io.bulrushrouter.kernel.store.Write;
import io.bulrushrouter.kernel.store.WriteId;
import io.bulrushrouter.kernel.store.WriteResult;

/**
 * Returns and replaces the configuration. A new configuration is validated as a whole and
 * then stored with a single conditional write.
 */
final class ConfigurationAdmin {

	private static final int OK = 200;

	private final AdminContext context;

	ConfigurationAdmin(AdminContext context) {
		this.context = context;
	}

	HttpReply handle(AdminRequest request) {
		request.requireFullAccess();
		if (request.hasMethod("GET")) {
			VersionedObject object = read()
				.orElseThrow(() -> new BulrushException(ErrorCode.NOT_FOUND, "no configuration has been accepted yet"));
			return HttpReply.ofJson(OK, Configuration.ofStored(object.value()).toJson())
				.withHeader("ETag", "\"" + object.version() + "\"");
		}
		if (request.hasMethod("PUT")) {
			return accept(request);
		}
		throw request.unsupportedMethod();
	}

	private Optional<VersionedObject> read() {
		ReadResult result = this.context.store().read(ConfigurationPropagator.KEY).toCompletableFuture().join();
		if (result instanceof ReadResult.Unavailable unavailable) {
			throw new BulrushException(ErrorCode.STORE_UNAVAILABLE, unavailable.reason());
		}
		return (result instanceof ReadResult.Found found) ? Optional.of(found.object()) : Optional.empty();
	}

	private HttpReply accept(AdminRequest request) {
		byte[] compressed = Configuration.ofJson(request.exchange().body()).toStored();
		WriteId writeId = new WriteId(this.context.writeIds().get());
		long expected = request.expectedVersion().orElse(Write.ABSENT);
		WriteResult result = this.context.store()
			.write(new Write(ConfigurationPropagator.KEY, expected, compressed, writeId))
			.toCompletableFuture()
			.join();
		if (result instanceof WriteResult.Written written) {
			return HttpReply.ofJson(OK, ("{\"version\":" + written.version() + "}").getBytes());
		}
		throw failure(result);
	}

	private BulrushException failure(WriteResult result) {
		if (result instanceof WriteResult.Conflict) {
			long version = read().map(VersionedObject::version).orElse(Write.ABSENT);
			return new BulrushException(ErrorCode.CONFLICT, "conflicting change: the current version is " + version);
		}
		return new BulrushException(ErrorCode.STORE_UNAVAILABLE, result.toString());
	}

}
