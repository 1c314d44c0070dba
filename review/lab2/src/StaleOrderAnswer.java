import java.io.BufferedInputStream;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.ByteArrayOutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.StringJoiner;

/**
 * A group of twelve ranks with the project's processes beside them. Some answers of the
 * ranks come a second time, where the next one is expected, and some orders are carried
 * out late and get no answer. Does a pass begin with different maps?
 */
public final class StaleOrderAnswer extends Lab {

	private static final int RANKS = 12;

	private static final int EXPERTS = 96;

	private static final int PLACEMENTS = 11;

	private static final int SPARE = 4;

	private static final long PASS_MILLIS = 60;

	/** The share of its answers that come a second time, at seven of twelve ranks. */
	private static final double EXTRA = 0.03;

	private static final int SPOILING_RANKS = 7;

	/** The share of orders that get no answer and are carried out 2 to 12 s later. */
	private static final double LATE = 0.5;

	/** How long both last, and from the begin of one time to that of the next. */
	private static final double TROUBLE_SECONDS = 5.5;

	private static final double TROUBLE_INTERVAL_SECONDS = 7;

	/** The time between two changes of what is in demand. */
	private static final double SHIFT_SECONDS = 2;

	private static final double LENGTH_SECONDS = 95;

	private static final Rank[] GROUP = new Rank[RANKS];

	private static long step;

	private static int changes;

	private static int broken;

	private static int extra;

	private static int late;

	private static volatile boolean trouble;

	private StaleOrderAnswer() {
	}

	public static void main(String[] args) {
		run(args, StaleOrderAnswer::play);
	}

	private static final class Rank {

		final int index;

		final ServerSocket server;

		final Random random;

		long map;

		int[][] experts;

		int[][] all;

		long prepared = -1;

		int[][] preparedAll;

		long preparing = -1;

		double preparedAt;

		long highest;

		long armed = -1;

		long armedStep;

		long held = -1;

		long fence;

		long sequence;

		final long[] counts = new long[EXPERTS];

		Rank(int index) throws Exception {
			this.index = index;
			this.random = new Random(100 + index);
			this.server = new ServerSocket(0, 128, InetAddress.getByName("127.0.0." + (11 + index)));
			this.all = new int[RANKS][];
			for (int rank = 0; rank < RANKS; rank++) {
				int at = rank;
				this.all[rank] = java.util.stream.IntStream.range(0, EXPERTS).filter((e) -> e % RANKS == at).toArray();
			}
			start(() -> {
				while (true) {
					try {
						Socket socket = this.server.accept();
						start(() -> serve(socket));
					}
					catch (Exception ex) {
						return;
					}
				}
			});
		}

		private void serve(Socket socket) {
			byte[] again = null;
			try (socket) {
				socket.setTcpNoDelay(true);
				InputStream in = new BufferedInputStream(socket.getInputStream());
				OutputStream out = socket.getOutputStream();
				for (Message message = Message.read(in, false); message != null; message = Message.read(in, false)) {
					if (again != null) {
						out.write(again);
						out.flush();
						again = null;
						if (message.first.startsWith("POST")) {
							log("rank " + this.index + " answers an earlier call once more as it gets "
									+ new String(message.body, StandardCharsets.UTF_8).replaceAll("\"map\":.*", "..."));
						}
					}
					String[] answer = new String[] { "200", "" };
					boolean silent = false;
					synchronized (GROUP) {
						URI uri = URI.create(message.first.split(" ")[1]);
						if (uri.getPath().equals("/report")) {
							answer[1] = report();
						}
						else if (uri.getPath().equals("/picked")) {
							answer[1] = (uri.getQuery() != null) ? lists() : counts();
						}
						else {
							String body = new String(message.body, StandardCharsets.UTF_8);
							if (trouble && this.random.nextDouble() < LATE) {
								silent = true;
								late++;
								log("rank " + this.index + " will carry out late " + body.replaceAll("\"map\":.*", "..."));
								long delay = 2_000 + this.random.nextInt(10_000);
								start(() -> {
									sleep(delay);
									synchronized (GROUP) {
										order(body);
									}
								});
							}
							else {
								answer[0] = Integer.toString(order(body));
								answer[1] = "{}";
							}
						}
					}
					if (silent) {
						continue;
					}
					ByteArrayOutputStream bytes = new ByteArrayOutputStream();
					Store.reply(bytes, Integer.parseInt(answer[0]), answer[1]);
					out.write(bytes.toByteArray());
					out.flush();
					if (trouble && this.index < SPOILING_RANKS && this.random.nextDouble() < EXTRA) {
						again = bytes.toByteArray();
						extra++;
					}
				}
			}
			catch (Exception ex) {
				// The process has closed the channel.
			}
		}

