/** Guards against hosts that do nothing else for many seconds while they hold a stream back whose endpoint sends few bytes a chunk. */
import {Buffer} from 'node:buffer';
import test from 'ava';
import {createIntake} from '../lib/relaying/create-intake.js';

/** More than a host holds of chunks that have next to no bytes; far fewer than its bound in bytes allows. */
const maxChunks = 2000;

const startIntake = (ready: Promise<void>) => {
	const state = {isPaused: false, relayed: 0};
	const intake = createIntake(ready, {
		pause() {
			state.isPaused = true;
		},
		resume() {
			state.isPaused = false;
		},
		pauseUntilDrain: () => undefined,
		release: () => undefined,
	}, chunk => {
		state.relayed += chunk.length;
	});
	return {intake, state};
};

test('a host goes on reading a stream that it holds back, however many chunks come', async t => {
	let open: (() => void) | undefined;
	const {intake, state} = startIntake(new Promise(resolve => {
		open = resolve;
	}));
	let taken = 0;
	while (!state.isPaused && taken < maxChunks) {
		intake.take(Buffer.from('x'));
		taken++;
	}

	t.true(state.isPaused);
	t.is(state.relayed, 0);
	open!();
	await new Promise<void>(resolve => {
		intake.afterAll(resolve);
	});
	t.is(state.relayed, taken);
	t.false(state.isPaused);
});
