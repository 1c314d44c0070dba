package io.bulrushrouter.launcher;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;

/**
 * A process beside rank 0 of a group, with the command and the heap of the deploy file,
 * and its engine.
 */
final class RankProcess implements AutoCloseable {

	private static final String HEAP = "-Xmx40m";

	private static final String REPORT = """
			{"stage":"both","models":[],"busy":false,"sequence":0,"queued":0,"running":0,"size":2,"step":0,"map":0,
			"prepared":null,"armed":null,"held":null,"group":{"name":"g","epoch":1,"rank":0,"state":"open"}}""";

	private final UpstreamStandin engine = new UpstreamStandin(RankProcess::answer);

	private final ProgramProcess process;

	/**
	 * Starts a process.
	 * @param directory receives the settings and the log
	 * @param storePort the port of the store
	 */
	RankProcess(Path directory, int storePort) throws IOException {
		this.process = new ProgramProcess("rank", HEAP, directory,
				List.of("[instance]", "name = rank", "address = 127.0.0.1", "[peers]", "port = 0", "[engine]",
						"address = 127.0.0.1:" + this.engine.port(), "service = work", "[source]", "kind = platform",
						"store = 127.0.0.1:" + storePort));
	}

	private static void answer(UpstreamStandin.Request request, Socket connection) throws IOException {
		String body = request.line().contains("/report") ? REPORT : "{\"step\":0,\"epoch\":1,\"counts\":[]}";
		connection.getOutputStream()
			.write(("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " + body.length() + "\r\n\r\n"
					+ body)
				.getBytes(StandardCharsets.ISO_8859_1));
	}

	boolean alive() {
		return this.process.alive();
	}

	String log() throws IOException {
		return this.process.log();
	}

	@Override
	public void close() throws IOException {
		this.process.close();
		this.engine.close();
	}

}
