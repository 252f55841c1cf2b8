/** Guards against a host that refuses small bodies for what callers of large ones send, that holds more than its room, or that forgets room that was given back. */
import test from 'ava';
import fc from 'fast-check';
import {createBodyRoom} from '../lib/held-bytes/create-body-room.js';
import {createHeldBytes} from '../lib/held-bytes/create-held-bytes.js';

const noCounter = {increment: () => undefined, recordMax: () => undefined};

/** The size up to which bodies are small, in bytes. */
const smallBytes = 65_536;

const maxBytes = 10 * smallBytes;

const createRoom = () => {
	const small = createHeldBytes(maxBytes, noCounter);
	const large = createHeldBytes(maxBytes, noCounter);
	return {room: createBodyRoom(small, large), small, large};
};

test('bodies of any sizes never take more than the rooms, but for one large body alone, and all of it is free once they are released', t => {
	const step = fc.record({message: fc.nat(7), bytes: fc.integer({min: 1, max: 2 * smallBytes}), releases: fc.boolean()});
	fc.assert(fc.property(fc.array(step, {maxLength: 60}), steps => {
		const {room, small, large} = createRoom();
		const holds = Array.from({length: 8}, () => room.hold());
		const isRight = steps.every(({message, bytes, releases}) => {
			const hold = holds[message]!;
			const before = hold.bytes();
			if (releases) {
				hold.release();
				return hold.bytes() === 0;
			}

			const isHeld = hold.tryAdd(bytes);
			const sizes = holds.map(held => held.bytes());
			const largeSizes = sizes.filter(size => size > smallBytes);
			const sum = (list: readonly number[]): number => list.reduce((total, size) => total + size, 0);
			const isSmallRight = sum(sizes.filter(size => size <= smallBytes)) === small.heldBytes() && small.heldBytes() <= maxBytes;
			// What one body took alone stays its own when others come.
			const isLargeRight = large.heldBytes() <= maxBytes && large.heldBytes() <= sum(largeSizes);
			return hold.bytes() === before + (isHeld ? bytes : 0) && isSmallRight && isLargeRight;
		});
		for (const hold of holds) {
			hold.release();
			hold.release();
		}

		return isRight && small.heldBytes() === 0 && large.heldBytes() === 0;
	}));
	t.pass();
});

test('a small body is refused where large ones fill their room', t => {
	const {room} = createRoom();
	const [alone, ...others] = Array.from({length: 4}, () => room.hold());
	t.true(alone!.tryAdd(2 * maxBytes));
	for (const hold of others) {
		t.true(hold.tryAdd(smallBytes));
		t.false(hold.tryAdd(maxBytes));
	}

	t.true(room.hold().tryAdd(smallBytes));
});

test('of two large bodies that together have no room both are refused', t => {
	const {room} = createRoom();
	const [first, second] = [room.hold(), room.hold()];
	t.true(first.tryAdd(maxBytes / 2));
	t.true(second.tryAdd(maxBytes / 2));
	t.false(second.tryAdd(1));
	second.release();
	t.true(first.tryAdd(maxBytes / 2));
	t.true(first.tryAdd(maxBytes));
	t.false(second.tryAdd(maxBytes));
	first.release();
	t.true(second.tryAdd(maxBytes));
});
