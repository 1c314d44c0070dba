package io.bulrushrouter.daemon.admin;

import java.util.Optional;

import io.bulrushrouter.daemon.config.Configuration;
import io.bulrushrouter.daemon.spread.ConfigurationPropagator;
import io.bulrushrouter.http.HttpReply;
import io.bulrushrouter.kernel.BulrushException;
import io.bulrushrouter.kernel.ErrorCode;
import io.bulrushrouter.kernel.store.ReadResult;
import io.bulrushrouter.kernel.store.Versioned;
import io.bulrushrouter.kernel.store.Write;
import io.bulrushrouter.kernel.store.WriteResult;
import io.bulrushrouter.kernel.store.WriterMark;

/**
 * Shows and accepts configurations. Accepting is one conditional write of a document that
 * was checked whole.
 */
final class ConfigurationAdmin {

	private static final int OK = 200;

	private final AdminContext context;

	ConfigurationAdmin(AdminContext context) {
		this.context = context;
	}

	HttpReply act(AdminAct act) {
		act.requireAll();
		if (act.is("GET")) {
			Versioned object = read()
				.orElseThrow(() -> new BulrushException(ErrorCode.NOT_FOUND, "no configuration was accepted yet"));
			return HttpReply.ofJson(OK, Configuration.ofStored(object.value()).toJson())
				.withHeader("ETag", "\"" + object.version() + "\"");
		}
		if (act.is("PUT")) {
			return accept(act);
		}
		throw act.wrongMethod();
	}

	private Optional<Versioned> read() {
		ReadResult result = this.context.store().read(ConfigurationPropagator.KEY).toCompletableFuture().join();
		if (result instanceof ReadResult.Unavailable unavailable) {
			throw new BulrushException(ErrorCode.STORE_UNAVAILABLE, unavailable.reason());
		}
		return (result instanceof ReadResult.Found found) ? Optional.of(found.object()) : Optional.empty();
	}

	private HttpReply accept(AdminAct act) {
		byte[] json = Configuration.ofJson(act.exchange().body()).toStored();
		WriterMark mark = new WriterMark(this.context.marks().get());
		long expected = act.expectedVersion().orElse(Write.ABSENT);
		WriteResult result = this.context.store()
			.write(new Write(ConfigurationPropagator.KEY, expected, json, mark))
			.toCompletableFuture()
			.join();
		if (result instanceof WriteResult.Written written) {
			return HttpReply.ofJson(OK, ("{\"version\":" + written.version() + "}").getBytes());
		}
		throw failure(result);
	}

	private BulrushException failure(WriteResult result) {
		if (result instanceof WriteResult.Conflict) {
			long version = read().map(Versioned::version).orElse(Write.ABSENT);
			return new BulrushException(ErrorCode.CONFLICT, "somebody else accepted version " + version);
		}
		return new BulrushException(ErrorCode.STORE_UNAVAILABLE, result.toString());
	}

}
