package io.bulrushrouter.daemon.demo;

import java.io.PrintStream;
import java.util.List;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;

import io.bulrushrouter.http.StreamingHttpClient;
import io.bulrushrouter.kernel.BulrushException;
import io.bulrushrouter.kernel.ErrorCode;

/**
 * Runs a complete fleet in one process and checks its promises against the engines' own
 * counts of runs.
 */
public final class Demo {

	private static final int SERVE_PORT = 8080;

	private Demo() {
	}

	/**
	 * Runs the demonstration.
	 * @param out receives the results
	 * @param json whether to print the results as JSON
	 * @param serve whether to keep serving afterwards, until the process is terminated
	 * @return whether all promises held
	 */
	public static boolean run(PrintStream out, boolean json, boolean serve) {
		EventLoopGroup network = new NioEventLoopGroup(2);
		try (StreamingHttpClient http = StreamingHttpClient.of(network);
				Fleet fleet = Fleet.builder().firstEntryPort(serve ? SERVE_PORT : 0).start()) {
			if (!fleet.awaitReady()) {
				out.println("the fleet did not become ready in time");
				return false;
			}
			List<DemoLine> lines = new DemoScript(fleet, http).run();
			print(out, lines, json);
			if (serve) {
				keepServing(out);
			}
			return lines.stream().allMatch(DemoLine::held);
		}
		finally {
			network.shutdownGracefully(0, 1, TimeUnit.SECONDS);
		}
	}

	private static void print(PrintStream out, List<DemoLine> lines, boolean json) {
		if (json) {
			out.println(toJson(lines));
			return;
		}
		out.printf("%-58s %10s %10s  %s%n", "promise", "asked", "came", "held");
		lines.forEach((line) -> out.printf("%-58s %10s %10s  %s%n", line.promise(), line.asked(), line.came(),
				line.held() ? "yes" : "NO"));
	}

	private static String toJson(List<DemoLine> lines) {
		try {
			return new ObjectMapper().writeValueAsString(lines);
		}
		catch (JsonProcessingException ex) {
			throw new BulrushException(ErrorCode.INTERNAL, "cannot serialise the results", ex);
		}
	}

	private static void keepServing(PrintStream out) {
		String entry = "http://127.0.0.1:" + SERVE_PORT;
		String operators = "http://127.0.0.1:" + (SERVE_PORT + 1);
		out.println();
		out.println("The fleet keeps running. Example requests:");
		out.println("  curl -N " + entry + "/v1/completions -H 'Authorization: Bearer " + Fleet.key(1) + "' -d '"
				+ EntryClient.completion("hello", 12, true) + "'");
		out.println("  curl " + entry + "/services/booking/reservations -H 'Authorization: Bearer " + Fleet.key(2)
				+ "' -H 'Idempotency-Key: my-slot' -d '{\"slot\":7}'");
		out.println("  curl " + operators + "/admin/v1/plans/demo/report?format=table -H 'Authorization: Bearer "
				+ Fleet.operatorKey() + "'");
		out.println("  curl " + operators + "/metrics");
		try {
			TimeUnit.DAYS.sleep(1);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

}
