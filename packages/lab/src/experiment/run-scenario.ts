import type {Arrival} from './arrival.js';
import type {CreatePolicy} from './create-policy.js';
import type {Result} from './result.js';
import type {Scenario} from './scenario.js';
import type {World} from './world.js';

const isWithin = (spans: Scenario['cuts'], at: number): boolean => spans.some(({from, to}) => at >= from && at < to);

const limitsFor = (scenario: Scenario, arrivals: readonly Arrival[]): ReadonlyMap<string, number> => {
	const demand = new Map(Object.keys(scenario.budgets).map(budget => [budget, 0]));
	for (const {budget, served} of arrivals) {
		demand.set(budget, demand.get(budget)! + served);
	}

	return new Map([...demand].map(([budget, tokens]) => [budget, Math.floor(tokens * scenario.funding)]));
};

/** Runs one policy through one scenario, second by second, beside one global truth. */
export const runScenario = (scenario: Scenario, arrivals: readonly Arrival[], name: string, createPolicy: CreatePolicy): Result => {
	let now = 0;
	const limits = limitsFor(scenario, arrivals);
	const isCut = (): boolean => isWithin(scenario.cuts, now);
	const world: World = {
		scenario,
		arrivals,
		limits,
		now: () => now,
		reachesStore: () => !isCut() && !isWithin(scenario.outages, now),
		reachesHalls: () => !isCut(),
	};
	const policy = createPolicy(world);
	const endings = new Map<number, Arrival[]>();
	// What the budgets would allow if everybody knew everything at once.
	const truth = new Map([...limits.keys()].map(budget => [budget, {settled: 0, reserved: 0}]));
	let served = 0;
	let falseRefusals = 0;
	let next = 0;

	const admit = (arrival: Arrival): void => {
		const known = truth.get(arrival.budget)!;
		if (!policy.open(arrival)) {
			falseRefusals += known.settled + known.reserved + arrival.worstCase <= limits.get(arrival.budget)! ? 1 : 0;
			return;
		}

		known.reserved += arrival.worstCase;
		served++;
		const end = Math.ceil(arrival.at + arrival.seconds);
		endings.set(end, [...(endings.get(end) ?? []), arrival]);
	};

	const finish = (arrival: Arrival): void => {
		policy.close(arrival);
		const known = truth.get(arrival.budget)!;
		known.reserved -= arrival.worstCase;
		known.settled += arrival.served;
	};

	const letHostsDie = (): void => {
		for (const {at, hall, host} of scenario.deaths) {
			if (at === now) {
				policy.die(hall, host);
			}
		}
	};

	for (; now < scenario.seconds; now++) {
		letHostsDie();

		policy.tick();
		for (const arrival of endings.get(now) ?? []) {
			finish(arrival);
		}

		endings.delete(now);
		for (; next < arrivals.length && arrivals[next]!.at < now + 1; next++) {
			admit(arrivals[next]!);
		}
	}

	const overspend = [...truth].map(([budget, {settled, reserved}]) => Math.max(0, settled + reserved - limits.get(budget)!)).reduce((a, b) => a + b, 0);
	return {
		scenario: scenario.name,
		policy: name,
		requests: arrivals.length,
		served,
		overspend,
		falseRefusals,
		falseRefusalPercent: 100 * falseRefusals / Math.max(1, served + falseRefusals),
	};
};
