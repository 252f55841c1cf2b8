import process from 'node:process';
import test from 'ava';
import fc from 'fast-check';
import {dequeueRequest} from '../request-queue/dequeue-request.js';
import {emptyRequestQueue} from '../request-queue/empty-request-queue.js';
import type {Priority} from '../request-queue/priority.js';
import type {QueuedRequest} from '../request-queue/queued-request.js';

const seed = Number(process.env.SEED ?? 20_261_203);

/** Starts are whole, so an organisation that joins in the middle of a round may be one start ahead of its share or behind it. */
const roundingStarts = 1;

/** What sums of virtual time may be off by. */
const roundingError = 1e-6;

/** An organisation that keeps `depth` requests waiting. */
type Client = {
	readonly organisation: string;
	readonly weight?: number;
	readonly depth?: number;
	readonly target?: string;
	readonly priority?: Priority;
	/** How long each request may wait, in ms. */
	readonly patienceMs?: number;
};

/** Creates a queue that its clients refill before each start, and counts the starts of each organisation. */
const createLoad = () => {
	let queue = emptyRequestQueue;
	let nextId = 1;
	let now = 0;

	const refill = ({organisation, weight = 1, depth = 4, target = 'm', priority = 'normal', patienceMs = 10_000}: Client): void => {
		const queued = queue.waiting.filter(request => request.organisation === organisation && request.target === target && request.priority === priority);
		const missing = Array.from({length: Math.max(0, depth - queued.length)}, (): QueuedRequest => ({
			id: nextId++, target, organisation, weight, priority, startBy: now + patienceMs,
		}));
		queue = {...queue, waiting: [...queue.waiting, ...missing]};
	};

	const startOne = (canStart: (request: QueuedRequest) => boolean = () => true): QueuedRequest | undefined => {
		const result = dequeueRequest(queue, canStart, now++);
		({queue} = result);
		return result.next;
	};

	return {
		/** Starts `count` requests and returns the organisations in the order of their starts. */
		start(count: number, clients: readonly Client[], canStart?: (request: QueuedRequest) => boolean): readonly string[] {
			return Array.from({length: count}, () => {
				for (const client of clients) {
					refill(client);
				}

				return startOne(canStart)?.organisation ?? '';
			});
		},
		/** Ends the waiting of an organisation. */
		leave(organisation: string): void {
			queue = {...queue, waiting: queue.waiting.filter(request => request.organisation !== organisation)};
		},
		/** Ends the waiting of all but these clients. */
		keep(clients: readonly Client[]): void {
			queue = {...queue, waiting: queue.waiting.filter(({organisation, target}) => clients.some(client => client.organisation === organisation && (client.target ?? 'm') === target))};
		},
		shareCount: () => Object.values(queue.shares).flatMap(({targets}) => [...targets.values()]).reduce((sum, {dueByOrganisation}) => sum + dueByOrganisation.size, 0),
	};
};

/** The largest lead that the first of two organisations gains over the second within any span of the starts, in starts by weight; negative leads count as well. */
const largestLead = (starts: readonly string[], [first, second]: readonly [string, string], weightOf: (organisation: string) => number): number => {
	let lead = 0;
	let highest = 0;
	let lowest = 0;
	for (const organisation of starts) {
		lead += organisation === first ? 1 / weightOf(first) : 0;
		lead -= organisation === second ? 1 / weightOf(second) : 0;
		highest = Math.max(highest, lead);
		lowest = Math.min(lowest, lead);
	}

	return highest - lowest;
};

const countOf = (starts: readonly string[], organisation: string): number => starts.filter(other => other === organisation).length;

// Guards against an organisation that joins the queue and gets all starts until it has caught up with the others.
test('an organisation that queues requests for the first time gets no more than its share from its first request on', t => {
	const load = createLoad();
	load.start(100, [{organisation: 'a'}]);
	const starts = load.start(12, [{organisation: 'a'}, {organisation: 'b'}]);
	t.is(countOf(starts, 'a'), 6);
	t.is(countOf(starts, 'b'), 6);
});

// Guards against the same for a third organisation beside two that share.
test('an organisation that joins two busy ones gets a third of the starts', t => {
	const load = createLoad();
	load.start(300, [{organisation: 'a'}, {organisation: 'b'}]);
	const starts = load.start(18, [{organisation: 'a'}, {organisation: 'b'}, {organisation: 'c'}]);
	t.deepEqual(['a', 'b', 'c'].map(organisation => countOf(starts, organisation)), [6, 6, 6]);
});

