/**
Guards against a host that admits more than its link carries, and then refuses whatever comes once queues have built up.

A caller of one hall sent about 80 requests a second to a host with a link of 7 Mbit/s, half of them long prompts. The link filled, and for seconds the host
refused urgent requests as much as others.
*/
import test from 'ava';
import {createLinkAdmission} from '../lib/link-admission/create-link-admission.js';
import {guaranteedShare} from '../lib/link-admission/guaranteed-share.js';
import type {LinkAdmission} from '../lib/link-admission/link-admission.js';
import {linkBytesPerMs} from '../lib/link-admission/link-bytes-per-ms.js';
import {plannedShare} from '../lib/link-admission/planned-share.js';
import {rankOfPriority} from '../lib/link-admission/rank-of-priority.js';
import {createManualClock} from './lib/create-manual-clock.js';
import {playLinkLoad, type LinkCallers} from './lib/play-link-load.js';
import {makeConfig, makeRoute} from './lib/start-host.js';

/** A queue of this length, in ms, on each of the four passages of a request takes less than half of the 400 ms in which urgent callers expect a first event. */
const maxQueueMs = 50;

const smallLinkMbps = 7;

const urgent = (perSecond: number, change: Partial<LinkCallers> = {}): LinkCallers => ({
	route: 'urgent', rank: 0, perSecond: () => perSecond, bodyBytes: 800, responseBytes: () => 6000, ...change,
});

const long = (perSecond: number, change: Partial<LinkCallers> = {}): LinkCallers => ({
	route: 'long', rank: 1, perSecond: () => perSecond, bodyBytes: 9200, responseBytes: () => 2000, ...change,
});

const admittedShare = ({asked, admitted}: {asked: number; admitted: number}): number => admitted / asked;

/** 2.2 times the requests from 5 s to 12 s. */
const burst = (perSecond: number) => (time: number): number => time >= 5000 && time < 12_000 ? perSecond * 2.2 : perSecond;

test('urgent requests are refused while a caller sends 80 requests a second over a small link', t => {
	const {routes, queueMs} = playLinkLoad({linkMbps: smallLinkMbps, callers: [urgent(40), long(40)], seconds: 20});
	t.is(admittedShare(routes.urgent!), 1);
	t.true(admittedShare(routes.long!) > 0.5);
	t.true(Math.max(...queueMs) < maxQueueMs);
});

test('a burst of long prompts fills the queue of the link, or takes the room of urgent requests', t => {
	const {routes, queueMs} = playLinkLoad({linkMbps: smallLinkMbps, callers: [urgent(28), long(28, {perSecond: burst(28)})], seconds: 14});
	t.true(Math.max(...queueMs) < maxQueueMs);
	t.true(admittedShare(routes.urgent!) > admittedShare(routes.long!));
});

test('requests that are admitted while bodies of refused ones fill the link make its queue longer', t => {
	const callers = [urgent(40), long(40, {perSecond: burst(40)})];
	const {queueMs} = playLinkLoad({linkMbps: smallLinkMbps, callers, seconds: 14});
	const headBytes = 600;
	const bodiesPerSecond = (40 * (800 + headBytes)) + (40 * 2.2 * (9200 + headBytes));
	const linkBytesPerSecond = linkBytesPerMs(smallLinkMbps) * 1000;
	/** What arrives in the 7 s of the burst whether or not it is admitted, and the responses of requests that were open before. */
	const unavoidableBytes = ((bodiesPerSecond - linkBytesPerSecond) * 7) + (40 * (6000 + 2000) * 1.2);
	t.true(Math.max(...queueMs) < (unavoidableBytes / linkBytesPerMs(smallLinkMbps)) + maxQueueMs);
});

test('more urgent requests than the link carries leave nothing to less urgent ones', t => {
	const seconds = 20;
	const {routes, queueMs} = playLinkLoad({linkMbps: smallLinkMbps, callers: [urgent(120), long(20)], seconds});
	t.true(routes.long!.admittedBytes >= linkBytesPerMs(smallLinkMbps) * 1000 * seconds * plannedShare * guaranteedShare(1));
	// The size of responses is a guess until the first ones have ended.
	t.true(Math.max(...queueMs.slice(3)) < maxQueueMs);
});

test('a host whose link is used to 70 percent refuses requests that arrive at random', t => {
	for (const seed of [1, 2, 3]) {
		const {routes, events} = playLinkLoad({
			linkMbps: smallLinkMbps, callers: [urgent(30), long(30)], seconds: 60, seed,
		});
		t.is(admittedShare(routes.urgent!), 1);
		t.is(admittedShare(routes.long!), 1);
		t.deepEqual(events, []);
	}
});