		private String report() {
			settle();
			return "{\"stage\":\"both\",\"models\":[],\"busy\":false,\"sequence\":" + this.sequence
					+ ",\"queued\":0,\"running\":6,\"kv-used\":0,\"kv-total\":1000,\"handles\":0,\"born\":1000,"
					+ "\"group\":{\"name\":\"g1\",\"epoch\":1,\"rank\":" + this.index
					+ ",\"state\":\"open\"},\"size\":" + RANKS + ",\"step\":" + step + ",\"map\":" + this.map
					+ ",\"prepared\":" + ((this.prepared >= 0) ? this.prepared : "null") + ",\"armed\":"
					+ ((this.armed >= 0) ? "[" + this.armed + "," + this.armedStep + "]" : "null") + ",\"held\":"
					+ ((this.held >= 0) ? this.held : "null") + "}";
		}

		private void settle() {
			if (this.preparing >= 0 && now() >= this.preparedAt) {
				this.prepared = this.preparing;
				this.preparing = -1;
			}
		}

		private String lists() {
			return "{\"step\":" + step + ",\"epoch\":1,\"map\":{\"version\":" + this.map + ",\"experts\":["
					+ Arrays.toString(this.all[this.index]) + "]},\"prepared\":null}";
		}

		private String counts() {
			return "{\"step\":" + step + ",\"epoch\":1,\"counts\":" + Arrays.toString(this.counts) + "}";
		}

		private int order(String body) {
			settle();
			long epoch = Long.parseLong(Store.raw(body, "epoch"));
			long token = Long.parseLong(Store.raw(body, "fence"));
			if (token < this.fence) {
				return 412;
			}
			this.fence = token;
			if (epoch != 1) {
				return 409;
			}
			switch (Store.text(body, "op")) {
				case "prepare" -> {
					long version = Long.parseLong(Store.raw(body, "version"));
					if (version == this.prepared || version == this.preparing) {
						return 200;
					}
					if (version <= this.highest || this.armed >= 0) {
						return 409;
					}
					int[][] next = parse(Store.raw(body, "map"));
					this.highest = version;
					this.preparing = version;
					this.prepared = -1;
					this.preparedAll = next;
					this.preparedAt = now() + 0.4;
					this.sequence++;
					return 202;
				}
				case "arm" -> {
					long version = Long.parseLong(Store.raw(body, "version"));
					long at = Long.parseLong(Store.raw(body, "step"));
					if (this.armed == version && this.armedStep == at) {
						return 200;
					}
					if (this.prepared != version || at <= step) {
						return 409;
					}
					this.armed = version;
					this.armedStep = at;
					this.sequence++;
					return 200;
				}
				case "disarm" -> {
					long version = Long.parseLong(Store.raw(body, "version"));
					if (version == this.map) {
						return 409;
					}
					if (this.armed == version) {
						this.armed = -1;
						this.sequence++;
					}
					return 200;
				}
				case "hold" -> {
					long at = Long.parseLong(Store.raw(body, "step"));
					if (this.held == at) {
						return 200;
					}
					if (at <= step || this.held >= 0) {
						return 409;
					}
					this.held = at;
					this.sequence++;
					return 200;
				}
				case "go" -> {
					if (this.held == Long.parseLong(Store.raw(body, "step"))) {
						this.held = -1;
						this.sequence++;
						return 200;
					}
					return 409;
				}
				default -> {
					return 400;
				}
			}
		}

		// Reads [[[experts of rank 0],[experts of rank 1],...]] of the only set.
		private static int[][] parse(String text) {
			String[] parts = text.replaceAll("\\s", "").replace("[[[", "").replace("]]]", "").split("\\],\\[");
			int[][] map = new int[parts.length][];
			for (int rank = 0; rank < parts.length; rank++) {
				map[rank] = parts[rank].isEmpty() ? new int[0]
						: Arrays.stream(parts[rank].split(",")).mapToInt(Integer::parseInt).toArray();
			}
			return map;
		}

	}

