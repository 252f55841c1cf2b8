import {remainingPromptTokens} from '@deckwheel/routing';
import {defaultPlacing} from '../../default-placing.js';
import {createEndpointChooser} from '../../lib/choice/create-endpoint-chooser.js';
import type {ListedEndpoint} from '../../adapter/listed-endpoint.js';
import type {PromptPart} from '../../lib/admission/prompt-part.js';
import {createRandom} from './create-random.js';

/** The time in which an endpoint of usual speed prefills a token, and makes an event, in ms. */
const msPerPromptToken = 0.03;
const msPerEvent = 5.5;

/** How often hosts report to each other, in ms. */
const reportIntervalMs = 100;

type Request = {readonly parts: readonly PromptPart[]; readonly events: number};

export type PlacingPlay = {
	readonly hosts: number;
	/** The duration factor of each endpoint; 1 is usual. The endpoints are spread over three halls. */
	readonly speeds: readonly number[];
	readonly slots: number;
	/** The duration factor of an endpoint at a time on top of its speed, of which hosts know nothing. By default 1. */
	readonly disturbance?: (endpoint: number, now: number) => number;
	readonly requestsPerSecond: number;
	/** Draws the next request. */
	readonly nextRequest: (random: () => number) => Request;
	/** How old what hosts know of each other's requests is, in ms; `undefined` where they know nothing. */
	readonly knowledgeAgeMs: number | undefined;
	/** Whether requests are placed by expected time; by `scoreByAffinity` otherwise. */
	readonly isByExpectedTime: boolean;
	/** The whole time, and the time after which figures are taken, in ms. */
	readonly untilMs: number;
	readonly fromMs: number;
	readonly seed: number;
};

type Run = {readonly host: number; readonly sentAt: number; readonly pendingTokens: number; readonly firstAt: number; endAt: number};

type Placed = {readonly at: number; readonly endpoint: number; readonly request: Request; readonly readTokens: number; readonly run: Run};

export type PlacingFigures = {
	/** The requests after `fromMs`, in order. */
	readonly placed: readonly Placed[];
	/** Requests that were open on average, and at most, by endpoint. */
	readonly meanOpen: readonly number[];
	readonly mostOpen: readonly number[];
	/** How often an endpoint was sent a request although all its slots were taken, while another one had a free slot. */
	readonly overfilled: number;
};

const countOf = (runs: readonly Run[], now: number) => ({
	open: runs.length, pending: runs.filter(({firstAt}) => firstAt > now).reduce((sum, {pendingTokens}) => sum + pendingTokens, 0),
});

