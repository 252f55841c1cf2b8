import test from 'ava';
import {hash32} from '@deckwheel/core';
import {createLoadMember} from '../lib/load-sharing/member/create-load-member.js';
import {createLoadTracker} from '../lib/load-sharing/member/create-load-tracker.js';
import {indexEndpoints} from '../lib/load-sharing/wire/index-endpoints.js';
import type {LoadAnswer} from '../lib/load-sharing/member/load-answer.js';
import type {PaceSample} from '../lib/load-sharing/wire/pace-sample.js';

const engine = 'engine@1';
const endpoint = hash32(engine);
const index = indexEndpoints([{id: engine, serves: ['model']}]);

const createMember = () => {
	const counted: string[] = [];
	const sentSamples: Array<readonly PaceSample[]> = [];
	let answer: LoadAnswer | undefined;
	const tracker = createLoadTracker({onSample: () => undefined, now: () => 1000});
	const member = createLoadMember({
		async ask(_address, {samples}) {
			sentSamples.push(samples);
			return answer;
		},
		tracker,
		index: () => index,
		hallSize: () => 10,
		onTotals() {
			counted.push('totals');
		},
		onThinTotals() {
			counted.push('thin');
		},
		now: () => 1000,
	});
	const answerWith = (hosts: number, open: number): void => {
		answer = {
			leads: true, hosts, asOf: 900, rows: [{endpoint, open, promptUnits: 0}], paces: [[endpoint, 1.7]],
		};
	};

	return {
		member, tracker, counted, sentSamples, answerWith,
	};
};

// A host that takes over as a leader knows the load of few hosts at first: busy endpoints would look idle to the whole hall.
test('totals over fewer than half of the hall do not replace those of before', async t => {
	const {member, tracker, counted, answerWith} = createMember();
	answerWith(5, 7);
	t.true(await member.reportTo('leader'));
	answerWith(4, 2);
	t.true(await member.reportTo('leader'));
	t.like(tracker.loadOf(engine), {open: 7, pace: 1.7, ageMs: 100});
	t.deepEqual(counted, ['totals', 'thin']);
});

test('samples that the leader did not confirm are sent again, and confirmed ones are not', async t => {
	const {member, sentSamples, answerWith} = createMember();
	const sample: PaceSample = {endpoint, kind: 'event', ms: 6};
	member.addSample(sample);
	t.false(await member.reportTo('leader'));
	answerWith(10, 0);
	t.true(await member.reportTo('leader'));
	t.true(await member.reportTo('leader'));
	t.deepEqual(sentSamples, [[sample], [sample], []]);
});

test('an answer that leaves out this host\'s own requests does not make its load negative', async t => {
	const {member, tracker, answerWith} = createMember();
	tracker.noteSent(engine, 100);
	answerWith(10, 0);
	t.true(await member.reportTo('leader'));
	t.is(tracker.loadOf(engine).open, 1);
});
