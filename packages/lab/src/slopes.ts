/** Measures what one decision or message costs, for docs/CAPACITY.md. */
import process from 'node:process';
import {Packr} from 'msgpackr';
import {adoptBundle, signText} from '@deckwheel/bundle';
import {
	applyOp, decideSlotRequest, emptyLedger, newReplica, planDraw, planPair, stepReplica, type Ledger, type Replica, type ReplicaEvent, type ReplicaMessage, type RightsObject, type SlotRequest,
} from '@deckwheel/ledger';
import {
	scoreByCost, stepEndpoints, chooseEndpoint, type EndpointTable,
} from '@deckwheel/routing';
import {testKeys} from './lib/test-keys.js';

const packr = new Packr({useRecords: false});

/** Rounds of each measurement; the median is shown. */
const rounds = 5;

/** Characters of a kept answer: some 450 tokens. */
const answerChars = 1800;

const show = (slope: string, values: Readonly<Record<string, number>>): void => {
	console.log(`slope=${slope} ${Object.entries(values).map(([key, value]) => `${key}=${Number(value.toPrecision(3))}`).join(' ')}`);
};

/** Runs a measurement some times, and returns its median, least and greatest. */
const spread = (measure: () => number): {readonly median: number; readonly least: number; readonly most: number} => {
	const values = Array.from({length: rounds}, () => measure()).toSorted((a, b) => a - b);
	return {median: values[Math.floor(rounds / 2)]!, least: values[0]!, most: values.at(-1)!};
};

const timePer = (count: number, work: (index: number) => void): number => {
	const startedAt = performance.now();
	for (let index = 0; index < count; index++) {
		work(index);
	}

	return (performance.now() - startedAt) * 1000 / count;
};

const claimOf = (key: string): SlotRequest => ({
	type: 'claim',
	budget: 'organisation-1.main',
	key,
	fingerprint: 'f'.repeat(64),
	repeatable: true,
	attempt: 'a'.repeat(36),
	runner: 'hall-a-1~0mx5y4ldvffd606d3',
	endpoint: 'assistant-1',
	reason: 'cost_ms=26.5 wait_ms=0.0 load=0/8 cached=0/13 hall_ms=0 move_ms=0',
	worstCase: 100,
	sendBy: 1e12,
	keepUntil: 1e12,
});

const settleOf = (key: string): SlotRequest => ({
	type: 'settle', budget: 'organisation-1.main', key, run: 1, outcome: 'finished', served: 50, final: true, answer: {status: 200, contentType: 'text/event-stream', body: 'x'.repeat(answerChars)},
});

const keyAt = (index: number): string => `dw~hall-a~mx5y4o6s~${String(index).padStart(24, '0')}`;

// A pair of hosts, joined by packed messages as on the wire.
const measurePair = (): {cpu: number; bytes: number; messages: number} => {
	const hosts = new Map<string, Replica>([['a~1', newReplica('a~1', 0)], ['b~1', newReplica('b~1', 0)]]);
	let bytes = 0;
	let messages = 0;
	const step = (host: string, event: ReplicaEvent): void => {
		const {replica, effects} = stepReplica(hosts.get(host)!, event, 1);
		hosts.set(host, replica);
		for (const effect of effects) {
			if (effect.type === 'send') {
				const data = packr.pack(effect.message);
				bytes += data.length;
				messages++;
				step(effect.to, {type: 'message', from: host, message: packr.unpack(data) as ReplicaMessage});
			}
		}
	};

	const pair = {
		epoch: 1, generation: 1, primary: 'a~1', backup: 'b~1',
	};
	step('b~1', {type: 'configure', pair, holder: 'x#1'});
	step('a~1', {type: 'configure', pair, holder: 'x#1'});
	step('a~1', {type: 'request', id: 0, request: {type: 'grant', grants: [{budget: 'organisation-1.main', granted: 1e12}]}});
	bytes = 0;
	messages = 0;
	const requests = 2000;
	const cpu = timePer(requests, index => {
		step('a~1', {type: 'request', id: index, request: claimOf(keyAt(index))});
		step('a~1', {type: 'request', id: index, request: settleOf(keyAt(index))});
	});
	return {cpu, bytes: bytes / requests, messages: messages / requests};
};

const measurePairs = (): void => {
	const cpu = spread(() => measurePair().cpu);
	const {bytes, messages} = measurePair();
	show('request, both hosts of its pair', {
		cpu_us: cpu.median, least_us: cpu.least, most_us: cpu.most, bytes, messages,
	});
};

const measureClaimMemory = (): void => {
	const count = 20_000;
	globalThis.gc?.();
	const before = process.memoryUsage().heapUsed;
	let ledger: Ledger = applyOp(emptyLedger('x#1'), {type: 'grant', budget: 'organisation-1.main', granted: 1e12});
	for (let index = 0; index < count; index++) {
		// A body of its own for each claim, as it comes off the wire.
		const settle = packr.unpack(packr.pack(settleOf(keyAt(index)))) as SlotRequest;
		for (const request of [packr.unpack(packr.pack(claimOf(keyAt(index)))) as SlotRequest, settle]) {
			for (const op of decideSlotRequest(ledger, request, 1).ops) {
				ledger = applyOp(ledger, op);
			}
		}
	}

	globalThis.gc?.();
	show('kept claim with its answer', {bytes: (process.memoryUsage().heapUsed - before) / count, answer_bytes: answerChars, claims: ledger.claims.size});
};

