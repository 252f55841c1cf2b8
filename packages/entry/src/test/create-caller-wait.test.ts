/** Guards against a response that its caller still reads and that counts as given up, and against one that goes on for ever though its caller does not read. */
import test from 'ava';
import {createCallerWait} from '../lib/receiving/create-caller-wait.js';

const start = () => {
	let time = 0;
	const wait = createCallerWait(() => time);
	return {
		...wait, advance(ms: number) {
			time += ms;
		},
	};
};

test('a response that never waited counts as one that waits for its caller', t => {
	const {takeWaited} = start();
	t.false(takeWaited());
});

test('a response counts as given up because its caller has just read', t => {
	const {notePaused, noteDrained, takeWaited, advance} = start();
	for (let check = 0; check < 100; check++) {
		notePaused();
		advance(450);
		noteDrained();
		advance(50);
		t.true(takeWaited());
	}

	t.false(takeWaited());
});

test('a response waits for ever for a caller that does not read', t => {
	const {notePaused, takeWaited, advance} = start();
	advance(60_000);
	notePaused();
	t.true(takeWaited());
	advance(4999);
	t.true(takeWaited());
	advance(1);
	t.false(takeWaited());
});
