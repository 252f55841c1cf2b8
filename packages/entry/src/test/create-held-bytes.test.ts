/** Guards against a host that holds more of its messages than its machine has room for, or that forgets room that was given back. */
import test from 'ava';
import fc from 'fast-check';
import {createHeldBytes} from '../lib/held-bytes/create-held-bytes.js';
import {createHold} from '../lib/held-bytes/create-hold.js';
import {planMaxHeldBytes} from '../lib/held-bytes/plan-max-held-bytes.js';

const noCounter = {increment: () => undefined, recordMax: () => undefined};

test('messages of any sizes never take more than the bound, and all of it is free once they are released', t => {
	const step = fc.record({message: fc.nat(4), bytes: fc.nat(60), releases: fc.boolean()});
	fc.assert(fc.property(fc.array(step), steps => {
		const heldBytes = createHeldBytes(100, noCounter);
		const holds = Array.from({length: 5}, () => createHold(heldBytes));
		const sum = (): number => holds.reduce((bytes, hold) => bytes + hold.bytes(), 0);
		const isRight = steps.every(({message, bytes, releases}) => {
			const before = sum();
			const hold = holds[message]!;
			if (releases) {
				hold.release();
				return hold.bytes() === 0 && heldBytes.heldBytes() === sum();
			}

			const isHeld = hold.tryAdd(bytes);
			return isHeld === (bytes === 0 || before + bytes <= 100) && sum() === before + (isHeld ? bytes : 0) && heldBytes.heldBytes() === sum();
		});
		for (const hold of holds) {
			hold.release();
			hold.release();
		}

		return isRight && heldBytes.heldBytes() === 0;
	}));
	t.pass();
});

test('a message that found no room may be held once another one is released', t => {
	const heldBytes = createHeldBytes(10, noCounter);
	const [first, second] = [createHold(heldBytes), createHold(heldBytes)];
	t.true(first.tryAdd(8));
	t.false(second.tryAdd(3));
	t.is(second.bytes(), 0);
	first.release();
	t.true(second.tryAdd(3));
	t.is(heldBytes.heldBytes(), 3);
});

test('the bound is a part of the memory of the machine, for one of any size', t => {
	fc.assert(fc.property(fc.integer({min: 1, max: 1_000_000}), memoryMb => {
		const maxBytes = planMaxHeldBytes(memoryMb);
		return maxBytes > 0 && maxBytes <= memoryMb * 100_000 && maxBytes <= 32_000_000;
	}));
	t.true(planMaxHeldBytes(0) > 0);
});
