package io.bulrushrouter.ranks;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Optional;
import java.util.OptionalLong;

import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

import io.bulrushrouter.experts.live.OrderResult;
import io.bulrushrouter.experts.live.RankOrder;
import io.bulrushrouter.experts.live.RankStatus;

/**
 * Messages between the processes beside the ranks, in MessagePack.
 */
final class PeerCodec {

	private static final int NONE = -1;

	private PeerCodec() {
	}

	/**
	 * A message.
	 */
	sealed interface Message {

		/**
		 * Returns the number that ties an answer to its question.
		 * @return the number
		 */
		long id();

	}

	/**
	 * Asks for a report.
	 *
	 * @param id the question's number
	 * @param counts whether the report is to hold the counts
	 */
	record AskReport(long id, boolean counts) implements Message {
	}

	/**
	 * Gives an order.
	 *
	 * @param id the question's number
	 * @param epoch the epoch that the order is for
	 * @param fence the fencing token
	 * @param order the order
	 */
	record GiveOrder(long id, long epoch, long fence, RankOrder order) implements Message {
	}

	/**
	 * Answers with a report.
	 *
	 * @param id the question's number
	 * @param report the report, or empty if the engine did not answer
	 */
	record Report(long id, Optional<RankReport> report) implements Message {
	}

	/**
	 * Answers an order.
	 *
	 * @param id the question's number
	 * @param result what came of it
	 */
	record Ordered(long id, OrderResult result) implements Message {
	}

	static byte[] encode(Message message) {
		try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
			if (message instanceof AskReport ask) {
				packer.packByte((byte) 1).packLong(ask.id()).packBoolean(ask.counts());
			}
			else if (message instanceof GiveOrder give) {
				packer.packByte((byte) 2).packLong(give.id()).packLong(give.epoch()).packLong(give.fence());
				pack(packer, give.order());
			}
			else if (message instanceof Report report) {
				packer.packByte((byte) 3).packLong(report.id()).packBoolean(report.report().isPresent());
				if (report.report().isPresent()) {
					pack(packer, report.report().get());
				}
			}
			else if (message instanceof Ordered ordered) {
				packer.packByte((byte) 4).packLong(ordered.id()).packInt(ordered.result().ordinal());
			}
			return packer.toByteArray();
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	private static void pack(MessagePacker packer, RankOrder order) throws IOException {
		if (order instanceof RankOrder.Prepare prepare) {
			packer.packByte((byte) 1).packLong(prepare.version()).packArrayHeader(prepare.experts().length);
			for (int[][] set : prepare.experts()) {
				pack(packer, set);
			}
		}
		else if (order instanceof RankOrder.Arm arm) {
			packer.packByte((byte) 2).packLong(arm.version()).packLong(arm.step());
		}
		else if (order instanceof RankOrder.Disarm disarm) {
			packer.packByte((byte) 3).packLong(disarm.version());
		}
		else if (order instanceof RankOrder.Hold hold) {
			packer.packByte((byte) 4).packLong(hold.step());
		}
		else if (order instanceof RankOrder.Go go) {
			packer.packByte((byte) 5).packLong(go.step());
		}
	}

	private static void pack(MessagePacker packer, int[][] lists) throws IOException {
		packer.packArrayHeader(lists.length);
		for (int[] list : lists) {
			packer.packArrayHeader(list.length);
			for (int each : list) {
				packer.packInt(each);
			}
		}
	}

	private static void pack(MessagePacker packer, RankReport report) throws IOException {
		RankStatus status = report.status();
		packer.packString(status.group())
			.packLong(status.epoch())
			.packInt(status.rank())
			.packInt(status.size())
			.packBoolean(status.open())
			.packLong(status.step())
			.packLong(status.map())
			.packLong(status.prepared().orElse(NONE))
			.packLong(status.armed().map(RankStatus.Armed::version).orElse((long) NONE))
			.packLong(status.armed().map(RankStatus.Armed::step).orElse((long) NONE))
			.packLong(status.held().orElse(NONE));
		packer.packArrayHeader(report.counts().length);
		for (long count : report.counts()) {
			packer.packLong(count);
		}
		pack(packer, report.experts());
	}

	static Message decode(byte[] bytes) {
		try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
			int type = unpacker.unpackByte();
			long id = unpacker.unpackLong();
			return switch (type) {
				case 1 -> new AskReport(id, unpacker.unpackBoolean());
				case 2 -> new GiveOrder(id, unpacker.unpackLong(), unpacker.unpackLong(), order(unpacker));
				case 3 -> new Report(id, unpacker.unpackBoolean() ? Optional.of(report(unpacker)) : Optional.empty());
				case 4 -> new Ordered(id, OrderResult.values()[unpacker.unpackInt()]);
				default -> throw new IllegalArgumentException("a peer sent a message of type " + type);
			};
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	private static RankOrder order(MessageUnpacker unpacker) throws IOException {
		int type = unpacker.unpackByte();
		long first = unpacker.unpackLong();
		return switch (type) {
			case 1 -> new RankOrder.Prepare(first, sets(unpacker));
			case 2 -> new RankOrder.Arm(first, unpacker.unpackLong());
			case 3 -> new RankOrder.Disarm(first);
			case 4 -> new RankOrder.Hold(first);
			case 5 -> new RankOrder.Go(first);
			default -> throw new IllegalArgumentException("a peer sent an order of type " + type);
		};
	}

	private static int[][][] sets(MessageUnpacker unpacker) throws IOException {
		int[][][] sets = new int[unpacker.unpackArrayHeader()][][];
		for (int set = 0; set < sets.length; set++) {
			sets[set] = lists(unpacker);
		}
		return sets;
	}

	private static int[][] lists(MessageUnpacker unpacker) throws IOException {
		int[][] lists = new int[unpacker.unpackArrayHeader()][];
		for (int list = 0; list < lists.length; list++) {
			lists[list] = new int[unpacker.unpackArrayHeader()];
			for (int index = 0; index < lists[list].length; index++) {
				lists[list][index] = unpacker.unpackInt();
			}
		}
		return lists;
	}

	private static RankReport report(MessageUnpacker unpacker) throws IOException {
		String group = unpacker.unpackString();
		long epoch = unpacker.unpackLong();
		int rank = unpacker.unpackInt();
		int size = unpacker.unpackInt();
		boolean open = unpacker.unpackBoolean();
		long step = unpacker.unpackLong();
		long map = unpacker.unpackLong();
		OptionalLong prepared = optional(unpacker.unpackLong());
		long armedVersion = unpacker.unpackLong();
		long armedStep = unpacker.unpackLong();
		OptionalLong held = optional(unpacker.unpackLong());
		Optional<RankStatus.Armed> armed = (armedVersion == NONE) ? Optional.empty()
				: Optional.of(new RankStatus.Armed(armedVersion, armedStep));
		long[] counts = new long[unpacker.unpackArrayHeader()];
		for (int index = 0; index < counts.length; index++) {
			counts[index] = unpacker.unpackLong();
		}
		RankStatus status = new RankStatus(group, epoch, rank, size, open, step, map, prepared, armed, held);
		return new RankReport(status, counts, lists(unpacker));
	}

	private static OptionalLong optional(long value) {
		return (value == NONE) ? OptionalLong.empty() : OptionalLong.of(value);
	}

}