const rightsOf = (budgets: number): RightsObject => ({
	budgets: Object.fromEntries(Array.from({length: budgets}, (_, index) => [`organisation-${index % 200}.budget-${index}`, {
		organisation: `organisation-${index % 200}`,
		limit: 1e9,
		topUps: ['created'],
		holders: Object.fromEntries(Array.from({length: 8}, (_item, hall) => [`hall-${hall}#1`, {
			epoch: 1, granted: 1e6, transferred: 0, rate: 12.34, settled: 5e5, billed: 5e5,
		}])),
	}])),
});

const measureDraw = (): void => {
	const budgets = 430;
	const rights = rightsOf(budgets);
	const requests = Object.keys(rights.budgets).map(budget => ({
		budget, granted: 1e6, transferred: 0, rate: 12, settled: 5e5, billed: 5e5, wants: () => 1000,
	}));
	const cpu = spread(() => timePer(20, () => {
		const plan = planDraw(rights, 'hall-1#1', 1, requests);
		JSON.stringify(plan);
	}));
	const bytes = JSON.stringify(rights).length;
	show('budget in a slot of 430, 8 halls', {
		bytes: bytes / budgets, cpu_us_a_flush: cpu.median / budgets, least_us: cpu.least / budgets, most_us: cpu.most / budgets, object_bytes: bytes,
	});
};

const measurePlanning = (): void => {
	const live = Array.from({length: 375}, (_, index) => `hall-a-${index}~1`);
	const view = {
		self: live[0]!, isStopping: false, live, isGone: () => false, isLost: () => false, isSynced: () => true, isHandoverReady: () => true,
	};
	const idle = spread(() => timePer(1000, slot => {
		planPair(slot, {
			epoch: 1, generation: 1, primary: live[1]!, backup: live[2]!,
		}, view);
	}));
	const recruit = spread(() => timePer(200, slot => {
		planPair(slot, {epoch: 1, generation: 1, primary: live[0]!}, view);
	}));
	show('slot looked at, 375 hosts in the hall', {
		idle_us: idle.median, least_us: idle.least, most_us: idle.most, recruit_us: recruit.median,
	});
};

const keysOf = (organisation: number) => Array.from({length: 5}, (_, key) => ({sha256: `${organisation}a${key}`.padStart(64, '0'), budget: 'b'}));

const measureBundle = (): void => {
	const keys = testKeys();
	const text = JSON.stringify({
		version: 1,
		halls: Array.from({length: 8}, (_, index) => ({id: `hall-${index}`, region: `region-${index % 3}`})),
		organisations: Array.from({length: 200}, (_, index) => ({id: `organisation-${index}`, priority: 'normal', apiKeys: keysOf(index)})),
		models: Array.from({length: 9}, (_, index) => ({id: `model-${index}`, maxOutputTokens: 4096, maxPromptTokens: 64_000})),
		services: [],
		endpoints: Array.from({length: 2000}, (_, index) => ({
			id: `endpoint-${index}`, hall: `hall-${index % 8}`, kind: 'model', url: `http://10.0.0.1:${8000 + index}`, serves: [`model-${index % 9}`], slots: 8,
		})),
		limits: {},
		policy: {profile: 'guard_spend', shareOfRest: 0.95},
	});
	const signed = {text, author: signText(text, 'author', 'ada', keys.author), approval: signText(text, 'approver', 'ben', keys.approver)};
	const cpu = spread(() => timePer(3, () => {
		adoptBundle(undefined, signed, keys.trusted);
	}));
	show('bundle of 200 organisations, 2000 endpoints', {
		bytes: text.length, adopt_ms: cpu.median / 1000, least_ms: cpu.least / 1000, most_ms: cpu.most / 1000,
	});
};

const measureRouting = (): void => {
	const endpoints = Array.from({length: 125}, (_, index) => ({
		id: `endpoint-${index}`, hall: 'hall-a', serves: ['m'], slots: 8, isLeaving: false,
	}));
	const table: EndpointTable = stepEndpoints(new Map(), {type: 'configured', endpoints}, 0);
	const cpu = spread(() => timePer(500, () => {
		chooseEndpoint(table, {
			target: 'm', hall: 'hall-a', priority: 'quick', quickShare: 0, cachedTokens: () => 0, promptTokens: 100, tried: [],
		}, 1, scoreByCost);
	}));
	show('choice among 125 endpoints', {cpu_us: cpu.median, least_us: cpu.least, most_us: cpu.most});
	const status = {
		host: 'hall-a-1', incarnation: 'hall-a-1~0mx5y4ldvffd606d3', hall: 'hall-a', address: '10.0.0.1:7001', state: 'live', pairsVersion: 1000, bundleVersion: 9100,
	};
	const known = Array.from({length: 3}, (_, index) => ({host: `hall-a-${index}`, hall: 'hall-a', address: '10.0.0.1:7001'}));
	const beat = packr.pack({type: 'request', id: 1, body: {type: 'heartbeat', status}});
	const answer = packr.pack({type: 'reply', id: 1, body: {status, known}});
	show('heartbeat', {bytes: beat.length, answer_bytes: answer.length});
};

measurePairs();
measureClaimMemory();
measureDraw();
measurePlanning();
measureBundle();
measureRouting();
