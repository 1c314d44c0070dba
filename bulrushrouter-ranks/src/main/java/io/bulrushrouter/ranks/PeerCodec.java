package io.bulrushrouter.ranks;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

import io.bulrushrouter.experts.live.OrderResult;
import io.bulrushrouter.experts.live.RankStatus;

/**
 * Encodes and decodes the messages between the sidecars of the ranks as MessagePack. Type
 * numbers, the order of fields and the ordinals of enums are part of the wire format.
 */
final class PeerCodec {

	private static final int NONE = -1;

	// Types 1 to 4 are those of an earlier format, whose sidecars lead and follow only
	// each other.
	private static final byte STATUS_REQUEST = 5;

	private static final byte CHOICES_REQUEST = 6;

	private static final byte ORDER_REQUEST = 7;

	private static final byte STATUS_RESPONSE = 8;

	private static final byte CHOICES_RESPONSE = 9;

	private static final byte ORDER_RESPONSE = 10;

	private PeerCodec() {
	}

	static byte[] encode(PeerMessage message) {
		try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
			if (message instanceof PeerMessage.StatusRequest request) {
				packer.packByte(STATUS_REQUEST)
					.packLong(request.id())
					.packLong(request.knownEpoch())
					.packLong(request.knownMap());
			}
			else if (message instanceof PeerMessage.ChoicesRequest request) {
				packer.packByte(CHOICES_REQUEST).packLong(request.id());
				packAddresses(packer, request.members());
			}
			else if (message instanceof PeerMessage.OrderRequest request) {
				packer.packByte(ORDER_REQUEST)
					.packLong(request.id())
					.packLong(request.epoch())
					.packLong(request.fence());
				byte[] order = request.order().bytes();
				packer.packBinaryHeader(order.length).writePayload(order);
				packAddresses(packer, request.members());
			}
			else if (message instanceof PeerMessage.StatusResponse response) {
				pack(packer, response);
			}
			else if (message instanceof PeerMessage.ChoicesResponse response) {
				pack(packer, response);
			}
			else if (message instanceof PeerMessage.OrderResponse response) {
				packer.packByte(ORDER_RESPONSE).packLong(response.id()).packArrayHeader(response.results().size());
				for (OrderResult result : response.results()) {
					packer.packInt(result.ordinal());
				}
			}
			return packer.toByteArray();
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
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

	private static void packAddresses(MessagePacker packer, List<InetAddress> addresses) throws IOException {
		packer.packArrayHeader(addresses.size());
		for (InetAddress address : addresses) {
			byte[] bytes = address.getAddress();
			packer.packBinaryHeader(bytes.length).writePayload(bytes);
		}
	}

	private static void pack(MessagePacker packer, PeerMessage.StatusResponse response) throws IOException {
		packer.packByte(STATUS_RESPONSE).packLong(response.id()).packBoolean(response.status().isPresent());
		if (response.status().isEmpty()) {
			return;
		}
		RankStatus status = response.status().get();
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
		packer.packBoolean(response.experts().isPresent());
		if (response.experts().isPresent()) {
			pack(packer, response.experts().get());
		}
	}

	private static void pack(MessagePacker packer, PeerMessage.ChoicesResponse response) throws IOException {
		packer.packByte(CHOICES_RESPONSE).packLong(response.id()).packBoolean(response.sample().isPresent());
		if (response.sample().isEmpty()) {
			return;
		}
		EncodedSample sample = response.sample().get();
		packer.packLong(sample.epoch()).packInt(sample.ranks()).packLong(sample.spanMillis());
		packer.packBinaryHeader(sample.choices().length).writePayload(sample.choices());
	}

	static PeerMessage decode(byte[] bytes) {
		try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
			int type = unpacker.unpackByte();
			long id = unpacker.unpackLong();
			return switch (type) {
				case STATUS_REQUEST -> new PeerMessage.StatusRequest(id, unpacker.unpackLong(), unpacker.unpackLong());
				case CHOICES_REQUEST -> new PeerMessage.ChoicesRequest(id, unpackAddresses(unpacker));
				case ORDER_REQUEST -> new PeerMessage.OrderRequest(id, unpacker.unpackLong(), unpacker.unpackLong(),
						new EncodedOrder(unpacker.readPayload(unpacker.unpackBinaryHeader())),
						unpackAddresses(unpacker));
				case STATUS_RESPONSE -> unpackStatus(id, unpacker);
				case CHOICES_RESPONSE -> new PeerMessage.ChoicesResponse(id,
						unpacker.unpackBoolean() ? Optional.of(unpackSample(unpacker)) : Optional.empty());
				case ORDER_RESPONSE -> new PeerMessage.OrderResponse(id, unpackResults(unpacker));
				default -> throw new IllegalArgumentException("unknown peer message type: " + type);
			};
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
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

	private static List<InetAddress> unpackAddresses(MessageUnpacker unpacker) throws IOException {
		List<InetAddress> addresses = new ArrayList<>();
		for (int left = unpacker.unpackArrayHeader(); left > 0; left--) {
			addresses.add(InetAddress.getByAddress(unpacker.readPayload(unpacker.unpackBinaryHeader())));
		}
		return addresses;
	}

	private static List<OrderResult> unpackResults(MessageUnpacker unpacker) throws IOException {
		List<OrderResult> results = new ArrayList<>();
		for (int left = unpacker.unpackArrayHeader(); left > 0; left--) {
			results.add(OrderResult.values()[unpacker.unpackInt()]);
		}
		return results;
	}

	private static EncodedSample unpackSample(MessageUnpacker unpacker) throws IOException {
		return new EncodedSample(unpacker.unpackLong(), unpacker.unpackInt(), unpacker.unpackLong(),
				unpacker.readPayload(unpacker.unpackBinaryHeader()));
	}

	private static PeerMessage.StatusResponse unpackStatus(long id, MessageUnpacker unpacker) throws IOException {
		if (!unpacker.unpackBoolean()) {
			return new PeerMessage.StatusResponse(id, Optional.empty(), Optional.empty());
		}
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
		RankStatus status = new RankStatus(group, epoch, rank, size, open, running, step, map, prepared, armed, held);
		Optional<int[][]> experts = unpacker.unpackBoolean() ? Optional.of(unpackLists(unpacker)) : Optional.empty();
		return new PeerMessage.StatusResponse(id, Optional.of(status), experts);
	}

	private static OptionalLong toOptional(long value) {
		return (value == NONE) ? OptionalLong.empty() : OptionalLong.of(value);
	}

}
