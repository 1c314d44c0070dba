import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Requesters keep their channels. A manifest raises the length of a head that they may
 * send. Long after its ack they send heads of that length, on the channels they have.
 */
final class RaisedLimit {

	private static final int ENTRIES = 2;

	private static final int REQUESTERS = 40;

	private static final int OLD_HEADER_BYTES = 16_384;

	private static final int NEW_HEADER_BYTES = 32_768;

	/** Length of the longest field that is sent; the head is within the new limit. */
	private static final int FIELD_BYTES = 20_000;

	private static final int ROUNDS = 14;

	private static final int CHANGE_ROUND = 4;

	/** Config-apply-ms is 2,000 and a round takes a second. */
	private static final int LONG_FROM_ROUND = 9;

	private static final AtomicLong LAST = new AtomicLong(0x1d41d07be2a30000L);

	private RaisedLimit() {
	}

	public static void main(String[] args) throws Exception {
		Path root = Path.of(args[0]);
		boolean trouble = !"0".equals(System.getenv("TROUBLE"));
		Path folder = Files.createTempDirectory("raised-limit");
		int exit = 2;
		try (Record record = new Record(Path.of(args[1])); Store store = new Store()) {
			store.put("config", "main", manifest(7, trouble ? OLD_HEADER_BYTES : NEW_HEADER_BYTES));
			for (int index = 0; index < 2; index++) {
				new AppServer(store, "wuno96b", "i-7f3a91c" + index, 20, record);
			}
			try (Deployment deployment = new Deployment(root, folder, store, ENTRIES, record)) {
				if (deployment.start()) {
					exit = play(deployment, store, record);
				}
				else {
					record.result("the entries did not become ready");
				}
			}
		}
		System.exit(exit);
	}

	private static String manifest(long version, int headerBytes) {
		return new Manifest().service("wuno96b")
			.route("r-fi6y7z5", "/pufi791/", "idempotent", 1_500, "wuno96b", 2)
			.headerBytes(headerBytes)
			.json(version);
	}

	private static int play(Deployment deployment, Store store, Record record) throws Exception {
		List<KeptChannel> channels = new ArrayList<>();
		for (int index = 0; index < REQUESTERS; index++) {
			channels.add(new KeptChannel(deployment.callers(index)));
		}
		int sent = 0;
		int denied = 0;
		int failed = 0;
		for (int round = 0; round < ROUNDS; round++) {
			if (round == CHANGE_ROUND) {
				store.put("config", "main", manifest(8, NEW_HEADER_BYTES));
				record.line("the store has acknowledged version 8 with max-header-bytes " + NEW_HEADER_BYTES);
			}
			long roundStart = System.nanoTime();
			for (int index = 0; index < REQUESTERS; index++) {
				String attempt = Long.toHexString(LAST.incrementAndGet());
				int fieldBytes = (round < LONG_FROM_ROUND) ? 100 : FIELD_BYTES;
				int status = channels.get(index).send(attempt, fieldBytes);
				sent++;
				denied += (status >= 400 && status < 500) ? 1 : 0;
				failed += (status != 200) ? 1 : 0;
				record.line("requester " + index + ", attempt " + attempt + ", prefix of " + fieldBytes
						+ " bytes: status " + status);
			}
			Thread.sleep(Math.max(0, 1_000 - (System.nanoTime() - roundStart) / 1_000_000));
		}
		double allowed = 5 + sent / 500.0;
		record.result("requests: " + sent + ", denied with a 4xx: " + denied + " (allowed " + allowed
				+ "), not served: " + failed);
		record.result((denied > allowed) ? "BROKEN: DENIED" : "held");
		return (denied > allowed) ? 1 : 0;
	}

	/** A channel that is used again until the entry closes it. */
	private static final class KeptChannel {

		private final InetSocketAddress entry;

		private Socket channel;

		private InputStream in;

		KeptChannel(InetSocketAddress entry) {
			this.entry = entry;
		}

		int send(String attempt, int fieldBytes) {
			try {
				if (this.channel == null) {
					this.channel = new Socket();
					this.channel.connect(this.entry, 1_000);
					this.channel.setSoTimeout(2_000);
					this.in = new BufferedInputStream(this.channel.getInputStream());
				}
				String head = "GET /pufi791/2f HTTP/1.1\r\nHost: " + Manifest.HOST
						+ "\r\nBulrushrouter-Attempt-Id: " + attempt
						+ "\r\nBulrushrouter-Deadline-Ms: 1500\r\nBulrushrouter-Key: " + Manifest.KEY
						+ "\r\nBulrushrouter-Prefix-Hash: " + prefix(fieldBytes) + "\r\n\r\n";
				this.channel.getOutputStream().write(head.getBytes(StandardCharsets.ISO_8859_1));
				Map<String, String> answer = AppServer.readHead(this.in);
				if (answer == null) {
					close();
					return 0;
				}
				this.in.readNBytes(Integer.parseInt(answer.getOrDefault("content-length", "0")));
				if ("close".equalsIgnoreCase(answer.get("connection"))) {
					close();
				}
				return Integer.parseInt(answer.get("").split(" ")[1]);
			}
			catch (IOException ex) {
				close();
				return 0;
			}
		}

		private static String prefix(int bytes) {
			StringBuilder parts = new StringBuilder("5c1e07a2:800");
			for (int part = 0; parts.length() < bytes - 20; part++) {
				parts.append(',').append(Integer.toHexString(0x10000000 + part)).append(":250");
			}
			return parts.toString();
		}

		private void close() {
			try {
				this.channel.close();
			}
			catch (IOException ex) {
				// It is given up anyway.
			}
			this.channel = null;
		}

	}

}
