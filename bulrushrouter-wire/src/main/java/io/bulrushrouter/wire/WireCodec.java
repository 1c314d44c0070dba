package io.bulrushrouter.wire;

import java.io.IOException;
import java.util.Optional;

import io.netty.buffer.ByteBuf;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

import io.bulrushrouter.kernel.AttemptId;
import io.bulrushrouter.kernel.BulrushException;
import io.bulrushrouter.kernel.ErrorCode;
import io.bulrushrouter.kernel.ModelId;
import io.bulrushrouter.kernel.OrganisationId;
import io.bulrushrouter.kernel.Priority;
import io.bulrushrouter.kernel.RequestId;
import io.bulrushrouter.request.CallKind;
import io.bulrushrouter.request.CallMessage;
import io.bulrushrouter.request.RequestSpec;

/**
 * Encodes messages as MessagePack frames and decodes them. A frame holds a type number
 * followed by the fields of the message in a fixed order. Type numbers, the order of
 * fields and the names of enum constants are part of the protocol. This class is not
 * thread-safe.
 */
final class WireCodec {

	private static final int HELLO = 0;

	private static final int CONTROL = 1;

	private static final int CALL = 2;

	private static final int CANCEL = 3;

	private static final int HEAD = 4;

	private static final int DATA = 5;

	private static final int END = 6;

	private static final int NOT_RUN = 7;

	private static final int FAILED = 8;

	private final MessageBufferPacker packer = MessagePack.newDefaultBufferPacker();

	void encode(WireMessage message, ByteBuf out) {
		this.packer.clear();
		try {
			pack(this.packer, message);
			this.packer.flush();
			byte[] bytes = this.packer.toByteArray();
			out.writeInt(bytes.length);
			out.writeBytes(bytes);
		}
		catch (IOException ex) {
			throw new BulrushException(ErrorCode.INTERNAL, "cannot encode " + message, ex);
		}
	}