test('a host whose link is far above its load refuses a request', t => {
	const {routes, events} = playLinkLoad({
		linkMbps: 1000, callers: [urgent(500, {perSecond: burst(500)}), long(500, {perSecond: burst(500)})], seconds: 14, seed: 1,
	});
	t.is(admittedShare(routes.urgent!), 1);
	t.is(admittedShare(routes.long!), 1);
	t.deepEqual(events, []);
});

test('bodies whose heads state no length fill the queue of the link', t => {
	const {routes, queueMs} = playLinkLoad({linkMbps: smallLinkMbps, callers: [urgent(40, {isLengthStated: false}), long(40, {isLengthStated: false})], seconds: 20});
	t.is(admittedShare(routes.urgent!), 1);
	t.true(Math.max(...queueMs) < maxQueueMs);
});

test('a wrong expectation of the size of responses fills the queue of the link for more than three seconds', t => {
	const grown = (time: number): number => time < 5000 ? 1500 : 6000;
	const {queueMs, routes} = playLinkLoad({linkMbps: smallLinkMbps, callers: [urgent(90, {responseBytes: grown}), long(20)], seconds: 20});
	t.true(Math.max(...queueMs.slice(8)) < maxQueueMs);
	t.true(routes.urgent!.admitted > 0);
});

test('a wrong expectation of the size of responses has requests refused for more than three seconds', t => {
	const shrunk = (time: number): number => time < 5000 ? 24_000 : 6000;
	const countRefused = (seconds: number): number => {
		const {urgent: result} = playLinkLoad({linkMbps: smallLinkMbps, callers: [urgent(60, {responseBytes: shrunk})], seconds}).routes;
		return result!.asked - result!.admitted;
	};

	t.true(countRefused(5) > 0);
	t.is(countRefused(20), countRefused(8));
});

const startLink = () => {
	const {now, schedule, advance} = createManualClock();
	const events: Array<{event: string; fields: Readonly<Record<string, unknown>>}> = [];
	const link = createLinkAdmission({
		linkMbps: smallLinkMbps,
		open: () => 3,
		schedule,
		log(event, fields = {}) {
			events.push({event, fields});
		},
		now,
	});
	return {link, advance, events};
};

const fill = ({admit}: LinkAdmission): number => {
	let admitted = 0;
	while (admit({route: 'urgent', rank: 0, bodyBytes: 9000})) {
		admitted++;
	}

	return admitted;
};

test('a host that was suspended saves up room on its link for the time', t => {
	const {link, advance} = startLink();
	const atStart = fill(link);
	advance(600_000);
	t.is(fill(link), atStart);
	t.is(link.admit({route: 'urgent', rank: 0, bodyBytes: 0}), undefined);
});

test('an idle link refuses a request that is larger than its limits', t => {
	const {link} = startLink();
	t.truthy(link.admit({route: 'long', rank: 3, bodyBytes: 50_000_000}));
	t.is(link.admit({route: 'urgent', rank: 0, bodyBytes: 0}), undefined);
});

test('one large body keeps a host from serving others for as long as it takes, or counts as nothing once its short response has ended', t => {
	const {link, advance} = startLink();
	const transfer = link.admit({route: 'long', rank: 0, bodyBytes: 50_000_000})!;
	transfer.noteBody(50_000_000);
	transfer.end(100);
	t.is(link.admit({route: 'urgent', rank: 0, bodyBytes: 0}), undefined);
	advance(500);
	t.truthy(link.admit({route: 'urgent', rank: 0, bodyBytes: 0}));
});

test('a full link logs each refusal as a change, or never tells its end', t => {
	const {link, advance, events} = startLink();
	fill(link);
	advance(100);
	fill(link);
	advance(5000);
	t.deepEqual(events.map(({event}) => event), ['link_full_began', 'link_full_ended']);
	t.like(events[0]!.fields, {open: 3, link_mbps: smallLinkMbps});
	t.like(events[1]!.fields, {refused: 2, refused_urgent: 2, for_ms: 100});
});

test('a response that is told to have ended twice is taken off twice', t => {
	const {link} = startLink();
	const transfer = link.admit({route: 'urgent', rank: 0, bodyBytes: 0})!;
	transfer.end(100_000);
	const before = link.logFields();
	transfer.end(0);
	t.deepEqual(link.logFields(), before);
});

test('the most urgent of the priorities in use is not the first rank', t => {
	const config = makeConfig({routes: [makeRoute({priority: 5}), makeRoute({priority: 2}), makeRoute({priority: 5}), makeRoute({priority: 9})]});
	t.deepEqual([2, 5, 9].map(priority => rankOfPriority(config, priority)), [0, 1, 2]);
});
