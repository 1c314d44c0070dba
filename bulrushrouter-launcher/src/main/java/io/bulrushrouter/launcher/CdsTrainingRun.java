package io.bulrushrouter.launcher;

import java.io.StringReader;
import java.util.concurrent.locks.LockSupport;
import java.util.random.RandomGenerator;

import org.slf4j.LoggerFactory;

import io.bulrushrouter.gateway.admission.AdmissionTrainingRun;
import io.bulrushrouter.gateway.node.Gateway;
import io.bulrushrouter.gateway.node.GatewaySettings;
import io.bulrushrouter.http.grammar.GrammarTrainingRun;
import io.bulrushrouter.kernel.plugin.PluginRegistry;
import io.bulrushrouter.kernel.settings.Settings;
import io.bulrushrouter.ranks.RankSettings;
import io.bulrushrouter.ranks.RankSidecar;

/**
 * Runs both roles briefly on loopback, without a store or an engine, so that the virtual
 * machine can write a class data sharing (CDS) archive of the classes that they load. The
 * build uses it.
 */
final class CdsTrainingRun {

	/** Long enough for the first calls to fail and to be retried. */
	private static final long RUN_NANOS = 1_500_000_000L;

	private static final String GATEWAY = """
			[instance]
			name = archive
			data-centre = archive
			memory-mb = 256
			descriptors = 1024
			[listen]
			callers = 127.0.0.1:0
			readiness = 127.0.0.1:0
			metrics = 127.0.0.1:0
			[source]
			kind = platform
			store = 127.0.0.1:1
			[retry]
			ratio = 0.2
			spare = 10
			window = 10s
			[keys]
			freshness = 5000ms
			fail-closed = true
			[configuration]
			apply = 2000ms
			[stop]
			grace = 8s
			""";

	private static final String RANK = """
			[instance]
			name = archive
			address = 127.0.0.1
			[peers]
			port = 0
			[engine]
			address = 127.0.0.1:1
			service = archive
			[source]
			kind = platform
			store = 127.0.0.1:1
			""";

	private CdsTrainingRun() {
	}

	static void run() {
		PluginRegistry plugins = PluginRegistry.ofClassPath();
		RandomGenerator random = RandomGenerator.getDefault();
		GatewaySettings gatewaySettings = GatewaySettings.of(Settings.ofReader("gateway", new StringReader(GATEWAY)));
		RankSettings rankSettings = RankSettings.of(Settings.ofReader("rank", new StringReader(RANK)));
		try (Gateway gateway = Gateway.start(gatewaySettings, plugins, random);
				RankSidecar sidecar = RankSidecar.start(rankSettings, plugins, random)) {
			AdmissionTrainingRun.run();
			GrammarTrainingRun.run();
			LockSupport.parkNanos(RUN_NANOS);
			LoggerFactory.getLogger(CdsTrainingRun.class)
				.info("event=classes-loaded entry={} rank={}", gateway.callersAddress(), sidecar);
		}
	}

}
