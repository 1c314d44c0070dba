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
 * Encodes and decodes the messages between the sidecars of the ranks as MessagePack. Type
 * numbers, the order of fields and the ordinals of enums are part of the wire format.
 */
final class PeerCodec {

	private static final int NONE = -1;

	private static final byte REPORT_REQUEST = 1;

	private static final byte ORDER_REQUEST = 2;

	private static final byte REPORT_RESPONSE = 3;

	private static final byte ORDER_RESPONSE = 4;

	private static final byte PREPARE = 1;

	private static final byte ARM = 2;

	private static final byte DISARM = 3;

	private static final byte HOLD = 4;

	private static final byte GO = 5;

	private PeerCodec() {
	}

	static byte[] encode(PeerMessage message) {
		try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
			if (message instanceof PeerMessage.ReportRequest request) {
				packer.packByte(REPORT_REQUEST).packLong(request.id()).packBoolean(request.withCounts());
			}
			else if (message instanceof PeerMessage.OrderRequest request) {
				packer.packByte(ORDER_REQUEST)
					.packLong(request.id())
					.packLong(request.epoch())
					.packLong(request.fence());
				pack(packer, request.order());
			}
			else if (message instanceof PeerMessage.ReportResponse response) {
				packer.packByte(REPORT_RESPONSE).packLong(response.id()).packBoolean(response.report().isPresent());
				if (response.report().isPresent()) {
					pack(packer, response.report().get());
				}
			}
			else if (message instanceof PeerMessage.OrderResponse response) {
				packer.packByte(ORDER_RESPONSE).packLong(response.id()).packInt(response.result().ordinal());
			}
			return packer.toByteArray();
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	private static void pack(MessagePacker packer, RankOrder order) throws IOException {
		if (order instanceof RankOrder.Prepare prepare) {
			packer.packByte(PREPARE).packLong(prepare.version()).packArrayHeader(prepare.experts().length);
			for (int[][] set : prepare.experts()) {
				pack(packer, set);
			}
		}
		else if (order instanceof RankOrder.Arm arm) {
			packer.packByte(ARM).packLong(arm.version()).packLong(arm.step());
		}
		else if (order instanceof RankOrder.Disarm disarm) {
			packer.packByte(DISARM).packLong(disarm.version());
		}
		else if (order instanceof RankOrder.Hold hold) {
			packer.packByte(HOLD).packLong(hold.step());
		}
		else if (order instanceof RankOrder.Go go) {
			packer.packByte(GO).packLong(go.step());
		}
	}

	private static void pack(MessagePacker packer, int[][] lists) throws IOException {
		packer.packArrayHeader(lists.length);
		for (int[] list : lists) {
			packer.packArrayHeader(list.length);
			for (int element : list) {
				packer.packInt(element);
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
			.packInt(status.running())
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

	static PeerMessage decode(byte[] bytes) {
		try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
			int type = unpacker.unpackByte();
			long id = unpacker.unpackLong();
			return switch (type) {
				case REPORT_REQUEST -> new PeerMessage.ReportRequest(id, unpacker.unpackBoolean());
				case ORDER_REQUEST -> new PeerMessage.OrderRequest(id, unpacker.unpackLong(), unpacker.unpackLong(),
						unpackOrder(unpacker));
				case REPORT_RESPONSE -> new PeerMessage.ReportResponse(id,
						unpacker.unpackBoolean() ? Optional.of(unpackReport(unpacker)) : Optional.empty());
				case ORDER_RESPONSE -> new PeerMessage.OrderResponse(id, OrderResult.values()[unpacker.unpackInt()]);
				default -> throw new IllegalArgumentException("unknown peer message type: " + type);
			};
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	private static RankOrder unpackOrder(MessageUnpacker unpacker) throws IOException {
		int type = unpacker.unpackByte();
		long versionOrStep = unpacker.unpackLong();
		return switch (type) {
			case PREPARE -> new RankOrder.Prepare(versionOrStep, unpackSets(unpacker));
			case ARM -> new RankOrder.Arm(versionOrStep, unpacker.unpackLong());
			case DISARM -> new RankOrder.Disarm(versionOrStep);
			case HOLD -> new RankOrder.Hold(versionOrStep);
			case GO -> new RankOrder.Go(versionOrStep);
			default -> throw new IllegalArgumentException("unknown order type: " + type);
		};
	}

	private static int[][][] unpackSets(MessageUnpacker unpacker) throws IOException {
		int[][][] sets = new int[unpacker.unpackArrayHeader()][][];
		for (int set = 0; set < sets.length; set++) {
			sets[set] = unpackLists(unpacker);
		}
		return sets;
	}

	private static int[][] unpackLists(MessageUnpacker unpacker) throws IOException {
		int[][] lists = new int[unpacker.unpackArrayHeader()][];
		for (int list = 0; list < lists.length; list++) {
			lists[list] = new int[unpacker.unpackArrayHeader()];
			for (int index = 0; index < lists[list].length; index++) {
				lists[list][index] = unpacker.unpackInt();
			}
		}
		return lists;
	}

	private static RankReport unpackReport(MessageUnpacker unpacker) throws IOException {
		String group = unpacker.unpackString();
		long epoch = unpacker.unpackLong();
		int rank = unpacker.unpackInt();
		int size = unpacker.unpackInt();
		boolean open = unpacker.unpackBoolean();
		int running = unpacker.unpackInt();
		long step = unpacker.unpackLong();
		long map = unpacker.unpackLong();
		OptionalLong prepared = toOptional(unpacker.unpackLong());
		long armedVersion = unpacker.unpackLong();
		long armedStep = unpacker.unpackLong();
		OptionalLong held = toOptional(unpacker.unpackLong());
		Optional<RankStatus.Armed> armed = (armedVersion == NONE) ? Optional.empty()
				: Optional.of(new RankStatus.Armed(armedVersion, armedStep));
		long[] counts = new long[unpacker.unpackArrayHeader()];
		for (int index = 0; index < counts.length; index++) {
			counts[index] = unpacker.unpackLong();
		}
		RankStatus status = new RankStatus(group, epoch, rank, size, open, running, step, map, prepared, armed, held);
		return new RankReport(status, counts, unpackLists(unpacker));
	}

	private static OptionalLong toOptional(long value) {
		return (value == NONE) ? OptionalLong.empty() : OptionalLong.of(value);
	}

}
