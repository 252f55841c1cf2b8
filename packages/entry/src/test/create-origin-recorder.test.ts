/** Guards against origins of streams that the store lacks after the death of all hosts, and against writes that the store need not take. */
import {setImmediate as nextTurn} from 'node:timers/promises';
import test from 'ava';
import {createOriginRecorder} from '../lib/stream-origins/stored/create-origin-recorder.js';
import type {KeptOrigin} from '../lib/stream-origins/kept-origin.js';
import {createFaultyOriginStore, type FaultyOriginStore} from './lib/create-faulty-origin-store.js';
import {createManualClock} from './lib/create-manual-clock.js';

const intervalMs = 1000;

/** Longer than any delay between two failed writes, in ms. */
const afterRetryMs = 1000;

const startRecorder = (faulty: FaultyOriginStore = createFaultyOriginStore(), host = 'h') => {
	const clock = createManualClock();
	const recorder = createOriginRecorder({
		host, store: faulty.store, nameVersions: async () => true, onDropped: () => undefined, intervalMs: () => intervalMs, schedule: clock.schedule, now: clock.now,
	});
	const kept = (key: string, attempt: number, keepMs: number): KeptOrigin => ({
		key, origin: {service: 's', version: 'v2', attempt}, keepUntil: clock.now() + keepMs, notedAt: clock.now(),
	});
	const keepAndWrite = async (origin: KeptOrigin): Promise<boolean> => {
		recorder.keep(origin);
		return recorder.write();
	};

	/** Advances the clock, and waits until the calls that this brings about have come back. */
	const pass = async (ms: number): Promise<void> => {
		clock.advance(ms);
		await nextTurn();
	};

	/** Records an origin, and waits until the store has it or does not respond. */
	const record = async (key: string, {attempt = 1, keepMs = 60_000} = {}): Promise<boolean> => {
		const recorded = keepAndWrite(kept(key, attempt, keepMs));
		await pass(intervalMs);
		return recorded;
	};

	return {
		...faulty,
		recorder,
		kept,
		pass,
		record,
		/** Records an origin, and lets no time pass. */
		recordNow: async (key: string, {attempt = 1, keepMs = 60_000} = {}) => keepAndWrite(kept(key, attempt, keepMs)),
		/** What the store has of the host. */
		inStore: async () => (await faulty.memory.readOrigins(host))!.origins,
		keysInStore: async () => (await faulty.memory.readOrigins(host))!.origins.map(({key}) => key).sort(),
	};
};

test('streams of an earlier life of a host are lost when it writes its own', async t => {
	const before = startRecorder();
	await before.record('a');
	await before.record('b');
	before.recorder.close();
	const after = startRecorder(createFaultyOriginStore(before.memory));
	t.true(await after.record('c'));
	t.deepEqual(await after.keysInStore(), ['a', 'b', 'c']);
});

test('a host drops the streams of another host', async t => {
	const one = startRecorder();
	await one.record('a');
	const other = startRecorder(createFaultyOriginStore(one.memory), 'other');
	await other.record('b');
	t.deepEqual(await one.keysInStore(), ['a']);
	t.deepEqual(await other.keysInStore(), ['b']);
});

test('an origin reaches the store with another version, attempt or time to live', async t => {
	const {recordNow, pass, inStore} = startRecorder();
	const recorded = recordNow('a', {attempt: 3, keepMs: 5000});
	await pass(0);
	t.true(await recorded);
	t.deepEqual(await inStore(), [{
		key: 'a', service: 's', version: 'v2', attempt: 3, keepMs: 5000,
	}]);
});

test('a host counts an origin as stored before the store has it', async t => {
	const {recordNow, pass, hold, keysInStore} = startRecorder();
	const release = hold();
	let isSettled = false;
	const recorded = (async () => {
		const isRecorded = await recordNow('a');
		isSettled = true;
		return isRecorded;
	})();
	await pass(intervalMs);
	t.false(isSettled);
	release();
	t.true(await recorded);
	t.deepEqual(await keysInStore(), ['a']);
});

test('a write whose answer is lost loses or doubles streams', async t => {
	const {record, loseNextAnswer, pass, keysInStore} = startRecorder();
	await record('a');
	loseNextAnswer();
	t.false(await record('b'));
	await pass(afterRetryMs);
	t.true(await record('c'));
	t.deepEqual(await keysInStore(), ['a', 'b', 'c']);
});