/** Plays requests of many hosts at endpoints that prefill one prompt after the other, which delays their other requests, and returns who got what. */
export const playPlacing = ({hosts, speeds, slots, disturbance = () => 1, requestsPerSecond, nextRequest, knowledgeAgeMs, isByExpectedTime, untilMs, fromMs, seed}: PlacingPlay): PlacingFigures => {
	const random = createRandom(seed);
	let now = 0;
	const endpoints = speeds.map((speed, index) => {
		const id = `e${index}`;
		const listed: ListedEndpoint = {
			id, instance: id, hall: `hall-${index % 3}`, address: '', serves: ['s'], slots, isLeaving: false,
		};
		return {
			listed, speed, cached: new Set<string>(), runs: [] as readonly Run[], prefillFreeAt: 0, openMs: 0, mostOpen: 0,
		};
	});
	const usualSpeed = speeds.toSorted((a, b) => a - b)[Math.floor(speeds.length / 2)]!;
	let reports: ReadonlyArray<{readonly at: number; readonly runs: ReadonlyArray<readonly Run[]>}> = [];

	const loadOf = (host: number, id: string) => {
		const index = Number(id.slice(1));
		const {runs, speed} = endpoints[index]!;
		const report = knowledgeAgeMs === undefined ? undefined : reports.find(({at}) => at <= now - knowledgeAgeMs);
		const pace = speed / usualSpeed;
		const own = countOf(runs.filter(run => run.host === host), now);
		if (!report) {
			return {
				open: own.open, pendingPromptTokens: own.pending, pace, ageMs: undefined,
			};
		}

		const ageMs = now - report.at;
		const others = countOf(report.runs[index]!.filter(run => run.host !== host), report.at);
		return {
			open: own.open + others.open, pendingPromptTokens: own.pending + remainingPromptTokens({tokens: others.pending, ageMs, pace}), pace, ageMs,
		};
	};

	const choosers = Array.from({length: hosts}, (_, host) => createEndpointChooser({
		hall: `hall-${host % 3}`,
		isUnreachable: () => false,
		placing: {
			...defaultPlacing, isOn: () => isByExpectedTime, loadOf: id => loadOf(host, id), random,
		},
		now: () => now,
	}));
	for (const chooser of choosers) {
		chooser.list(endpoints.map(({listed}) => listed));
	}

	const placed: Placed[] = [];
	let overfilled = 0;
	let nextReportAt = 0;
	while (now < untilMs) {
		const gapMs = -Math.log(1 - random()) * 1000 / requestsPerSecond;
		const nextAt = now + gapMs;
		for (const endpoint of endpoints) {
			const ended = endpoint.runs.filter(({endAt}) => endAt <= nextAt);
			for (const {endAt} of ended) {
				endpoint.openMs += Math.max(0, endAt - Math.max(now, fromMs));
			}

			endpoint.runs = endpoint.runs.filter(run => !ended.includes(run));
			endpoint.openMs += endpoint.runs.length * Math.max(0, nextAt - Math.max(now, fromMs));
			for (const {host, sentAt, endAt} of ended) {
				choosers[host]!.note({
					type: 'succeeded', endpoint: endpoint.listed.id, durationMs: endAt - sentAt, outputTokens: 0,
				});
			}
		}

		now = nextAt;
		if (now >= nextReportAt) {
			reports = [{at: now, runs: endpoints.map(({runs}) => runs.map(run => ({...run})))}, ...reports].slice(0, 8);
			nextReportAt = now + reportIntervalMs;
		}

		const request = nextRequest(random);
		const host = Math.floor(random() * hosts);
		const choice = choosers[host]!.choose({
			service: 's', parts: request.parts, tried: [], avoidedHalls: [], regions: [],
		})!;
		const index = Number(choice.endpoint.id.slice(1));
		const endpoint = endpoints[index]!;
		choosers[host]!.noteStarted(choice.endpoint.id, request.parts);
		overfilled += now >= fromMs && endpoint.runs.length >= slots && endpoints.some(({runs}) => runs.length < slots) ? 1 : 0;
		const readTokens = request.parts.reduce((sum, {id, tokens}) => sum + (endpoint.cached.has(id) ? 0 : tokens), 0);
		for (const {id} of request.parts.slice(0, -1)) {
			endpoint.cached.add(id);
		}

		const factor = endpoint.speed * disturbance(index, now);
		const prefillMs = readTokens * msPerPromptToken * factor;
		const slotFreeAt = endpoint.runs.map(({endAt}) => endAt).toSorted((a, b) => b - a)[slots - 1] ?? now;
		const firstAt = Math.max(now, slotFreeAt, endpoint.prefillFreeAt) + prefillMs;
		endpoint.prefillFreeAt = firstAt;
		for (const run of endpoint.runs) {
			run.endAt += prefillMs;
		}

		const run: Run = {
			host, sentAt: now, pendingTokens: choice.uncachedTokens, firstAt, endAt: firstAt + (request.events * msPerEvent * factor),
		};
		endpoint.runs = [...endpoint.runs, run];
		if (now >= fromMs) {
			endpoint.mostOpen = Math.max(endpoint.mostOpen, endpoint.runs.length);
			placed.push({
				at: now, endpoint: index, request, readTokens, run,
			});
		}
	}

	return {
		placed, overfilled, meanOpen: endpoints.map(({openMs}) => openMs / (untilMs - fromMs)), mostOpen: endpoints.map(({mostOpen}) => mostOpen),
	};
};
