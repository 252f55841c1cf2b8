import test from 'ava';
import type {LinkHealthEvent} from '../lib/link-health-event.js';
import type {LinkHealth} from '../lib/link-health.js';
import {stepLinkHealth} from '../lib/step-link-health.js';

/** Applies events at their times, in monotonic ms, to a link over which the last bytes came at 0; returns the effects. */
const play = (...events: ReadonlyArray<readonly [at: number, event: LinkHealthEvent]>): readonly string[] => {
	let health: LinkHealth = {stage: 'calm', heardAt: 0};
	const effects: string[] = [];
	for (const [at, event] of events) {
		const step = stepLinkHealth(health, event, at);
		health = step.health;
		effects.push(...step.effects);
	}

	return effects;
};

const unanswered: LinkHealthEvent = {type: 'unanswered', sentAt: 100};

test('a link that delivers neither a reply nor a pong is replaced once a second link is up', t => {
	t.deepEqual(play([250, unanswered], [300, {type: 'ping_waited'}], [310, {type: 'replacement_up'}]), ['ping', 'dial_replacement', 'replace']);
});

test('a peer that responds late keeps its link', t => {
	t.deepEqual(play([250, unanswered], [260, {type: 'heard'}], [300, {type: 'ping_waited'}]), ['ping']);
	t.deepEqual(play([250, unanswered], [300, {type: 'ping_waited'}], [305, {type: 'heard'}], [310, {type: 'replacement_up'}]), ['ping', 'dial_replacement', 'drop_replacement']);
});

test('the link to a peer that responds on neither link is closed', t => {
	t.deepEqual(play([250, unanswered], [300, {type: 'ping_waited'}], [2300, {type: 'replacement_failed'}]), ['ping', 'dial_replacement', 'close']);
});

test('a request without a reply leads to a ping only if nothing came over the link since the request was sent', t => {
	t.deepEqual(play([200, {type: 'heard'}], [250, unanswered]), []);
});

test('a link is checked once at a time', t => {
	t.deepEqual(play([250, unanswered], [260, unanswered], [270, {type: 'doubted'}], [300, {type: 'ping_waited'}], [310, unanswered]), ['ping', 'dial_replacement']);
});

test('a link is checked when another link was replaced, unless bytes came over it a moment ago', t => {
	t.deepEqual(play([10, {type: 'doubted'}]), []);
	t.deepEqual(play([1000, {type: 'doubted'}]), ['ping']);
});