// Guards against the same where the organisations have different weights.
test('an organisation that joins gets starts by its weight', t => {
	const heavy = createLoad();
	heavy.start(100, [{organisation: 'a'}]);
	const besideHeavy = countOf(heavy.start(16, [{organisation: 'a'}, {organisation: 'b', weight: 3}]), 'a');
	t.true(Math.abs(besideHeavy - 4) <= roundingStarts);
	const light = createLoad();
	light.start(50, [{organisation: 'a', weight: 0.25}]);
	const besideEqual = countOf(light.start(20, [{organisation: 'a', weight: 0.25}, {organisation: 'b'}]), 'a');
	t.true(Math.abs(besideEqual - 4) <= roundingStarts);
});

// Guards against an organisation that returns and takes the starts that it missed while it had nothing queued.
test('an organisation that returns to the queue gets no more than its share', t => {
	const load = createLoad();
	load.start(40, [{organisation: 'a'}, {organisation: 'b'}]);
	load.leave('b');
	load.start(60, [{organisation: 'a'}]);
	const starts = load.start(12, [{organisation: 'a'}, {organisation: 'b'}]);
	t.is(countOf(starts, 'a'), 6);
});

// Guards against an organisation whose starts are forgotten each time its last request leaves the queue.
test('an organisation that always has one urgent request does not displace one that has many', t => {
	const load = createLoad();
	const starts = load.start(40, [{organisation: 'a'}, {organisation: 'b', depth: 1, patienceMs: 100}]);
	t.is(countOf(starts, 'a'), 20);
});

// Guards against the same where it is absent from the queue between two of its requests.
test('an organisation that leaves the queue after each start gets no more than its weight allows', t => {
	const load = createLoad();
	const starts = Array.from({length: 20}, () => [
		...load.start(1, [{organisation: 'a'}]),
		...load.start(1, [{organisation: 'a'}, {
			organisation: 'b', weight: 0.25, depth: 1, patienceMs: 100,
		}]),
	]).flat();
	t.true(countOf(starts, 'b') <= 8);
});

// Guards against a lead in starts that an organisation gained at another target or in another priority.
test('starts at another target or of another priority delay no organisation afterwards', t => {
	for (const before of [{target: 'other'}, {priority: 'quick'}] as const) {
		const load = createLoad();
		load.start(100, [{organisation: 'a', ...before}, {organisation: 'b'}], ({organisation}) => organisation === 'a');
		load.leave('a');
		const starts = load.start(12, [{organisation: 'a'}, {organisation: 'b'}]);
		t.is(countOf(starts, 'a'), 6);
	}
});

// Guards against an organisation that gets more because others ask for the same target.
test('organisations of different targets that share endpoints get the same number of starts', t => {
	const load = createLoad();
	const others = ['b', 'c', 'd'].map(organisation => ({organisation, target: 'other'}));
	const starts = load.start(40, [{organisation: 'a'}, ...others]);
	t.deepEqual(['a', 'b', 'c', 'd'].map(organisation => countOf(starts, organisation)), [10, 10, 10, 10]);
});

// Guards against an organisation that waits until its target has made up for a start of a light organisation.
test('an organisation that joins a target at which only a light one waited gets its share at once', t => {
	const load = createLoad();
	const clients = [{organisation: 'light', weight: 0.1}, {organisation: 'b', target: 'other'}];
	load.start(2, clients);
	const starts = load.start(12, [...clients, {organisation: 'c'}]);
	t.true(Math.abs(countOf(starts, 'c') - 6) <= roundingStarts);
});

// Guards against an organisation that gets a share of its own for each target that it asks for.
test('an organisation that asks for several targets gets no more than one that asks for one of them', t => {
	const load = createLoad();
	const starts = load.start(40, [{organisation: 'a'}, {organisation: 'a', target: 'other'}, {organisation: 'b'}]);
	t.is(countOf(starts, 'a'), 20);
});

// Guards against unfair shares on a slow target while a fast one goes on beside it.
test('starts at a fast target leave the shares at a slow one as they are', t => {
	const load = createLoad();
	const clients = [{organisation: 'a', weight: 0.25}, {organisation: 'b'}, {organisation: 'c', target: 'fast'}];
	const slowStarts: string[] = [];
	for (let round = 0; round < 20; round++) {
		load.start(10, clients, ({target}) => target === 'fast');
		slowStarts.push(...load.start(1, clients, ({target}) => target === 'm'));
	}

	t.is(countOf(slowStarts, 'a'), 4);
});

// Guards against state that grows with each organisation that ever queued.
test('organisations that left the queue are forgotten', t => {
	const load = createLoad();
	for (let visitor = 0; visitor < 100; visitor++) {
		load.start(2, [{organisation: 'a'}, {organisation: `visitor ${visitor}`, depth: 1}]);
	}

	t.true(load.shareCount() <= 6);
});

