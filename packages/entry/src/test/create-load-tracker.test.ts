import test from 'ava';
import {createLoadTracker} from '../lib/load-sharing/member/create-load-tracker.js';

test('a run counts as open until its end, and its prompt as pending until its first event', t => {
	const tracker = createLoadTracker({onSample: () => undefined, now: () => 0});
	const first = tracker.noteSent('engine', 1000);
	const second = tracker.noteSent('engine', 500);
	t.like(tracker.loadOf('engine'), {open: 2, pendingPromptTokens: 1500});
	first.noteEvent();
	first.noteEvent();
	t.like(tracker.loadOf('engine'), {open: 2, pendingPromptTokens: 500});
	second.end();
	first.end();
	t.like(tracker.loadOf('engine'), {
		open: 0, pendingPromptTokens: 0, pace: 1, ageMs: undefined,
	});
});

// Counts that a run takes off twice would make a busy endpoint look idle.
test('a run that is ended twice, or gets an event after its end, is taken off once', t => {
	const tracker = createLoadTracker({onSample: () => undefined, now: () => 0});
	const run = tracker.noteSent('engine', 100);
	tracker.noteSent('engine', 200);
	run.end();
	run.end();
	run.noteEvent();
	t.like(tracker.loadOf('engine'), {open: 1, pendingPromptTokens: 200});
});

// A refusal comes at once: taken for a fast response, it would draw requests to an endpoint that serves none.
test('the duration of a response tells the speed of an endpoint only where it answered, and events go before it', t => {
	let time = 0;
	const samples: unknown[] = [];
	const tracker = createLoadTracker({
		onSample({kind, ms}) {
			samples.push(kind, ms);
		},
		now: () => time,
	});
	const refused = tracker.noteSent('app', 0);
	const served = tracker.noteSent('app', 0);
	const stream = tracker.noteSent('app', 0);
	time = 5;
	refused.end();
	for (time = 50; time <= 80; time += 10) {
		stream.noteEvent();
	}

	served.end('answered');
	stream.end('answered');
	t.deepEqual(samples, ['response', 90, 'event', 10]);
});