test('a write whose answer is lost keeps all later ones from the store', async t => {
	const {record, loseNextAnswer, pass, recorder} = startRecorder();
	loseNextAnswer();
	t.false(await record('a'));
	t.true(recorder.isAway());
	await pass(afterRetryMs);
	t.false(recorder.isAway());
});

test('callers wait for a store that does not respond', async t => {
	const {memory, record, recordNow, hold, recorder} = startRecorder();
	memory.faults.isDown = true;
	t.false(await record('a'));
	t.true(recorder.isAway());
	hold();
	// Nothing is advanced, and no call comes back.
	t.false(await recordNow('b'));
});

test('callers that came during a write wait on after it has failed', async t => {
	const {memory, recordNow, pass, hold} = startRecorder();
	const release = hold();
	const first = recordNow('a');
	await pass(0);
	const during = recordNow('b');
	memory.faults.isDown = true;
	release();
	t.deepEqual(await Promise.all([first, during]), [false, false]);
});

test('streams that began while the store did not respond are not stored once it responds, or callers are still told that it does not', async t => {
	const {memory, record, recordNow, pass, keysInStore, recorder} = startRecorder();
	memory.faults.isDown = true;
	await record('a');
	t.false(await recordNow('b'));
	memory.faults.isDown = false;
	await pass(afterRetryMs);
	t.deepEqual(await keysInStore(), ['a', 'b']);
	t.false(recorder.isAway());
	t.true(await record('c'));
});

test('a host gives up on a store that does not respond, or calls it without a delay', async t => {
	const {memory, record, pass} = startRecorder();
	memory.faults.isDown = true;
	await record('a');
	for (let second = 0; second < 10; second++) {
		await pass(afterRetryMs);
	}

	const before = memory.calls();
	for (let second = 0; second < 10; second++) {
		await pass(afterRetryMs);
	}

	t.is(memory.calls() - before, 10);
});

test('a host writes more than once an interval', async t => {
	const {recordNow, pass, writes} = startRecorder();
	const recorded = [recordNow('a')];
	await pass(0);
	t.is(writes().length, 1);
	for (let index = 0; index < 9; index++) {
		recorded.push(recordNow(`b${index}`));
		await pass(intervalMs / 10);
	}

	await pass((intervalMs / 10) - 1);
	t.is(writes().length, 1);
	await pass(1);
	t.is(writes().length, 2);
	const areRecorded = await Promise.all(recorded);
	t.true(areRecorded.every(Boolean));
	await pass(10 * intervalMs);
	t.is(writes().length, 2);
});

test('two writes of a host are under way at once', async t => {
	const {recordNow, pass, hold, writes} = startRecorder();
	const first = recordNow('a');
	await pass(0);
	await first;
	const release = hold();
	const second = recordNow('b');
	await pass(intervalMs);
	const third = recordNow('c');
	await pass(10 * intervalMs);
	t.is(writes().length, 2);
	release();
	t.true(await second);
	await pass(intervalMs);
	t.true(await third);
	t.is(writes().length, 3);
});

test('a stream that has ended is written on', async t => {
	const {record, recorder, keysInStore} = startRecorder();
	await record('a');
	t.true(recorder.has('a'));
	recorder.end('a');
	t.false(recorder.has('a'));
	await record('b');
	t.deepEqual(await keysInStore(), ['b']);
});

test('a stream that nobody can take up any more is written on', async t => {
	const {record, pass, recorder, keysInStore} = startRecorder();
	await record('a', {keepMs: 5000});
	await pass(5001);
	t.false(recorder.has('a'));
	await record('b');
	t.deepEqual(await keysInStore(), ['b']);
});

test('a stream of an earlier life is written on after nobody can take it up any more', async t => {
	const before = startRecorder();
	await before.record('a', {keepMs: 5000});
	const after = startRecorder(createFaultyOriginStore(before.memory));
	await after.record('b');
	t.deepEqual(await after.keysInStore(), ['a', 'b']);
	await after.pass(5001);
	await after.record('c');
	t.deepEqual(await after.keysInStore(), ['b', 'c']);
});