	WireMessage decode(byte[] frame) {
		try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(frame)) {
			return unpack(unpacker);
		}
		catch (IOException | RuntimeException ex) {
			throw new BulrushException(ErrorCode.BAD_REQUEST, "malformed frame", ex);
		}
	}

	private static void pack(MessagePacker packer, WireMessage message) throws IOException {
		if (message instanceof WireMessage.CallEnvelope call) {
			packCall(packer, call.message());
		}
		else if (message instanceof WireMessage.Control control) {
			packer.packInt(CONTROL).packString(control.topic());
			packBytes(packer, control.payload());
		}
		else if (message instanceof WireMessage.Hello hello) {
			packer.packInt(HELLO)
				.packString(hello.instance())
				.packString(hello.name())
				.packString(hello.role())
				.packString(hello.dataCentre());
			packer.packLong(hello.incarnation());
		}
	}

	private static void packCall(MessagePacker packer, CallMessage message) throws IOException {
		if (message instanceof CallMessage.Data data) {
			packCallHeader(packer, DATA, data.attempt()).packInt(data.sequence()).packInt(data.tokens());
			packBytes(packer, data.bytes());
		}
		else if (message instanceof CallMessage.Call call) {
			packCallHeader(packer, CALL, call.attempt()).packLong(call.remainingMillis())
				.packInt(call.resumeAfterTokens());
			packSpec(packer, call.spec());
		}
		else if (message instanceof CallMessage.Cancel cancel) {
			packCallHeader(packer, CANCEL, cancel.attempt());
		}
		else if (message instanceof CallMessage.Head head) {
			packCallHeader(packer, HEAD, head.attempt()).packInt(head.sequence()).packInt(head.status());
			packer.packString(head.contentType()).packString(head.modelVersion());
		}
		else if (message instanceof CallMessage.End end) {
			packCallHeader(packer, END, end.attempt()).packInt(end.sequence()).packLong(end.totalBytes());
		}
		else if (message instanceof CallMessage.NotRun notRun) {
			packCallHeader(packer, NOT_RUN, notRun.attempt()).packString(notRun.code().name());
			packer.packLong(notRun.retryAfterMillis());
		}
		else if (message instanceof CallMessage.Failed failed) {
			packCallHeader(packer, FAILED, failed.attempt()).packString(failed.code().name());
		}
	}

	private static MessagePacker packCallHeader(MessagePacker packer, int type, AttemptId attempt) throws IOException {
		return packer.packInt(type)
			.packLong(attempt.request().incarnation())
			.packLong(attempt.request().number())
			.packInt(attempt.attempt());
	}

	private static void packSpec(MessagePacker packer, RequestSpec spec) throws IOException {
		packer.packString(spec.organisation().value()).packString(spec.model().value());
		packer.packString(spec.kind().name()).packString(spec.method()).packString(spec.path());
		packBytes(packer, spec.body());
		packer.packString(spec.priority().name()).packBoolean(spec.idempotent());
		packer.packString(spec.idempotencyKey().orElse("")).packBoolean(spec.stream());
		packer.packLong(spec.digest()).packLong(spec.prefixDigest()).packInt(spec.promptTokens());
	}

	private static void packBytes(MessagePacker packer, byte[] bytes) throws IOException {
		packer.packBinaryHeader(bytes.length).writePayload(bytes);
	}

	private static WireMessage unpack(MessageUnpacker unpacker) throws IOException {
		int type = unpacker.unpackInt();
		return switch (type) {
			case HELLO -> new WireMessage.Hello(unpacker.unpackString(), unpacker.unpackString(),
					unpacker.unpackString(), unpacker.unpackString(), unpacker.unpackLong());
			case CONTROL -> new WireMessage.Control(unpacker.unpackString(), unpackBytes(unpacker));
			default -> new WireMessage.CallEnvelope(unpackCall(unpacker, type));
		};
	}

	private static CallMessage unpackCall(MessageUnpacker unpacker, int type) throws IOException {
		AttemptId attempt = new RequestId(unpacker.unpackLong(), unpacker.unpackLong()).attempt(unpacker.unpackInt());
		return switch (type) {
			case DATA -> unpackData(unpacker, attempt);
			case CALL -> unpackCallBody(unpacker, attempt);
			case CANCEL -> new CallMessage.Cancel(attempt);
			case HEAD -> new CallMessage.Head(attempt, unpacker.unpackInt(), unpacker.unpackInt(),
					unpacker.unpackString(), unpacker.unpackString());
			case END -> new CallMessage.End(attempt, unpacker.unpackInt(), unpacker.unpackLong());
			case NOT_RUN -> new CallMessage.NotRun(attempt, unpackCode(unpacker), unpacker.unpackLong());
			case FAILED -> new CallMessage.Failed(attempt, unpackCode(unpacker));
			default -> throw new BulrushException(ErrorCode.BAD_REQUEST, "unknown frame type: " + type);
		};
	}

	private static CallMessage unpackData(MessageUnpacker unpacker, AttemptId attempt) throws IOException {
		int sequence = unpacker.unpackInt();
		int tokens = unpacker.unpackInt();
		return new CallMessage.Data(attempt, sequence, unpackBytes(unpacker), tokens);
	}

	private static CallMessage unpackCallBody(MessageUnpacker unpacker, AttemptId attempt) throws IOException {
		long remainingMillis = unpacker.unpackLong();
		int resumeAfterTokens = unpacker.unpackInt();
		return new CallMessage.Call(attempt, unpackSpec(unpacker), remainingMillis, resumeAfterTokens);
	}

	private static RequestSpec unpackSpec(MessageUnpacker unpacker) throws IOException {
		return RequestSpec.builder()
			.organisation(OrganisationId.of(unpacker.unpackString()))
			.model(ModelId.of(unpacker.unpackString()))
			.kind(CallKind.valueOf(unpacker.unpackString()))
			.method(unpacker.unpackString())
			.path(unpacker.unpackString())
			.body(unpackBytes(unpacker))
			.priority(Priority.valueOf(unpacker.unpackString()))
			.idempotent(unpacker.unpackBoolean())
			.idempotencyKey(Optional.of(unpacker.unpackString()).filter((key) -> !key.isEmpty()))
			.stream(unpacker.unpackBoolean())
			.digest(unpacker.unpackLong())
			.prefixDigest(unpacker.unpackLong())
			.promptTokens(unpacker.unpackInt())
			.build();
	}

	private static ErrorCode unpackCode(MessageUnpacker unpacker) throws IOException {
		return ErrorCode.valueOf(unpacker.unpackString());
	}

	private static byte[] unpackBytes(MessageUnpacker unpacker) throws IOException {
		return unpacker.readPayload(unpacker.unpackBinaryHeader());
	}

}