	// All ranks execute each pass together, and none begins a pass that one is held before.
	private static void pass(int topic) {
		synchronized (GROUP) {
			long next = step + 1;
			for (Rank rank : GROUP) {
				if (rank.held == next) {
					return;
				}
			}
			step = next;
			boolean changed = false;
			for (Rank rank : GROUP) {
				if (rank.armed >= 0 && rank.armedStep <= step) {
					rank.map = rank.armed;
					rank.all = rank.preparedAll;
					rank.armed = -1;
					rank.prepared = -1;
					changed = true;
				}
				for (int choice = 0; choice < 60; choice++) {
					rank.counts[(choice < 45) ? (topic + RANKS * (choice % 4)) % EXPERTS : choice % EXPERTS] += 20;
				}
			}
			changes += changed ? 1 : 0;
			for (Rank rank : GROUP) {
				if (rank.map != GROUP[0].map || !Arrays.deepEquals(rank.all, GROUP[0].all)) {
					broken++;
					if (broken <= 5) {
						log("pass " + step + " begins with map " + GROUP[0].map + " at rank 0 and map " + rank.map
								+ " at rank " + rank.index);
					}
					break;
				}
			}
		}
	}

	private static int play(boolean withTrouble, Path folder) throws Exception {
		Store store = new Store(HOST);
		String engine = ",\"engine\":{\"slots\":8,\"kv-capacity\":329333,\"kv-token-bytes\":52704,\"link-mbps\":44000.0,"
				+ "\"stride\":6,\"models\":[{\"name\":\"m\"}],\"step_ms\":4.84,\"per_seq_ms\":0.54,\"context_per_k\":0.0165,"
				+ "\"read_per_s\":74800.0,\"pairs_per_m\":0.232,\"chunk\":512,\"report_lag_ms\":200.0,\"delays\":[],"
				+ "\"usual\":{\"prompt\":835,\"answer\":159},\"sets\":1,\"experts\":" + EXPERTS + ",\"placements\":"
				+ PLACEMENTS + ",\"spare\":" + SPARE + ",\"expert-mb\":2200.0,\"expert-share\":0.85,\"form_ms\":600.0}}";
		String service = service("llm");
		store.put("config", "main", manifest(1, route("s", "/s/", "streaming", 8_000, "llm", 2, ",\"resumable\":true"),
				service.substring(0, service.length() - 1) + engine, "\"key1\""));
		List<Program> programs = new ArrayList<>();
		int peers = freePort("127.0.0.11");
		for (int index = 0; index < RANKS; index++) {
			GROUP[index] = new Rank(index);
			store.put("servers", "i-" + index,
					"{\"service\":\"llm\",\"address\":\"127.0.0." + (11 + index) + ":"
							+ GROUP[index].server.getLocalPort()
							+ "\",\"zone\":\"z-a\",\"version\":\"v1\",\"slots\":8,\"state\":\"ready\","
							+ "\"warmup-left-ms\":0,\"stage\":\"both\",\"models\":[],\"sequence\":1,\"born\":1000}");
		}
		for (int index = 0; index < RANKS; index++) {
			String address = "127.0.0." + (11 + index);
			programs.add(new Program("rank", "side-" + index, "[instance]\nname = side-" + index + "\naddress = " + address
					+ "\nbandwidth = 14.0\n\n[peers]\nport = " + peers + "\n\n[engine]\naddress = " + address + ":"
					+ GROUP[index].server.getLocalPort() + "\nservice = llm\n\n[source]\nkind = platform\nstore = " + HOST
					+ ":" + store.server.getLocalPort() + "\n", folder));
		}
		while (now() < LENGTH_SECONDS && broken == 0) {
			trouble = withTrouble && now() > 8 && now() % TROUBLE_INTERVAL_SECONDS < TROUBLE_SECONDS;
			pass(5 * (int) (now() / SHIFT_SECONDS) % RANKS);
			sleep(PASS_MILLIS);
		}
		StringJoiner alive = new StringJoiner(",");
		for (Program program : programs) {
			alive.add(Boolean.toString(program.process.isAlive()));
		}
		log(step + " passes, " + changes + " changes of map, " + late + " orders carried out late, " + extra
				+ " answers that came twice; processes alive: " + alive + "; " + broken
				+ " passes began with different maps");
		for (int index = 0; index < RANKS; index++) {
			String name = "side-" + index;
			List<String> orders = programs.get(index)
				.lines()
				.stream()
				.filter((line) -> line.contains("\"orders\"") || line.contains("leadership"))
				.toList();
			orders.stream().skip(Math.max(0, orders.size() - 8)).forEach((line) -> log(name + " log: " + line));
		}
		return (changes == 0) ? NOT_RUN : (broken > 0) ? BROKEN : KEPT;
	}

}
