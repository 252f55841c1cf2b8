import test from 'ava';
import type {LinkHealthEvent} from '../lib/link-health-event.js';
import type {LinkHealth} from '../lib/link-health.js';
import {stepLinkHealth} from '../lib/step-link-health.js';

/** Plays events at their times, in ms, on a link on which something was heard at 0; returns what was to be done. */
const play = (...events: ReadonlyArray<readonly [at: number, event: LinkHealthEvent]>): readonly string[] => {
	let health: LinkHealth = {stage: 'calm', heardAt: 0};
	const done: string[] = [];
	for (const [at, event] of events) {
		const step = stepLinkHealth(health, event, at);
		health = step.health;
		done.push(...step.effects);
	}

	return done;
};

const unanswered: LinkHealthEvent = {type: 'unanswered', sentAt: 100};

test('a link that answers neither a question nor a ping is replaced once a second one is up', t => {
	t.deepEqual(play([250, unanswered], [300, {type: 'ping_waited'}], [310, {type: 'replacement_up'}]), ['ping', 'dial_replacement', 'replace']);
});

test('a peer that is late keeps its link', t => {
	t.deepEqual(play([250, unanswered], [260, {type: 'heard'}], [300, {type: 'ping_waited'}]), ['ping']);
	t.deepEqual(play([250, unanswered], [300, {type: 'ping_waited'}], [305, {type: 'heard'}], [310, {type: 'replacement_up'}]), ['ping', 'dial_replacement', 'drop_replacement']);
});

test('a peer that answers on neither link loses the first', t => {
	t.deepEqual(play([250, unanswered], [300, {type: 'ping_waited'}], [2300, {type: 'replacement_failed'}]), ['ping', 'dial_replacement', 'close']);
});

test('a question is held against a link only when nothing came since it was sent', t => {
	t.deepEqual(play([200, {type: 'heard'}], [250, unanswered]), []);
});

test('one examination is under way at a time', t => {
	t.deepEqual(play([250, unanswered], [260, unanswered], [270, {type: 'doubted'}], [300, {type: 'ping_waited'}], [310, unanswered]), ['ping', 'dial_replacement']);
});

test('a link is doubted with others unless something came over it a moment ago', t => {
	t.deepEqual(play([10, {type: 'doubted'}]), []);
	t.deepEqual(play([1000, {type: 'doubted'}]), ['ping']);
});