// Guards against an organisation that is charged for the time in which another one had left, when that one returns between two starts.
test('an organisation that leaves for two starts delays no other one when it returns', t => {
	const load = createLoad();
	const [b, a] = [{organisation: 'b', weight: 3, depth: 1}, {organisation: 'a', weight: 2, depth: 1}];
	load.start(17, [b, a]);
	load.leave('a');
	load.start(2, [b]);
	const starts = load.start(32, [b, a]);
	const lead = largestLead(starts, ['a', 'b'], organisation => organisation === 'a' ? a.weight : b.weight);
	t.true(lead <= (1 / a.weight) + (1 / b.weight) + roundingError);
});

const clientOf = (organisation: string) => fc.record({
	organisation: fc.constant(organisation),
	weight: fc.constantFrom(0.5, 1, 2),
	depth: fc.integer({min: 1, max: 4}),
	patienceMs: fc.constantFrom(100, 1000, 10_000),
});

const phases = fc.array(fc.record({
	clients: fc.tuple(clientOf('a'), clientOf('b'), clientOf('c')),
	present: fc.tuple(fc.boolean(), fc.boolean(), fc.boolean()),
	count: fc.integer({min: 1, max: 80}),
}), {minLength: 2, maxLength: 8});

// Guards against any history of the queue that lets an organisation wait longer than its share.
test('an organisation that waits is passed by each other one no more often than their weights allow, whatever came before', t => {
	t.log(`seed ${seed}`);
	let checked = 0;
	fc.assert(fc.property(phases, history => {
		const load = createLoad();
		const weights = new Map<string, number>();
		for (const {clients, present, count} of history) {
			const active = clients.filter((_, index) => present[index]).map(client => ({...client, weight: weights.get(client.organisation) ?? client.weight}));
			for (const {organisation, weight} of clients) {
				weights.set(organisation, weights.get(organisation) ?? weight);
				load.leave(active.some(client => client.organisation === organisation) ? '' : organisation);
			}

			const starts = load.start(count, active);
			for (const {organisation, weight} of active) {
				const firstStart = [...starts, organisation].indexOf(organisation);
				for (const other of active.filter(client => client.organisation !== organisation)) {
					const passed = countOf(starts.slice(0, firstStart), other.organisation);
					// One start of its own may still have to be made up for, and one of the other is due at the same time.
					const allowed = (other.weight / weight) + 2;
					checked++;
					if (passed > allowed) {
						throw new Error(`${organisation} was passed ${passed} times by ${other.organisation}, ${allowed} are allowed`);
					}
				}
			}
		}
	}), {seed, numRuns: 500});
	t.true(checked > 1000, `only ${checked} pairs were compared`);
});

const organisations = ['a', 'b', 'c', 'd'] as const;
const weightsOfAll = fc.tuple(...organisations.map(() => fc.constantFrom(0.1, 0.25, 0.5, 1, 2, 3, 10)));
const anyClient = (targets: readonly string[]) => fc.record({
	organisation: fc.constantFrom(...organisations), target: fc.constantFrom(...targets), depth: fc.integer({min: 1, max: 4}), patienceMs: fc.constantFrom(100, 1000, 10_000),
});
const anyPhases = (targets: readonly string[]) => fc.array(fc.record({
	clients: fc.uniqueArray(anyClient(targets), {selector: ({organisation, target}) => `${organisation} ${target}`, minLength: 2, maxLength: 6}),
	count: fc.integer({min: 1, max: 120}),
}), {minLength: 1, maxLength: 6});

// Guards against a lead of any organisation over another one, by any weights, at any targets, whatever came before.
for (const targets of [['m'], ['m', 'other']]) {
	test(`two organisations that both wait never get further apart than one start at each target, by their weights (${targets.length} targets)`, t => {
		t.log(`seed ${seed}`);
		let checked = 0;
		fc.assert(fc.property(anyPhases(targets), weightsOfAll, (history, weights) => {
			const weightByName = new Map<string, number>(organisations.map((name, index) => [name, weights[index]!]));
			const weightOf = (organisation: string): number => weightByName.get(organisation)!;
			const load = createLoad();
			for (const {clients, count} of history) {
				load.keep(clients);
				const starts = load.start(count, clients.map(client => ({...client, weight: weightOf(client.organisation)})));
				const active = organisations.filter(name => clients.some(({organisation}) => organisation === name));
				for (const first of active) {
					for (const second of active.filter(name => name > first)) {
						const allowed = targets.length * ((1 / weightOf(first)) + (1 / weightOf(second)));
						const lead = largestLead(starts, [first, second], weightOf);
						checked++;
						if (lead > allowed + roundingError) {
							throw new Error(`${first} and ${second} got ${lead} apart, ${allowed} is allowed`);
						}
					}
				}
			}
		}), {seed, numRuns: 500});
		t.true(checked > 1000, `only ${checked} pairs were compared`);
	});
}