test('what a host kept is not written again after the store was restored from an older copy', async t => {
	const {record, memory, recorder, pass, keysInStore} = startRecorder();
	await record('a');
	const copy = memory.copy();
	await record('b');
	memory.restore(copy);
	t.deepEqual(await keysInStore(), ['a']);
	recorder.noteRestored();
	await pass(intervalMs);
	t.deepEqual(await keysInStore(), ['a', 'b']);
	t.true(await record('c'));
});

test('a store that was restored while it did not respond is not written again', async t => {
	const {record, memory, recorder, pass, keysInStore} = startRecorder();
	const copy = memory.copy();
	await record('a');
	memory.faults.isDown = true;
	await record('b');
	memory.restore(copy);
	memory.faults.isDown = false;
	recorder.noteRestored();
	await pass(afterRetryMs);
	t.deepEqual(await keysInStore(), ['a', 'b']);
});

test('a later attempt of a stream is replaced by an earlier one of the store', async t => {
	const before = startRecorder();
	await before.record('a', {attempt: 1});
	const after = startRecorder(createFaultyOriginStore(before.memory));
	await after.record('a', {attempt: 2});
	const stored = await after.inStore();
	t.deepEqual(stored.map(({key, attempt}) => [key, attempt]), [['a', 2]]);
});

test('a later attempt that the store has is replaced by an earlier one', async t => {
	const before = startRecorder();
	await before.record('a', {attempt: 3});
	const after = startRecorder(createFaultyOriginStore(before.memory));
	await after.record('a', {attempt: 2});
	const stored = await after.inStore();
	t.deepEqual(stored.map(({key, attempt}) => [key, attempt]), [['a', 3]]);
});

test('an earlier attempt that is sent late replaces a later one', async t => {
	const {record, inStore} = startRecorder();
	await record('a', {attempt: 2});
	await record('a', {attempt: 1});
	const stored = await inStore();
	t.deepEqual(stored.map(({key, attempt}) => [key, attempt]), [['a', 2]]);
});

test('an origin that the store need not have is written, or takes that of a later attempt with it', async t => {
	const {recorder, kept, record, keysInStore} = startRecorder();
	recorder.keep(kept('a', 1, 60_000));
	recorder.drop(kept('a', 1, 60_000));
	t.false(recorder.has('a'));
	recorder.keep(kept('b', 2, 60_000));
	recorder.drop(kept('b', 1, 60_000));
	t.true(recorder.has('b'));
	await record('c');
	t.deepEqual(await keysInStore(), ['b', 'c']);
});

test('an origin is written before a caller asks for it', async t => {
	const {recorder, kept, pass, writes} = startRecorder();
	recorder.keep(kept('a', 1, 60_000));
	await pass(10 * intervalMs);
	t.is(writes().length, 0);
});

test('a host that has closed writes what comes after, or keeps its caller waiting', async t => {
	const {record, recordNow, pass, recorder, writes} = startRecorder();
	await record('a');
	recorder.close();
	t.false(await recordNow('b'));
	recorder.noteRestored();
	await pass(10 * intervalMs);
	t.is(writes().length, 1);
});

test('a host that has closed writes what came before', async t => {
	const {record, recordNow, pass, recorder, writes} = startRecorder();
	await record('a');
	const during = recordNow('b');
	const last = recordNow('c');
	recorder.close();
	t.deepEqual(await Promise.all([during, last]), [false, false]);
	await pass(10 * intervalMs);
	t.is(writes().length, 1);
});

test('a host that has closed tries a failed write again', async t => {
	const {memory, record, pass, recorder} = startRecorder();
	memory.faults.isDown = true;
	await record('a');
	recorder.close();
	const before = memory.calls();
	await pass(10 * intervalMs);
	t.is(memory.calls(), before);
});

test('a stream that nobody can take up any more is written on after the store was restored', async t => {
	const {record, recorder, pass, keysInStore} = startRecorder();
	await record('a', {keepMs: 5000});
	await pass(5001);
	recorder.noteRestored();
	await pass(intervalMs);
	t.deepEqual(await keysInStore(), []);
});

test('a stream that has ended is written on after the answer to a write was lost', async t => {
	const {record, loseNextAnswer, recorder, pass, keysInStore} = startRecorder();
	await record('a');
	recorder.end('a');
	loseNextAnswer();
	await record('b');
	recorder.end('b');
	await pass(afterRetryMs);
	await record('c');
	t.deepEqual(await keysInStore(), ['c']);
});
